package loadpoll

import (
	"errors"
	"net/http"

	"anvilwick.example/anvilwick/lib/target"
)

// unsupported reports whether the engine does not support the requested path.
func unsupported(err error) bool {
	var r *target.RefusedError
	return errors.As(err, &r) && (r.Status == http.StatusNotFound || r.Status == http.StatusNotImplemented)
}
