package capacity

import (
	"os"
	"sync"

	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/mesh"
)

// linkFiles returns certificates for links between instances in this process, made once. Links of a real site are TLS too,
// and its records add to every message.
var linkFiles = sync.OnceValues(func() (mesh.TLSFiles, error) {
	dir, err := os.MkdirTemp("", "anvilwick-capacity-")
	if err != nil {
		return mesh.TLSFiles{}, err
	}
	return localsite.WriteCerts(dir)
})
