package entry

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A change that callers have already seen is taken back: a peer that was cut off, or a table's replica that lags, brings
// an older revision after a newer one. The entry keeps the newer; one as new may come again.
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
