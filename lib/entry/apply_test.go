package entry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A partitioned peer or a lagging table replica delivers an older settings revision after a newer one. Applying it would
// revert a change that callers have already seen. The entry keeps the newer revision.
func TestOlderRevisionIsNotApplied(t *testing.T) {
	text := siteText("", true, nil, nil)
	r := newRig(t, text, nil)
	r.server.Apply(snapshot(t, text, 5))
	must.Eq(t, 5, r.server.Revision())
	r.server.Apply(snapshot(t, text, 3))
	must.Eq(t, 5, r.server.Revision())
	must.Eq(t, 5, r.server.Snapshot().Revision)
	r.server.Apply(snapshot(t, text, 6))
	must.Eq(t, 6, r.server.Revision())
}
