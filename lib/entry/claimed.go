package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
)

// headerReplayed marks an answer replayed from an earlier run of the same key.
const headerReplayed = "Idempotent-Replayed"

// needsClaim reports whether a keyed generation must be claimed. Generations count as non-idempotent unless the service
// is configured as idempotent.
func (a *completionRequest) needsClaim() bool { return a.headers.Key != "" && !a.service.Idempotent }

// claim registers a keyed generation in the claim table, visible to all entries, before any part of it is sent.
func (s *Server) claim(ctx context.Context, g *generation, a *completionRequest) (*claim.Summary, *result.Error) {
	if !a.needsClaim() {
		return nil, nil
	}
	c, sum, err := s.opts.Claims.Begin(ctx, a.claimRequest(g, a.completion.Path(), a.body))
	g.claim = c
	if c != nil {
		g.setFirstAttempt(c.FirstAttempt())
	}
	return sum, err
}

func (a *completionRequest) claimRequest(g *generation, path string, body []byte) claim.Request {
	return claim.Request{
		Workspace:   a.workspace.Name,
		Key:         a.headers.Key,
		Fingerprint: claim.Fingerprint(http.MethodPost, path, body),
		Generation:  g.idText,
	}
}

// takeOverClaim makes this entry the holder of a restored generation's claim before any part of it is sent. Two entries
// may read the same record concurrently and would both run the remainder; the claim table admits only one of them.
//
// An idempotent generation has no claim. If two entries resume it, only engine time is wasted: each numbers its own
// attempts and checks its own tokens, so no stream mixes tokens of both.
func (s *Server) takeOverClaim(ctx context.Context, g *generation, a *completionRequest, rec *Record) (Claim, *result.Error) {
	if !a.needsClaim() {
		return nil, nil
	}
	// The fingerprint uses the record's body, since the caller may have sent the same content in different bytes.
	req := a.claimRequest(g, rec.Path, rec.Request)
	req.Owner = rec.Owner
	c, sum, err := s.opts.Claims.TakeOver(ctx, req, rec.Attempt+restoreGap)
	if sum != nil {
		return nil, replayedError(sum)
	}
	return c, err
}

// closeClaim finishes the claim of a generation whose record is complete, in case its entry died before doing so. It
// runs in the background; the caller doesn't wait, since nothing is run.
func (s *Server) closeClaim(g *generation, a *completionRequest, rec *Record) {
	defer s.background.Done()
	c, err := s.takeOverClaim(context.Background(), g, a, rec)
	if c == nil || err != nil {
		return
	}
	<-g.done
	c.Finish(g.summary())
}

// markSent records in the claim that the attempt is about to be sent. Once a token has arrived, the claim permanently
// names the engine that produced it, and later attempts proceed without the table, which may be down by then. Until then
// every attempt is marked, even after one that may have run: an engine that received a request and never started it
// truthfully reports "not run", and the claim must not rely on that while another engine runs the remainder.
func (s *Server) markSent(g *generation, target string, number uint32) *result.Error {
	if g.claim == nil || g.delivered() > 0 {
		return nil
	}
	mark := g.claim.MarkSent
	if g.possiblyRan() {
		mark = g.claim.MarkResent
	}
	err := mark(g.ctx, target, number)
	if err != nil && !(g.possiblyRan() && err.Code == result.StoreDown) {
		g.claim = nil
	}
	return err
}

// StopSuperseded stops a generation that another entry has resumed, because this entry was frozen or partitioned long
// enough to be considered dead. Its claim is no longer held here and can't be settled, and engines treat the other
// entry's attempts as newer. Continuing would occupy an engine for text that is delivered elsewhere. The caller is told
// to retry with the key; the record is no longer written, and the next request with the key goes to the other entry.
func (s *Server) StopSuperseded(id ids.Generation) {
	if g := s.table.removeSuperseded(id); g != nil {
		g.cancel(errTakenOver)
	}
}

// settleClaim records the outcome of a generation. The key is released only if nothing was run under it.
func (g *generation) settleClaim() {
	switch {
	case g.claim == nil:
	case g.err != nil && result.Lookup(g.err.Code).Outcome == result.NotRun:
		g.claim.Release()
	default:
		g.claim.Finish(g.summary())
	}
}

// summary returns the outcome kept in the claim, used for resends when nothing else of the generation is left.
func (g *generation) summary() claim.Summary {
	if g.err != nil {
		return claim.Summary{Code: g.err.Code, Status: result.Lookup(g.err.Code).HTTP}
	}
	body, err := json.Marshal(g.answer())
	return claim.Summary{
		Code:        result.OK,
		Status:      http.StatusOK,
		ContentType: contentJSON,
		Body:        body,
		Kept:        err == nil,
	}
}

const contentJSON = "application/json"

// replayedError returns the error for a resend of a finished request, in place of a run.
func replayedError(sum *claim.Summary) *result.Error {
	if sum.Code != result.OK {
		return result.New(sum.Code, "as the first request with this %s was told", callerapi.HeaderKey)
	}
	return result.New(result.AnswerGone, "%s", callerapi.HeaderKey)
}

// writeReplayed writes the stored answer of an earlier run.
func writeReplayed(w http.ResponseWriter, sum *claim.Summary) {
	h := w.Header()
	h.Set("Content-Type", sum.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(sum.Body)))
	h.Set(headerReplayed, "true")
	h.Set(callerapi.HeaderCode, strconv.Itoa(int(result.OK)))
	w.WriteHeader(sum.Status)
	_, _ = w.Write(sum.Body)
}
