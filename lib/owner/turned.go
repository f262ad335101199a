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
func (b *Ledger) rememberRejection(now time.Time, a *PlaceRequest, after time.Duration) {
	if a.Fingerprint == 0 || len(b.rejected) >= maxRejections {
		return
	}
	b.rejected[a.Fingerprint] = now.Add(after)
}

// markReturned marks a stream whose caller was told to come back and does so as told.
func (b *Ledger) markReturned(now time.Time, a *PlaceRequest) {
	due, ok := b.rejected[a.Fingerprint]
	if !ok || now.Before(due.Add(-earlyTolerance)) {
		return
	}
	delete(b.rejected, a.Fingerprint)
	a.Stream.IsRetry = true
}

func (b *Ledger) expireRejections(now time.Time) {
	for print, due := range b.rejected {
		if now.Sub(due) > rejectionTTL {
			delete(b.rejected, print)
		}
	}
}
