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

// turned is a stream that was told to come back.
type turned struct {
	first time.Time // when its caller first came
	due   time.Time // when it may come back
}

// turnAway remembers a stream that is told to come back.
func (b *Book) turnAway(now time.Time, a *Ask, after time.Duration) {
	if a.Print == 0 || len(b.turned) >= turnedMax {
		return
	}
	b.turned[a.Print] = turned{first: a.came, due: now.Add(after)}
}

// cameFirst is when a stream's caller first came: one that was told to come back, and does so as told, stands where it stood
// and not behind those who came later.
//
// Load pattern: traffic over what the engines carry. Of the streams that came back one in twenty was refused a second time,
// and its caller had nothing; in its old place one in two hundred is (replay, 24 seeds).
func (b *Book) cameFirst(now time.Time, a *Ask) time.Time {
	t, ok := b.turned[a.Print]
	if !ok || now.Before(t.due.Add(-turnedEarly)) {
		return a.Stream.Arrived
	}
	delete(b.turned, a.Print)
	return t.first
}

func (b *Book) forgetTurned(now time.Time) {
	for print, t := range b.turned {
		if now.Sub(t.due) > turnedLife {
			delete(b.turned, print)
		}
	}
}
