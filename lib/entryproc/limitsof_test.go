package entryproc

import (
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/settings"
)

// A revision removes a service while its requests are in progress here, or a peer with another revision asks for the
// limit of a service that is unknown here. Neither may crash the process, which would cut every stream in it.
func TestLimitOfUnknownService(t *testing.T) {
	limits := limitsOf(func() *settings.Snapshot { return &settings.Snapshot{} })
	must.Eq(t, limit.Limit{}, limits(limit.Key{Workspace: "gone/roads", Class: "urgent"}))
	must.Eq(t, limit.Limit{}, limits(limit.Key{Workspace: "no-slash"}))
}
