package owner

import "time"

const (
	// rejectionTTL is how long a rejected stream is remembered beyond its retry time.
	rejectionTTL = 5 * time.Second
	// earlyTolerance is how much too early a retry may come. Callers that do not wait gain no priority.
	earlyTolerance = 100 * time.Millisecond
	// maxRejections bounds the streams that are remembered.
	maxRejections = 4096
)

// rememberRejection records when a stream may be retried.
func (l *Ledger) rememberRejection(now time.Time, req *PlaceRequest, after time.Duration) {
	if req.Fingerprint == 0 || len(l.rejected) >= maxRejections {
		return
	}
	l.rejected[req.Fingerprint] = now.Add(after)
}

// markRetry marks a stream that is retried no earlier than its caller was told.
func (l *Ledger) markRetry(now time.Time, req *PlaceRequest) {
	due, ok := l.rejected[req.Fingerprint]
	if !ok || now.Before(due.Add(-earlyTolerance)) {
		return
	}
	delete(l.rejected, req.Fingerprint)
	req.Stream.IsRetry, req.promisedAt = true, due
}

func (l *Ledger) expireRejections(now time.Time) {
	for fingerprint, due := range l.rejected {
		if now.Sub(due) > rejectionTTL {
			delete(l.rejected, fingerprint)
		}
	}
}
