package owner

import "time"

const (
	// rejectionTTL is how long a stream that was told to come back is remembered, beyond the time that it was told.
	rejectionTTL = 5 * time.Second
	// earlyTolerance is how much sooner than told one may come back. Who doesn't wait is not put before others for it.
	earlyTolerance = 100 * time.Millisecond
	// maxRejections bounds the streams that are remembered.
	maxRejections = 4096
)

// rememberRejection remembers when a stream may come back.
func (l *Ledger) rememberRejection(now time.Time, req *PlaceRequest, after time.Duration) {
	if req.Fingerprint == 0 || len(l.rejected) >= maxRejections {
		return
	}
	l.rejected[req.Fingerprint] = now.Add(after)
}

// markReturned marks a stream whose caller was told to come back and does so as told.
func (l *Ledger) markReturned(now time.Time, req *PlaceRequest) {
	due, ok := l.rejected[req.Fingerprint]
	if !ok || now.Before(due.Add(-earlyTolerance)) {
		return
	}
	delete(l.rejected, req.Fingerprint)
	req.Stream.IsRetry = true
}

func (l *Ledger) expireRejections(now time.Time) {
	for print, due := range l.rejected {
		if now.Sub(due) > rejectionTTL {
			delete(l.rejected, print)
		}
	}
}
