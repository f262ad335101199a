package entry

import (
	"context"
	"net/http"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/result"
)

// claimCall registers the call in the claim table before it is sent, or finds the answer of an earlier run.
func (s *Server) claimCall(ctx context.Context, pc *plainCall) *result.Error {
	c, sum, err := s.opts.Claims.Begin(ctx, claim.Request{
		Workspace:   pc.workspace.Name,
		Key:         pc.headers.Key,
		Fingerprint: claim.Fingerprint(pc.call.Method, pc.call.Path, pc.call.Body),
		Generation:  pc.id,
	})
	switch {
	case err != nil:
		return err
	case sum != nil && sum.Code == result.OK && sum.Kept:
		pc.replay = sum
		return nil
	case sum != nil:
		return replayedError(sum)
	}
	pc.claim = c
	pc.firstAttempt = c.FirstAttempt()
	return nil
}

// markSent records in the claim that the call is about to be sent.
func (pc *plainCall) markSent(ctx context.Context, name string, try uint32) error {
	if pc.claim == nil {
		return nil
	}
	if err := pc.claim.MarkSent(ctx, name, pc.firstAttempt+try-1); err != nil {
		pc.claim = nil
		return err
	}
	return nil
}

// settleClaim records the outcome of the call. A complete answer is stored even if the caller had disconnected.
func (pc *plainCall) settleClaim(resp *http.Response, err *result.Error) {
	switch {
	case pc.claim == nil:
	case err != nil && result.Lookup(err.Code).Outcome == result.NotRun:
		pc.claim.Release()
	case err != nil && !pc.complete:
		pc.claim.Finish(claim.Summary{Code: err.Code, Status: result.Lookup(err.Code).HTTP})
	default:
		pc.claim.Finish(claim.Summary{
			Code:        result.OK,
			Status:      resp.StatusCode,
			ContentType: resp.Header.Get("Content-Type"),
			Body:        pc.answer,
			Kept:        len(pc.answer) <= claim.DefaultMaxBody,
		})
	}
}

// retainAnswer keeps the start of the answer for the claim. One byte beyond the limit marks the answer as too long to store.
func (pc *plainCall) retainAnswer(chunk []byte) {
	if pc.claim == nil {
		return
	}
	free := claim.DefaultMaxBody + 1 - len(pc.answer)
	pc.answer = append(pc.answer, chunk[:min(free, len(chunk))]...)
}
