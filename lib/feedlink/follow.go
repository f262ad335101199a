package feedlink

import (
	"context"
	"math/rand/v2"
	"time"
)

// Times of one that has the tables from a reader.
const (
	// probeEvery is the pause between two calls of one that ranks to read while the reader has lost the store, by its rank.
	probeEvery = 400 * time.Millisecond
	// relayProbe is the pause between two calls of one that relays once the reader is doubted: all that rank to read may be
	// cut off, and changes are to be in force in two seconds.
	relayProbe = 800 * time.Millisecond
	// lateProbe is when, after the age at which a reader is doubted, all others look for themselves, and how often: all that
	// rank to relay to them may be cut off, too.
	lateProbe = 2500 * time.Millisecond
	// probing is how many that relay in a failure domain look for the store as soon as the reader is doubted.
	probing = 3
	// reconsider is how often an instance looks whether it should read the store, or have it from another.
	reconsider = 500 * time.Millisecond
)

// moveTo looks for a reader that ranks higher, and subscribes to it before this instance's own reading ends: one that is
// dead, or has lost the store, is left alone without a gap.
func (t *Syncer) moveTo(ctx context.Context, now time.Time) bool {
	reader, self, _ := t.pick(now)
	if self || reader.Addr == "" {
		return false
	}
	s, err := t.open(ctx, reader)
	if err == nil {
		err = t.worse(s)
	}
	if err != nil {
		t.doubt(ctx, reader, err)
		return false
	}
	t.better = s
	return true
}

// worse tells why a reader that ranks higher is not to be followed all the same, and closes the subscription then.
//
// Failure: three instances that ranked to read took the tables from each other in a circle, since each had given up the
// reader that ranked before them. Nobody read the store, and settings were five seconds old although most could reach it.
// Pages say through whom they come, so that none follows one that follows it.
func (t *Syncer) worse(s *subscription) error {
	var err error
	switch {
	case s.behind() && (!t.StoreLost() || s.age > t.age(time.Now())):
		err = errTooOld
	case s.circular():
		err = errCycle
	default:
		return nil
	}
	s.close()
	return err
}

// follow takes the tables from a reader until it fails, or another is better.
func (t *Syncer) follow(ctx context.Context, s *subscription) {
	defer t.tellUp(s)()
	defer s.close()
	t.OnSourceChange(s.reader.Instance)
	looked := time.Now()
	for {
		t.lost.Store(s.lost)
		t.comesBy(s.path)
		if err := s.receive(); err != nil {
			t.doubt(ctx, s.reader, err)
			return
		}
		if s.circular() {
			t.doubt(ctx, s.reader, errCycle)
			return
		}
		if s.old {
			t.doubt(ctx, s.reader, errOldEra)
			return
		}
		if s.part != t.wantsPart() {
			return // as another kind of holder it asks for more, or for less
		}
		now := time.Now()
		if now.Sub(looked) >= reconsider {
			looked = now
			if t.leaves(ctx, now, s) || s.behind() && t.search(ctx, s.reader) {
				return
			}
		}
		if !t.mayProbe(now, s) {
			continue
		}
		t.probed = now.Add(rand.N(probeEvery / 2))
		if t.followers[0].Poll(ctx, 0) == nil {
			t.cutOff = avoided{}
			t.within = true
			t.doubt(ctx, s.reader, errTooOld)
			return
		}
	}
}

// leaves reports whether another reader, or this instance, should take over from the one followed.
func (t *Syncer) leaves(ctx context.Context, now time.Time, s *subscription) bool {
	reader, self, _ := t.pick(now)
	if !self {
		return reader.Addr != s.reader.Addr && t.moveTo(ctx, now)
	}
	if t.followers[0].Poll(ctx, 0) != nil {
		t.cutOff = t.cutOff.again(now)
		return false
	}
	t.cutOff = avoided{}
	return true
}

// wantsPart reports whether this instance holds a part of some table only.
func (t *Syncer) wantsPart() bool {
	for i := range t.Tables {
		if t.Tables[i].wantsPart() {
			return true
		}
	}
	return false
}

// mayProbe reports whether to look for the store although the reader has lost it. Those that rank to read do so at once, one
// after the other; the others only when these seem to be cut off, too.
func (t *Syncer) mayProbe(now time.Time, s *subscription) bool {
	place, age := t.Assignment(), t.age(now)
	switch place.Role {
	case RoleReader:
		return (s.lost || age > t.MaxAge) && now.Sub(t.probed) > time.Duration(1+place.Rank)*probeEvery
	case RoleRelay:
		if place.Rank >= probing {
			break
		}
		return age > t.MaxAge && now.Sub(t.probed) > relayProbe
	}
	return age > t.MaxAge+lateProbe+t.late && now.Sub(t.probed) > lateProbe+t.late
}
