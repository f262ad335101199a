package record

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/result"
)

// retryAfterRunning is the retry delay for a caller whose entry is not known to be dead yet.
const retryAfterRunning = time.Second

// Get implements entry.Records.
func (r *Replicator) Get(ctx context.Context, workspace, idempotencyKey string) (*entry.Record, *result.Error) {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	best := r.findBest(ctx, keyOf(workspace, idempotencyKey))
	if best == nil {
		return nil, result.New(result.UnknownStream, "no entry has a record of this key")
	}
	if best.GetFinished() && best.GetFinishReason() == "" {
		// The generation failed. If it were returned as finished, the partial answer would be closed as if complete.
		return nil, result.New(result.UnknownStream, "the generation ended without an end mark")
	}
	if !best.GetFinished() && !best.GetReleased() && !r.ownerGone(ctx, best) {
		err := result.New(result.AlreadyRunning, "entry %s holds it", best.GetOwner())
		err.RetryAfter = retryAfterRunning
		return nil, err
	}
	rec, err := fromProto(best, idempotencyKey)
	if err != nil {
		return nil, result.Wrap(result.UnknownStream, err, "read the record")
	}
	return rec, nil
}

// findBest queries all peers that may hold the record and returns the most advanced reply. One of them may be the dead
// entry itself, behind a link that hangs, so the query takes half of the timeout and leaves the rest to check the owner.
func (r *Replicator) findBest(ctx context.Context, id key) *meshpb.Record {
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout/2)
	defer cancel()
	peers := candidates(rankedMembers(id, r.opts.View().Workers()))
	replies := make(chan *meshpb.Record, len(peers))
	for _, m := range peers {
		go func() { replies <- r.query(ctx, m, id) }()
	}
	var best *meshpb.Record
	for range peers {
		if reply := <-replies; reply != nil && (best == nil || moreAdvanced(reply, best)) {
			best = reply
		}
	}
	return best
}

// moreAdvanced reports whether a is more advanced than b.
func moreAdvanced(a, b *meshpb.Record) bool {
	if a.GetAttempt() != b.GetAttempt() {
		return a.GetAttempt() > b.GetAttempt()
	}
	if len(a.GetTokens()) != len(b.GetTokens()) {
		return len(a.GetTokens()) > len(b.GetTokens())
	}
	return a.GetFinished() && !b.GetFinished()
}

func (r *Replicator) query(ctx context.Context, m member.Member, id key) *meshpb.Record {
	if m.Instance == r.opts.Self.Instance {
		return r.store.get(time.Now(), id)
	}
	s, err := r.opts.Node.Open(ctx, mesh.Peer{Instance: m.Instance, Addr: m.MeshAddr}, meshpb.StreamKind_STREAM_RECORD)
	if err != nil {
		return nil
	}
	defer s.Close()
	get := &meshpb.RecordGet{Workspace: id.workspace, KeyHash: id.hash}
	by, _ := ctx.Deadline()
	reply, err := roundTrip(s, &meshpb.RecordRequest{Msg: &meshpb.RecordRequest_Get{Get: get}}, by)
	if err != nil {
		return nil
	}
	return reply.GetRecord()
}

// ownerGone reports whether the entry that runs the generation is known to be dead, replaced or disconnected. A caller whose
// connection broke retries before any heartbeat is missed, so a refused connection counts as well.
func (r *Replicator) ownerGone(ctx context.Context, rec *meshpb.Record) bool {
	m, ok := r.opts.View().Get(rec.GetOwner())
	switch {
	case !ok, m.State == member.Dead, m.Incarnation > rec.GetOwnerIncarnation():
		return true
	case m.Instance == r.opts.Self.Instance:
		return false
	}
	s, err := r.opts.Node.Open(ctx, mesh.Peer{Instance: m.Instance, Addr: m.MeshAddr}, meshpb.StreamKind_STREAM_RECORD)
	if err != nil {
		return mesh.Refused(err)
	}
	defer s.Close()
	return s.Peer().Incarnation > rec.GetOwnerIncarnation()
}

func toProto(r *entry.Record, id key, from int, self mesh.Identity) *meshpb.Record {
	return &meshpb.Record{
		Generation:       r.Generation[:],
		Workspace:        id.workspace,
		KeyHash:          id.hash,
		Fingerprint:      r.Subject.Fingerprint,
		Target:           r.Target,
		Attempt:          r.Attempt,
		Delivered:        uint32(from + len(r.Tokens)),
		Owner:            self.Instance,
		OwnerIncarnation: self.Incarnation,
		Request:          r.Request,
		Path:             r.Path,
		Class:            r.Subject.Class,
		Service:          r.Subject.Service,
		Tokens:           r.Tokens,
		TokensFrom:       uint32(from),
		Software:         r.Software,
		Finished:         r.Finished,
		FinishReason:     r.FinishReason,
		Released:         r.Released,
	}
}

func fromProto(r *meshpb.Record, idempotencyKey string) (*entry.Record, error) {
	g, err := ids.FromBytes(r.GetGeneration())
	if err != nil {
		return nil, err
	}
	request, err := decompress(r.GetRequest())
	if err != nil {
		return nil, err
	}
	return &entry.Record{
		Generation: g,
		Subject: entry.Subject{
			Service:     r.GetService(),
			Workspace:   r.GetWorkspace(),
			Class:       r.GetClass(),
			Fingerprint: r.GetFingerprint(),
		},
		Key:          idempotencyKey,
		Attempt:      r.GetAttempt(),
		Target:       r.GetTarget(),
		Path:         r.GetPath(),
		Request:      request,
		Tokens:       r.GetTokens(),
		Software:     r.GetSoftware(),
		Finished:     r.GetFinished(),
		FinishReason: r.GetFinishReason(),
		Released:     r.GetReleased(),
		Owner:        claim.Holder{Instance: r.GetOwner(), Incarnation: r.GetOwnerIncarnation()},
	}, nil
}
