package ownerlink

import (
	"context"
	"time"

	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/ownerpb"
)

// leftFor is how long owners are told of a target that was seen to leave: until a lost datagram has been made up for.
const leftFor = 2 * time.Second

// beat tells other owners that this instance lives, while it ranks to own a shard or the targets of a plain service.
func (l *Link) beat(ctx context.Context) {
	t := time.NewTicker(owner.BeatEvery)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		// A clock that does not count the time of a suspended machine shows it by the time of day.
		if now.Sub(last) > stallTime || now.Round(0).Sub(last.Round(0)) > stallTime {
			l.Desk.Woke(now)
		}
		last = now
		l.sendBeat(now)
	}
}

func (l *Link) sendBeat(now time.Time) {
	to := make(map[string]string) // addresses by instance
	b := new(ownerpb.Beat)
	for _, s := range l.layout.Load().RankedBy(l.Self.Name) {
		addAll(to, s)
		if at, ok := l.Desk.Acting(now, s); !ok || at.Name != l.Self.Name {
			continue
		}
		f := l.Desk.Fills(now, s)
		b.Fills = append(b.Fills, &ownerpb.Fill{Shard: s.Key, Permille: uint32(permille * f.Part), Room: tokens(f.Room)})
		for _, n := range s.Neighbours() {
			addAll(to, n)
		}
	}
	for _, s := range l.layout.Load().Plain() {
		if s.IsCandidate(l.Self.Name) {
			addAll(to, s)
		}
	}
	delete(to, l.Self.Name)
	if len(to) == 0 {
		return
	}
	b.Cold, b.Leaving = l.Desk.State(now)
	for _, e := range l.Fleet.LeftSince(now.Add(-leftFor)) {
		if len(b.Left) < leftTold {
			b.Left = append(b.Left, &ownerpb.Left{Target: e.ID, Born: e.Born})
		}
	}
	d := l.own()
	d.Body = &ownerpb.Datagram_Beat{Beat: b}
	for _, addr := range to {
		l.send(addr, d)
	}
}

// permille is the unit in which fills are told.
const permille = 1000

func addAll(to map[string]string, s *owner.Shard) {
	for _, in := range s.Ranked {
		to[in.Name] = in.Addr
	}
}

func (l *Link) handleBeat(d *ownerpb.Datagram, b *ownerpb.Beat) {
	fills := make(map[string]owner.Fill, len(b.Fills))
	for _, f := range b.Fills {
		fills[f.Shard] = owner.Fill{Part: float64(f.Permille) / permille, Room: int(f.Room)}
	}
	l.Desk.TakeBeat(time.Now(), owner.Beat{
		Instance: d.Instance, Incarnation: d.Incarnation, Cold: b.Cold, Leaving: b.Leaving, Fills: fills,
	})
	for _, e := range b.Left {
		l.Left(e.Target, e.Born)
	}
}
