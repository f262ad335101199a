package settingsync

import (
	"context"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Fetch requests the settings of a process over a stream of kind STREAM_SETTINGS. ctx bounds the whole exchange. A body
// with revision 0 means that the process has nothing newer than the offer.
func Fetch(ctx context.Context, node *mesh.Node, from mesh.Peer, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error) {
	st, err := node.Open(ctx, from, meshpb.StreamKind_STREAM_SETTINGS)
	if err != nil {
		return nil, err
	}
	defer st.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = st.SetReadDeadline(deadline)
	}
	if err := st.Write(offer); err != nil {
		return nil, err
	}
	var body meshpb.SettingsBody
	return &body, st.Read(&body)
}

// ServeStream answers the offers received on a mesh stream until it ends.
func (s *Sync) ServeStream(st *mesh.Stream) error { return s.Serve(meshOfferStream{st}) }

// meshOfferStream adapts a mesh stream to OfferStream.
type meshOfferStream struct{ *mesh.Stream }

func (c meshOfferStream) Read(o *meshpb.SettingsOffer) error { return c.Stream.Read(o) }
func (c meshOfferStream) Write(b *meshpb.SettingsBody) error { return c.Stream.Write(b) }
