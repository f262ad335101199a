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
	var err error
	if linkDir, err = os.MkdirTemp("", "anvilwick-capacity-"); err != nil {
		return mesh.TLSFiles{}, err
	}
	return localsite.WriteCerts(linkDir)
})

// linkDir holds linkFiles once they were made.
var linkDir string

// removeLinkFiles leaves nothing behind; links can't be made after it.
func removeLinkFiles() {
	if linkDir != "" {
		_ = os.RemoveAll(linkDir)
	}
}
