package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
)

// A control process with certificates of another authority, or with none, connects to an entry of the site. Let in, it
// could put any settings in force there. The entry must refuse it and keep what it has; the right one is let in again.
func TestControlOfAnotherAuthorityIsRefused(t *testing.T) {
	site, ctx := siteOf(t, 1, 1)
	control := site.Controls[0]
	must.NoError(t, control.Kill())
	linked(t, ctx, site, "down")

	foreign, err := localsite.WriteCerts(t.TempDir())
	must.NoError(t, err)
	must.NoError(t, site.Commit(ctx, site.SettingsText()+"# second\n", localsite.Revision))
	must.NoError(t, site.Restart(control, "-link-ca", foreign.CA, "-link-cert", foreign.Cert, "-link-key", foreign.Key))
	must.NoError(t, site.AwaitReady(ctx, control)) // it has the second revision and tries to hand it on
	time.Sleep(time.Second)
	inForce(t, ctx, site, localsite.Revision, site.Entries[0])
	linked(t, ctx, site, "down")
	must.NoError(t, control.Kill())

	own := site.LinkFiles()
	must.NoError(t, site.Restart(control, "-link-ca", own.CA, "-link-cert", own.Cert, "-link-key", own.Key))
	inForce(t, ctx, site, localsite.Revision+1, site.Entries[0])
}

// linked waits until the entry's link to its control process is up or down.
func linked(t *testing.T, ctx context.Context, site *localsite.Site, want string) {
	t.Helper()
	must.NoError(t, proc.Until(ctx, "the link", func(ctx context.Context) error {
		st, err := localsite.Operator(site.Entries[0]).Status(ctx)
		if err == nil && st.Link != want {
			err = fmt.Errorf("the link is %s, want %s", st.Link, want)
		}
		return err
	}))
}
