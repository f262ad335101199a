package fleet

import (
	"fmt"

	"anvilwick.example/anvilwick/lib/rendezvous"
)

// Software is the version of the program that a target runs. Targets of several versions may serve side by side in one service, and a stream
// that one version began can't continue at another.
type Software struct {
	// ID identifies the version among all versions of all services; 0: unknown.
	ID uint64
	// Name is how the target names its version, shortened for logs.
	Name string
}

// maxSoftwareName bounds the name of a version in logs, in bytes.
const maxSoftwareName = 48

// NewSoftware returns the version that a target of a service names.
func NewSoftware(service, name string) Software {
	return Software{ID: softwareID(service + "\x00" + name), Name: name[:min(len(name), maxSoftwareName)]}
}

// UnnamedSoftware returns the version of an incarnation of a target that names none. It equals that of no other incarnation.
func UnnamedSoftware(service, id string, born int64) Software {
	return Software{ID: softwareID(fmt.Sprintf("%s\x00\x00%s\x00%d", service, id, born)), Name: "unnamed"}
}

// softwareID returns a hash that is never 0.
func softwareID(s string) uint64 { return max(1, rendezvous.Hash(s)) }
