package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/callerconn"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/entrymetrics"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/target"
)

// plainCall is one caller's call to a plain service.
type plainCall struct {
	*request
	service      *settings.Service
	route        *settings.Route
	policy       *settings.Policy
	subject      Subject
	call         target.Call
	claim        Claim
	firstAttempt uint32         // attempt number of the first try under the claim
	replay       *claim.Summary // stored answer of an earlier run under the same key
	answer       []byte         // start of the answer, stored in the claim

	mayHaveSent bool // some target may have received it
	complete    bool // the whole answer was read, even if the caller disconnected
	metrics     *entrymetrics.Pair
}

// servePlain routes requests of any method and path to a plain service.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	rq, ok := s.accept(w, r)
	if !ok {
		return
	}
	defer s.table.leave()
	pc, err := s.readPlain(w, r, rq)
	if err != nil {
		s.refuse(w, rq, err)
		return
	}
	release, err := s.admitPlain(r.Context(), pc)
	if err != nil {
		s.refuse(w, rq, err)
		return
	}
	defer release()
	if pc.replay != nil {
		writeReplayed(w, pc.replay)
		return
	}
	s.runPlain(w, r, pc)
}

func (s *Server) readPlain(w http.ResponseWriter, r *http.Request, rq *request) (*plainCall, *result.Error) {
	pc := &plainCall{request: rq}
	if pc.service, pc.route = rq.view.snapshot.LookupRoute(r.Method, r.URL.Path); pc.service == nil {
		return nil, result.New(result.NoRoute, "%s %s", r.Method, r.URL.Path)
	}
	var err *result.Error
	if pc.policy, err = rq.policy(pc.service); err != nil {
		return nil, err
	}
	if err := s.admitHeader(r.Header); err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r, pc.policy.MaxBody)
	if err != nil {
		return nil, err
	}
	header := r.Header.Clone()
	header.Del("Authorization") // the workspace's key must not reach targets
	header.Set(callerapi.HeaderRequestID, rq.id)
	pc.call = target.Call{
		Method:   r.Method,
		Path:     r.URL.RequestURI(),
		Header:   header,
		Body:     body,
		NoResend: !pc.route.Idempotent,
	}
	pc.subject = Subject{
		Service:     pc.service.Name,
		Workspace:   rq.workspace.Name,
		Class:       rq.class,
		Fingerprint: pc.fingerprint(),
	}
	pc.metrics = s.metrics.Pair(rq.workspace.Name, rq.class)
	return pc, nil
}

const (
	// smallHeader is the memory in bytes up to which a copy of a header is not worth a request to the budget.
	smallHeader = 16 << 10
	// headerCopies is how often a forwarded header is copied: here, and by net/http's client.
	headerCopies = 2
)

// admitHeader refuses a request that the process has no memory to forward the header of.
func (s *Server) admitHeader(h http.Header) *result.Error {
	cost := callerconn.CloneCost(h)
	if cost <= smallHeader || s.opts.Memory.Admit(headerCopies*cost, membudget.Bulk) {
		return nil
	}
	err := result.New(result.TooManyStreams, "no memory for a header of %d bytes", callerconn.HeaderBytes(h))
	err.RetryAfter = noMemoryRetryAfter
	return err
}

func (pc *plainCall) fingerprint() uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(pc.call.Method + " " + pc.call.Path + "\x00")
	_, _ = d.Write(pc.call.Body)
	return d.Sum64()
}

// admitPlain runs the checks that precede sending. The claim comes last, since it costs a write.
func (s *Server) admitPlain(ctx context.Context, pc *plainCall) (func(), *result.Error) {
	if err := s.checkPoison(ctx, pc.subject.Fingerprint); err != nil {
		return nil, err
	}
	release, err := s.opts.Limiter.Acquire(ctx, pc.subject, pc.policy)
	if err != nil {
		return nil, err
	}
	if pc.route.Idempotent || pc.headers.Key == "" {
		return release, nil
	}
	if err := s.claimCall(ctx, pc); err != nil {
		release()
		return nil, err
	}
	return release, nil
}

// runPlain sends the call and relays the answer.
func (s *Server) runPlain(w http.ResponseWriter, r *http.Request, pc *plainCall) {
	ctx, cancel := pc.boundContext(r.Context())
	defer cancel()
	if pc.claim == nil {
		defer context.AfterFunc(s.aborted, cancel)()
	}
	s.opts.Budgets.Deposit(s.now(), pc.subject.Workspace, pc.policy.RetryBudget)
	sentAt := s.now()
	resp, name, err := s.sendPlain(ctx, pc)
	if err != nil {
		s.endPlain(pc, name, nil, err)
		callerapi.WriteError(w, err, pc.id)
		return
	}
	defer resp.Body.Close()
	started, err := pc.relay(w, r, resp, s.opts.Memory)
	if err == nil {
		s.times.ObserveAnswer(pc.kind(), s.now().Sub(sentAt))
	}
	s.endPlain(pc, name, resp, err)
	if err == nil {
		return
	}
	if started {
		panic(http.ErrAbortHandler) // closing the connection mid-answer shows the caller that the answer is truncated
	}
	callerapi.WriteError(w, err, pc.id)
}

// claimedTimeout is the time limit of a claimed call without a deadline, since such a call outlives its caller.
const claimedTimeout = 10 * time.Minute

// boundContext bounds a call by its deadline and by the caller's connection. A claimed call continues when its caller
// disconnects: cancelling it would turn an outcome that is about to be known into an unknown one.
func (pc *plainCall) boundContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline := pc.deadline(pc.policy)
	if pc.claim != nil {
		ctx = context.WithoutCancel(ctx)
		if deadline.IsZero() {
			deadline = pc.accepted.Add(claimedTimeout)
		}
	}
	if deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline)
}

func (pc *plainCall) noTargetError(mayHaveRun bool) *result.Error {
	if mayHaveRun {
		return result.New(result.Unknown, "no other target can take it")
	}
	err := result.New(result.NoTarget, "service %q", pc.service.Name)
	err.RetryAfter = time.Second
	return err
}

func (pc *plainCall) giveUpError(mayHaveRun bool, cause error) *result.Error {
	if mayHaveRun {
		return result.Wrap(unknownCode(cause), cause, "get a target's answer")
	}
	err := result.Wrap(result.NoTarget, cause, "reach a target")
	err.RetryAfter = time.Second
	return err
}

// unknownCode distinguishes a silent target from a broken connection; in both cases the target may have run the call.
func unknownCode(cause error) result.Code {
	if errors.Is(cause, errSilent) {
		return result.TargetSilent
	}
	return result.Unknown
}

// endedError returns the error for a call whose deadline passed or whose caller disconnected.
func (pc *plainCall) endedError(ctx context.Context, mayHaveRun bool, cause error) *result.Error {
	if !mayHaveRun {
		err := result.Wrap(result.DeadlineTooNear, cause, "reach a target before the deadline")
		err.RetryAfter = time.Second
		return err
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return result.Wrap(result.TargetSilent, cause, "get the target's answer before the deadline")
	}
	return result.Wrap(result.Unknown, cause, "get the target's answer")
}

// endPlain settles the claim and writes metrics and the log line. resp is nil if no target answered.
func (s *Server) endPlain(pc *plainCall, name string, resp *http.Response, err *result.Error) {
	code := codeOf(err)
	pc.settleClaim(resp, err)
	elapsed := s.now().Sub(pc.accepted)
	pc.metrics.Duration.Update(elapsed.Seconds())
	pc.metrics.CountResult(code)
	e := log.Info().Str("event", "call_end").Str("request", pc.id).Str("workspace", pc.workspace.Name).Str("class", pc.class)
	e = e.Str("service", pc.service.Name).Str("target", name).Uint16("code", uint16(code))
	e.Str("result", result.Lookup(code).Name).Int64("took_ms", elapsed.Milliseconds()).Msg("")
}
