package capacity

import (
	"os"
	"sync"

	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/mesh"
)

// linkCerts returns certificates for links between instances in this process, created once. Links of a real site use TLS
// too, and its record headers add bytes to every message.
var linkCerts = sync.OnceValues(func() (mesh.TLSFiles, error) {
	var err error
	if certDir, err = os.MkdirTemp("", "anvilwick-capacity-"); err != nil {
		return mesh.TLSFiles{}, err
	}
	return localsite.WriteCerts(certDir)
})

// certDir is the directory of linkCerts once they are created.
var certDir string

// removeLinkCerts deletes the certificates; no links can be created after it.
func removeLinkCerts() {
	if certDir != "" {
		_ = os.RemoveAll(certDir)
	}
}
