package settingsync

import (
	"context"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// Fetch asks a process for its settings over a stream of kind STREAM_SETTINGS. ctx bounds the whole exchange. A body of
// revision 0 means that it has nothing over the offer.
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

// ServeStream answers the offers that come over a mesh stream until it ends.
func (s *Sync) ServeStream(st *mesh.Stream) error { return s.Serve(conversation{st}) }

// conversation gives a mesh stream the types of a Conversation.
type conversation struct{ *mesh.Stream }

func (c conversation) Read(o *meshpb.SettingsOffer) error { return c.Stream.Read(o) }
func (c conversation) Write(b *meshpb.SettingsBody) error { return c.Stream.Write(b) }
