package stopping

import (
	"context"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	// BeatInterval is the interval at which a process records that it runs.
	BeatInterval = 100 * time.Millisecond
	// minStandstill is how much later than that a process records it if it stood still.
	minStandstill = 200 * time.Millisecond
	// longStandstill is the pause from which a process stood still in any case. In a shorter one it may also have been short of processor time, unless SIGCONT
	// ended it.
	longStandstill = time.Second
	// continueDelay is how long after another signal SIGCONT may be received that was sent before it. It is looked for each continuePoll.
	continueDelay, continuePoll = 100 * time.Millisecond, 5 * time.Millisecond
)

// Beats records when a process stood still last. Its methods may be called concurrently.
type Beats struct {
	mu                    sync.Mutex
	last                  time.Time // when it ran
	stoodFrom, stoodUntil time.Time
	continued             bool // SIGCONT ended that
}

// Run records that the process runs until ctx is done.
func (b *Beats) Run(ctx context.Context) {
	continued := make(chan os.Signal, 1)
	signal.Notify(continued, syscall.SIGCONT)
	defer signal.Stop(continued)
	t := time.NewTicker(BeatInterval)
	defer t.Stop()
	for {
		b.beat(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-continued:
			b.resume(time.Now())
		}
	}
}

// resume records that the process received SIGCONT.
func (b *Beats) resume(now time.Time) {
	b.beat(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.continued = b.continued || now.Sub(b.stoodUntil) <= BeatInterval
}

// beat records that the process runs.
func (b *Beats) beat(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.last.IsZero() && now.Sub(b.last) > BeatInterval+minStandstill {
		b.stoodFrom, b.stoodUntil, b.continued = b.last, now, false
	}
	b.last = now
}

// StopBegan returns from when the period of a stop counts whose signal is received now. A process that has just stood still may have been sent it at
// any time meanwhile, and its kill does not wait. At most half of the period counts as over: what is held needs time to be answered, and the signal may
// have been sent last.
func (b *Beats) StopBegan(now time.Time, period time.Duration) time.Time {
	b.beat(now)
	from, paused, stood := b.awaitStandstill(now)
	switch {
	case !paused:
		return now
	case !stood:
		return now.Add(-now.Sub(from) / 2) // it may have been sent, or received, late by any part of the pause
	}
	if earliest := now.Add(-period / 2); from.Before(earliest) {
		return earliest
	}
	return from
}

// awaitStandstill is like standstill, but after a short pause it waits for SIGCONT.
func (b *Beats) awaitStandstill(now time.Time) (from time.Time, paused, stood bool) {
	for end := time.Now().Add(continueDelay); ; time.Sleep(continuePoll) {
		from, paused, stood = b.standstill(now)
		if !paused || stood || time.Now().After(end) {
			return from, paused, stood
		}
	}
}

// standstill returns since when the process had paused until just now, if it had, and whether it is certain that it stood still.
func (b *Beats) standstill(now time.Time) (from time.Time, paused, stood bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	paused = now.Sub(b.stoodUntil) <= BeatInterval
	return b.stoodFrom, paused, paused && (b.continued || b.stoodUntil.Sub(b.stoodFrom) >= longStandstill)
}
