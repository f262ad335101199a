package owner

import "time"

const (
	// turnedLife is how long a stream that was told to come back is remembered, beyond the time that it was told.
	turnedLife = 5 * time.Second
	// turnedEarly is how much sooner than told one may come back. Who doesn't wait is not put before others for it.
	turnedEarly = 100 * time.Millisecond
	// turnedMax bounds the streams that are remembered.
	turnedMax = 4096
)

// turnAway remembers when a stream may come back.
func (b *Ledger) turnAway(now time.Time, a *PlaceRequest, after time.Duration) {
	if a.Fingerprint == 0 || len(b.turned) >= turnedMax {
		return
	}
	b.turned[a.Fingerprint] = now.Add(after)
}

// cameBack marks a stream whose caller was told to come back and does so as told.
func (b *Ledger) cameBack(now time.Time, a *PlaceRequest) {
	due, ok := b.turned[a.Fingerprint]
	if !ok || now.Before(due.Add(-turnedEarly)) {
		return
	}
	delete(b.turned, a.Fingerprint)
	a.Stream.IsRetry = true
}

func (b *Ledger) forgetTurned(now time.Time) {
	for print, due := range b.turned {
		if now.Sub(due) > turnedLife {
			delete(b.turned, print)
		}
	}
}
