package control

import (
	"context"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/powerplan"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// entryPeer fetches the settings of the entry beside this process. Otherwise a control process replaced while the table's
// replicas lag would start with an older revision than its entry has in force, and one replaced during an outage with none.
// The entry suffices as the only peer, because it exchanges revisions with all other instances.
type entryPeer struct {
	node *mesh.Node
	addr string // IP:port of the entry's mesh listener
}

// FetchSettings implements settingsync.Peers.
func (e entryPeer) FetchSettings(ctx context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error) {
	return settingsync.Fetch(ctx, e.node, mesh.Peer{Instance: instance, Addr: e.addr}, offer)
}

// handleEntryMessage processes a message from the entry.
func (p *Process) handleEntryMessage(m *meshpb.LocalUp) {
	p.state.handleEntryMessage(m)
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

// forwardSettings sends each revision to the entry as soon as it is known, as the committed text. The entry parses it
// itself, so that a fault in one process's resolved form can't reach the other. The revision must be sent before it is in
// force here: this process first waits to hear from its entry, and the entry waits only briefly for this process.
func (p *Process) forwardSettings(ctx context.Context) {
	for {
		newest, changed := p.sync.Newest()
		if newest.GetRevision() > 0 {
			p.sendFallbacks(newest)
			p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Settings{Settings: newest}})
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendFallbacks sends the entry its fallback shares while no settings are in force here and so no shares were sent yet. The
// entry may activate the revision immediately, and without a share its draw would be unlimited.
func (p *Process) sendFallbacks(body *meshpb.SettingsBody) {
	if p.Snapshot() != nil {
		return
	}
	tree, err := settings.Parse(body.GetYaml(), "revision")
	if err != nil {
		return // the entry can't parse it either
	}
	snap, err := tree.Resolve(body.GetRevision())
	if err != nil {
		return
	}
	for _, s := range fallbackShares(powerplan.FromSnapshot(snap)) {
		p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Power{Power: s}})
	}
}

// applySite applies the site's values that this process uses, with each revision.
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
