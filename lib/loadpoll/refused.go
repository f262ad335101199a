package loadpoll

import (
	"errors"
	"net/http"

	"anvilwick.example/anvilwick/lib/target"
)

// refused reports whether the engine answered that it has no such path.
func refused(err error) bool {
	var r *target.RefusedError
	return errors.As(err, &r) && (r.Status == http.StatusNotFound || r.Status == http.StatusNotImplemented)
}
