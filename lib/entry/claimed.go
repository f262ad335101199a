package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"anvilwick.example/anvilwick/lib/callerapi"
	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/result"
)

// headerReplayed marks the answer of an earlier run, told again to a resend.
const headerReplayed = "Idempotent-Replayed"

// needsClaim reports whether a keyed generation must be claimed: unless a route of its service says that the path is
// idempotent, it is not.
func (a *asked) needsClaim() bool {
	if a.headers.Key == "" {
		return false
	}
	for _, r := range a.service.Routes {
		if r.Idempotent && r.Prefix == a.completion.Path() {
			return false
		}
	}
	return true
}

// claim makes a keyed generation known to all entries before any of it is sent.
func (s *Server) claim(ctx context.Context, g *generation, a *asked) (*claim.Summary, *result.Error) {
	if !a.needsClaim() {
		return nil, nil
	}
	c, sum, err := s.opts.Claims.Begin(ctx, claim.Request{
		Workspace:   a.workspace.Name,
		Key:         a.headers.Key,
		Fingerprint: claim.Fingerprint(http.MethodPost, a.completion.Path(), a.body),
		Generation:  g.idText,
	})
	g.claim = c
	if c != nil {
		g.beginAt(c.FirstAttempt())
	}
	return sum, err
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
