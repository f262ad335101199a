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

// headerReplayed marks the answer of an earlier run, told again to a resend.
const headerReplayed = "Idempotent-Replayed"

// needsClaim reports whether a keyed generation must be claimed: unless its service says that generations are
// idempotent, they are not.
func (a *asked) needsClaim() bool { return a.headers.Key != "" && !a.service.Idempotent }

// claim makes a keyed generation known to all entries before any of it is sent.
func (s *Server) claim(ctx context.Context, g *generation, a *asked) (*claim.Summary, *result.Error) {
	if !a.needsClaim() {
		return nil, nil
	}
	c, sum, err := s.opts.Claims.Begin(ctx, a.claimRequest(g, a.completion.Path(), a.body))
	g.claim = c
	if c != nil {
		g.beginAt(c.FirstAttempt())
	}
	return sum, err
}

func (a *asked) claimRequest(g *generation, path string, body []byte) claim.Request {
	return claim.Request{
		Workspace:   a.workspace.Name,
		Key:         a.headers.Key,
		Fingerprint: claim.Fingerprint(http.MethodPost, path, body),
		Generation:  g.idText,
	}
}

// moveClaim makes this entry the holder of a restored generation's claim, before anything of it is sent. Two entries can
// find the same record at once, and both would run the rest: the table lets only one of them by.
//
// An idempotent generation has no claim. Two entries that go on with it cost engine time only: each numbers its own
// attempts and checks its own tokens, and no stream holds tokens of both.
func (s *Server) moveClaim(ctx context.Context, g *generation, a *asked, rec *Record) (Claim, *result.Error) {
	if !a.needsClaim() {
		return nil, nil
	}
	// The record's body, since the caller may have sent the same content in other bytes.
	req := a.claimRequest(g, rec.Path, rec.Request)
	req.Owner = rec.Owner
	c, sum, err := s.opts.Claims.TakeOver(ctx, req, rec.Attempt+restoreGap)
	if sum != nil {
		return nil, retold(sum)
	}
	return c, err
}

// closeClaim keeps the outcome of a generation whose end is in its record, in case its entry died before its claim told
// it. The caller doesn't wait for it: nothing is run.
func (s *Server) closeClaim(g *generation, a *asked, rec *Record) {
	defer s.background.Done()
	c, err := s.moveClaim(context.Background(), g, a, rec)
	if c == nil || err != nil {
		return
	}
	<-g.done
	c.Finish(g.summary())
}

// markSent records in the claim that the attempt is about to leave. Once a token came, the claim names the engine that gave
// it and says so for good; later attempts go on without the table, which may be down by then. Until then each attempt is
// marked, also after one that may have run: an engine that took a request and never began it proves that truly, and the
// claim may not rest on its word while another engine runs the rest.
func (s *Server) markSent(g *generation, target string, number uint32) *result.Error {
	if g.claim == nil || g.delivered() > 0 {
		return nil
	}
	mark := g.claim.Sent
	if g.ran() {
		mark = g.claim.Resent
	}
	err := mark(g.ctx, target, number)
	if err != nil && !(g.ran() && err.Code == result.StoreDown) {
		g.claim = nil
	}
	return err
}

// StopSuperseded stops a generation that another entry goes on with: this one was frozen or cut off for so long that it was
// taken for dead. Its claim is not its own any more, so it can't be settled; engines take the other's attempts for the
// later ones. Run on, it would keep an engine busy for a text that is given elsewhere. Its caller is told to ask again with
// the key; its record is no longer put, and the next request with the key is led to the other entry.
func (s *Server) StopSuperseded(id ids.Generation) {
	if g := s.table.lost(id); g != nil {
		g.cancel(errTakenOver)
	}
}

// settleClaim keeps the outcome of a generation. A key is free again only when nothing was run under it.
func (g *generation) settleClaim() {
	switch {
	case g.claim == nil:
	case g.err != nil && result.Lookup(g.err.Code).Outcome == result.NotRun:
		g.claim.Release()
	default:
		g.claim.Finish(g.summary())
	}
}

// summary is what a resend is told when nothing else of the generation is left.
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

// retold is what a resend of a finished request gets in place of a run.
func retold(sum *claim.Summary) *result.Error {
	if sum.Code != result.OK {
		return result.New(sum.Code, "as the first request with this %s was told", callerapi.HeaderKey)
	}
	return result.New(result.AnswerGone, "%s", callerapi.HeaderKey)
}

// writeKept writes the kept answer of an earlier run.
func writeKept(w http.ResponseWriter, sum *claim.Summary) {
	h := w.Header()
	h.Set("Content-Type", sum.ContentType)
	h.Set("Content-Length", strconv.Itoa(len(sum.Body)))
	h.Set(headerReplayed, "true")
	h.Set(callerapi.HeaderCode, strconv.Itoa(int(result.OK)))
	w.WriteHeader(sum.Status)
	_, _ = w.Write(sum.Body)
}
