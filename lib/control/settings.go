package control

import (
	"context"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// entryPeer fetches the settings of the entry beside this process. A control process that was replaced while the table's
// replicas lag would begin with an older revision than its entry has in force, and one replaced in an outage with none.
// The entry is enough as the only peer: it hears of all other instances.
type entryPeer struct {
	node *mesh.Node
	addr string // IP:port of the entry's mesh listener
}

// FetchSettings implements settingsync.Peers.
func (e entryPeer) FetchSettings(ctx context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error) {
	return settingsync.Fetch(ctx, e.node, mesh.Peer{Instance: instance, Addr: e.addr}, offer)
}

// hear takes a message from the entry.
func (p *Process) hear(m *meshpb.LocalUp) {
	p.tables.hear(m)
	if st := m.GetStatus(); st != nil {
		p.sync.SetPeerRevisions(map[string]uint64{p.opts.Instance: st.GetSettingsRevision()})
	}
}

// Snapshot returns the settings in force, or nil.
func (p *Process) Snapshot() *settings.Snapshot {
	if held := p.sync.Current(); held != nil {
		return held.Snapshot
	}
	return nil
}

// forwardSettings sends the entry each revision as soon as it is known, as the text it was committed with. The entry
// parses it itself: a fault in one process's resolved form can't reach the other. It must not wait until the revision is
// in force here: this process waits to hear its entry first, and the entry waits only a moment for this one.
func (p *Process) forwardSettings(ctx context.Context) {
	for {
		newest, changed := p.sync.Newest()
		if newest.GetRevision() > 0 {
			p.tellFallbacks(newest)
			p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Settings{Settings: newest}})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// tellFallbacks tells the entry what it may draw while nothing is in force here yet, and so nothing told it a share. It
// may be ready to run by the revision at once, and without a share it would draw what it likes.
func (p *Process) tellFallbacks(body *meshpb.SettingsBody) {
	if p.Snapshot() != nil {
		return
	}
	tree, err := settings.Parse(body.GetYaml(), "revision")
	if err != nil {
		return // the entry can't read it either
	}
	snap, err := tree.Resolve(body.GetRevision())
	if err != nil {
		return
	}
	for _, s := range fallbackShares(powerplan.FromSnapshot(snap)) {
		p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: s}})
	}
}

// applySite puts the site's values that this process acts on in force, with each revision.
func (p *Process) applySite(ctx context.Context) {
	for {
		updated := p.sync.Updated()
		if snap := p.Snapshot(); snap != nil {
			p.store.SetSite(snap.Site.StoreWritesPerSec, snap.Site.StoreReadsPerSec)
		}
		select {
		case <-ctx.Done():
			return
		case <-updated:
		}
	}
}
