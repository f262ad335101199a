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

// A control process with certificates of another authority, or with none, connects to an entry of the site. If accepted, it
// could put any settings in force there. The entry must reject it and keep its settings; a control process with the right
// certificates must be accepted again.
func TestControlWithForeignCertificateIsRejected(t *testing.T) {
	site, ctx := startSite(t, 1, 1)
	control := site.Controls[0]
	must.NoError(t, control.Kill())
	awaitLinkState(t, ctx, site, "down")

	foreign, err := localsite.WriteCerts(t.TempDir())
	must.NoError(t, err)
	must.NoError(t, site.Commit(ctx, site.SettingsText()+"# second\n", localsite.Revision))
	must.NoError(t, site.Restart(control, "-link-ca", foreign.CA, "-link-cert", foreign.Cert, "-link-key", foreign.Key))
	must.NoError(t, site.AwaitReady(ctx, control)) // it has the second revision and tries to send it to the entry
	time.Sleep(time.Second)
	awaitRevision(t, ctx, site, localsite.Revision, site.Entries[0])
	awaitLinkState(t, ctx, site, "down")
	must.NoError(t, control.Kill())

	own := site.LinkFiles()
	must.NoError(t, site.Restart(control, "-link-ca", own.CA, "-link-cert", own.Cert, "-link-key", own.Key))
	awaitRevision(t, ctx, site, localsite.Revision+1, site.Entries[0])
}

// awaitLinkState waits until the entry's link to its control process is up or down.
func awaitLinkState(t *testing.T, ctx context.Context, site *localsite.Site, want string) {
	t.Helper()
	must.NoError(t, proc.Until(ctx, "the link", func(ctx context.Context) error {
		st, err := localsite.Operator(site.Entries[0]).Status(ctx)
		if err == nil && st.Link != want {
			err = fmt.Errorf("link is %s, want %s", st.Link, want)
		}
		return err
	}))
}
