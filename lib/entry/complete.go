package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/stream"
)

// restoreGap is added to the attempt number when a generation is taken over from a dead entry, because that entry's last
// attempts may be missing from the record.
const restoreGap = 16

// serveCompletion handles a completion request: it starts a generation, joins a running one, or resumes one.
func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	rq, ok := s.accept(w, r)
	if !ok {
		return
	}
	defer s.table.leave()
	a, err := s.readCompletion(w, r, rq)
	if err != nil {
		s.refuse(w, rq, err)
		return
	}
	g, sk, err := s.obtain(r.Context(), a)
	if err != nil {
		s.refuse(w, rq, err)
		return
	}
	if a.replay != nil {
		writeReplayed(w, a.replay)
		return
	}
	s.deliver(w, r, g, sk)
}

// completionRequest is a completion request with the settings that apply to it.
type completionRequest struct {
	*request
	conn       http.ResponseWriter
	completion *callerapi.Completion
	body       []byte
	service    *settings.Service
	policy     *settings.Policy
	subject    Subject
	replay     *claim.Summary // set when only the stored answer of an earlier run can be returned
}

func (s *Server) readCompletion(w http.ResponseWriter, r *http.Request, rq *request) (*completionRequest, *result.Error) {
	if r.Method != http.MethodPost {
		return nil, result.New(result.NoRoute, "%s %s", r.Method, r.URL.Path)
	}
	body, err := s.readBody(w, r, maxBodyBytes)
	if err != nil {
		return nil, err
	}
	c, err := callerapi.ParseCompletion(body, r.URL.Path == engineapi.PathChatCompletions)
	if err != nil {
		return nil, err
	}
	a := &completionRequest{request: rq, conn: w, completion: c, body: body}
	if a.service = rq.view.snapshot.LookupModel(c.Model); a.service == nil {
		return nil, result.New(result.NoRoute, "model %q", c.Model)
	}
	if a.policy, err = rq.policy(a.service); err != nil {
		return nil, err
	}
	if len(body) > a.policy.MaxBody {
		return nil, result.New(result.BodyTooLarge, "%d bytes at most", a.policy.MaxBody)
	}
	c.LimitMaxTokens(a.policy.MaxTokens)
	a.subject = Subject{Service: a.service.Name, Workspace: rq.workspace.Name, Class: rq.class, Fingerprint: c.Fingerprint()}
	return a, nil
}

// obtain returns the generation to deliver with an attached sink: the one in progress here under the request's key, one
// taken over from a dead entry, or a new one.
func (s *Server) obtain(ctx context.Context, a *completionRequest) (*generation, *sink, *result.Error) {
	last := a.headers.LastEvent
	if last != nil && (a.headers.Key == "" || !a.completion.Stream) {
		return nil, nil, result.New(result.BadHeader, "%s needs %s and a streamed answer", callerapi.HeaderLastEvent, callerapi.HeaderKey)
	}
	if g := s.table.find(a.workspace.Name, a.headers.Key); g != nil {
		return s.join(ctx, g, a)
	}
	if last != nil {
		return s.takeOver(ctx, a)
	}
	return s.admit(ctx, a)
}

// newSink returns a sink for the request's connection, starting at the first token the caller lacks.
func (a *completionRequest) newSink() *sink {
	sk := newSink(a.conn, a.policy, !a.completion.Stream)
	if a.headers.LastEvent != nil {
		sk.resume(*a.headers.LastEvent)
	}
	return sk
}

// join attaches a returning caller to the generation of its key. A generation stopped for lack of a caller is resumed.
func (s *Server) join(ctx context.Context, g *generation, a *completionRequest) (*generation, *sink, *result.Error) {
	if g.subject.Fingerprint != a.subject.Fingerprint || g.service.Name != a.service.Name {
		return nil, nil, result.New(result.KeyReused, "%s", callerapi.HeaderKey)
	}
	last := a.headers.LastEvent
	if last != nil && last.Generation != g.id && !g.isOwned() {
		// The claim is still pending and may lead to another generation ID. UnknownStream would make the caller give up
		// a stream that might still be resumable, so it is told to retry.
		err := result.New(result.AlreadyRunning, "its claim is asked for")
		err.RetryAfter = time.Second
		return nil, nil, err
	}
	if last != nil && last.Generation != g.id {
		return nil, nil, result.New(result.UnknownStream, "%s names another generation", callerapi.HeaderLastEvent)
	}
	if g.resumable() {
		s.table.releaseKey(g)
		return s.resume(ctx, a, g.fullRecord())
	}
	sk := a.newSink()
	if err := g.attach(s.now(), sk, last != nil); err != nil {
		return nil, nil, err
	}
	g.log(log.Info(), "caller_joined").Str("by_request", a.id).Msg("")
	return g, sk, nil
}

// admit starts a new generation or refuses it immediately.
func (s *Server) admit(ctx context.Context, a *completionRequest) (*generation, *sink, *result.Error) {
	g := s.newGeneration(a, ids.New(), stream.New)
	if err := s.admission(ctx, g); err != nil {
		return nil, nil, err
	}
	sk := a.newSink()
	if err := g.attach(s.now(), sk, true); err != nil {
		g.release()
		return nil, nil, err
	}
	if holder := s.table.add(g); holder != nil {
		g.release()
		return s.join(ctx, holder, a)
	}
	if sum, err := s.claim(ctx, g, a); sum != nil || err != nil {
		return s.notClaimed(ctx, a, g, sk, sum, err)
	}
	s.opts.Budgets.Deposit(s.now(), g.subject.Workspace, g.policy.RetryBudget)
	go s.run(g)
	return g, sk, nil
}

// notClaimed handles a request whose key is held or was finished elsewhere. If the holder is gone or done, the generation
// is restored from its record; otherwise the answer comes from the claim.
func (s *Server) notClaimed(ctx context.Context, a *completionRequest, g *generation, sk *sink, sum *claim.Summary, err *result.Error) (*generation, *sink, *result.Error) {
	if sum != nil {
		err = replayedError(sum)
	}
	s.withdraw(g, sk, err)
	if err.Code == result.StoreDown || err.Code == result.KeyReused {
		return nil, nil, err
	}
	g, sk, takeOverErr := s.takeOver(ctx, a)
	if takeOverErr == nil {
		return g, sk, nil
	}
	unfinished := sum == nil || result.Lookup(sum.Code).RetryAdvice == result.RetryWithKey
	if unfinished && (takeOverErr.Code == result.AlreadyRunning || takeOverErr.Code == result.StoreDown) {
		return nil, nil, takeOverErr // another entry runs it, or no entry can for now: not orphaned, and not to be given up
	}
	if sum != nil && sum.Code == result.OK && sum.Kept && !a.completion.Stream {
		a.replay = sum
		return nil, nil, nil
	}
	return nil, nil, err
}

// withdraw ends a generation that never started. Connections that joined it meanwhile receive the error too.
func (s *Server) withdraw(g *generation, caller *sink, err *result.Error) {
	s.table.remove(g)
	g.detach(caller, s.now())
	g.end(s.now(), err)
	g.release()
}

// admission runs the checks that precede sending: deadline, poison and limits.
func (s *Server) admission(ctx context.Context, g *generation) *result.Error {
	if !g.deadline.IsZero() && !s.now().Before(g.deadline) {
		err := result.New(result.DeadlineTooNear, "it has passed")
		err.RetryAfter = time.Second
		return err
	}
	if err := s.checkPoison(ctx, g.subject.Fingerprint); err != nil {
		return err
	}
	if err := s.checkPrefixes(g); err != nil {
		return err
	}
	var err *result.Error
	g.release, err = s.opts.Limiter.Acquire(ctx, g.subject, g.policy)
	return err
}

// takeOver resumes a generation whose entry died, from the record it stored with a peer.
func (s *Server) takeOver(ctx context.Context, a *completionRequest) (*generation, *sink, *result.Error) {
	rec, err := s.opts.Records.Get(ctx, a.workspace.Name, a.headers.Key)
	if err != nil {
		return nil, nil, err
	}
	if err := checkRecord(rec, a); err != nil {
		return nil, nil, err
	}
	return s.resume(ctx, a, rec)
}

// resume runs the remainder of a generation that no entry is running.
func (s *Server) resume(ctx context.Context, a *completionRequest, rec *Record) (*generation, *sink, *result.Error) {
	g, sk := s.restoreGeneration(a, rec), a.newSink()
	err := g.attach(s.now(), sk, true)
	if err != nil {
		return nil, nil, err
	}
	if g.release, err = s.opts.Limiter.Acquire(ctx, g.subject, g.policy); err != nil {
		return nil, nil, err
	}
	if holder := s.table.add(g); holder != nil {
		g.release()
		return s.join(ctx, holder, a)
	}
	if rec.Finished {
		g.log(log.Info(), "told_again").Int("tokens", len(rec.Tokens)).Msg("")
		s.background.Add(1)
		go s.closeClaim(g, a, rec)
		g.markOwned()
		go s.finish(g, nil)
		return g, sk, nil
	}
	if g.claim, err = s.takeOverClaim(ctx, g, a, rec); err != nil {
		s.withdraw(g, sk, err)
		return nil, nil, err
	}
	g.log(log.Info(), "taken_over").Int("tokens", len(rec.Tokens)).Msg("")
	go s.run(g)
	return g, sk, nil
}

// checkRecord returns an error if the record belongs to another request, that is, the key was reused.
func checkRecord(rec *Record, a *completionRequest) *result.Error {
	last := a.headers.LastEvent
	switch {
	case rec.Subject.Fingerprint != a.subject.Fingerprint || rec.Subject.Service != a.service.Name:
		return result.New(result.KeyReused, "%s", callerapi.HeaderKey)
	case last != nil && last.Generation != rec.Generation:
		return result.New(result.UnknownStream, "%s names another generation", callerapi.HeaderLastEvent)
	}
	return nil
}

// restoreGeneration rebuilds a generation from its record.
func (s *Server) restoreGeneration(a *completionRequest, rec *Record) *generation {
	g := s.newGeneration(a, rec.Generation, func(id ids.Generation) *stream.State {
		return stream.Restore(id, rec.Attempt+restoreGap, uint32(len(rec.Tokens)))
	})
	for _, token := range rec.Tokens {
		g.text.Append([]byte(token))
	}
	g.software = rec.Software
	g.finishReason = rec.FinishReason
	g.mayHaveRun = true
	g.lastToken = g.accepted
	return g
}

func (s *Server) newGeneration(a *completionRequest, id ids.Generation, state func(ids.Generation) *stream.State) *generation {
	ctx, cancel := context.WithCancelCause(context.Background())
	c := a.completion
	return &generation{
		id:         id,
		idText:     id.String(),
		request:    a.id,
		subject:    a.subject,
		key:        a.headers.Key,
		policy:     a.policy,
		view:       a.view,
		service:    a.service,
		completion: c,
		body:       a.body,
		template:   c.Template(),
		shape:      callerapi.ResponseBuilder{Generation: id, Model: c.Model, Chat: c.Chat},
		prefixes:   engineapi.PrefixHashes(c.Prompt),
		accepted:   a.accepted,
		deadline:   a.deadline(a.policy),
		metrics:    s.metrics.Pair(a.workspace.Name, a.class),
		ctx:        ctx,
		cancel:     cancel,
		done:       make(chan struct{}),
		state:      state(id),
	}
}
