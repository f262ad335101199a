package owner

import (
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fairqueue"
)

// fairness is what the order of the streams that wait for a shard depends on besides their deadlines.
type fairness struct {
	accounts  fairqueue.Accounts
	urgencies fairqueue.Urgencies // of the waiting streams
	foremost  time.Duration       // smallest shift of a waiting stream
	unequal   bool                // usage moves a waiting stream
}

// fairnessOf returns the state of a shard, and creates it if there is none.
func (l *Ledger) fairnessOf(shard string) *fairness {
	f := l.fairness[shard]
	if f == nil {
		f = new(fairness)
		l.fairness[shard] = f
	}
	return f
}

// charge counts a granted stream in its workspace's account. Runs that are placed again were counted when they began.
func (l *Ledger) charge(now time.Time, s *Shard, req *PlaceRequest) {
	if req.Mode == Admit {
		l.fairnessOf(s.Key).accounts.Charge(now, req.Stream.Workspace, req.Stream.Need.Tokens)
	}
}

// expireFairness removes accounts that have decayed.
func (l *Ledger) expireFairness(now time.Time) {
	for shard, f := range l.fairness {
		if f.accounts.Expire(now) {
			delete(l.fairness, shard)
		}
	}
}

// shift returns by how much a stream of a shard moves in the order of deadlines.
func (l *Ledger) shift(s *Shard, stream *admit.Stream) time.Duration {
	f := l.fairness[s.Key]
	if f == nil {
		return 0
	}
	urgencies := f.urgencies
	urgencies.Include(stream.Priority)
	w := l.waiterOf(stream)
	shift := fairqueue.Shift(&f.accounts, urgencies, w)
	if f.unequal {
		shift += fairqueue.SizeShift(w)
	}
	return shift
}

// positionOf returns the position that a stream would take in the queue.
func (l *Ledger) positionOf(s *Shard, stream *admit.Stream) time.Time {
	return l.orderOf(stream).Add(l.shift(s, stream))
}

func (l *Ledger) waiterOf(s *admit.Stream) fairqueue.Waiter {
	return fairqueue.Waiter{
		Workspace: s.Workspace, Priority: s.Priority, Wait: s.WaitDeadline().Sub(s.Arrived), Size: l.memoryShare(s), IsRetry: s.IsRetry,
	}
}

// sortWaiting sorts the waiting requests anew: what was granted since has changed the workspaces' accounts.
func (l *Ledger) sortWaiting() {
	for _, f := range l.fairness {
		f.urgencies, f.foremost, f.unequal = fairqueue.Urgencies{}, 0, false
	}
	for _, w := range l.waiting {
		f := l.fairnessOf(w.shard.Key)
		f.urgencies.Include(w.Stream.Priority)
		f.unequal = f.unequal || fairqueue.IsUnequal(&f.accounts, l.waiterOf(&w.Stream))
	}
	for _, w := range l.waiting {
		w.shift = l.shift(w.shard, &w.Stream)
		w.order = l.orderOf(&w.Stream).Add(w.shift)
		f := l.fairness[w.shard.Key]
		f.foremost = min(f.foremost, w.shift)
	}
	byOrder := func(a, b *waitingRequest) int { return a.order.Compare(b.order) }
	if !slices.IsSortedFunc(l.waiting, byOrder) {
		slices.SortStableFunc(l.waiting, byOrder)
	}
}

// mustQueue reports whether a new stream is to be decided in its turn, behind a waiting one of another workspace or urgency.
//
// When engines are full, capacity is released between two passes over the waiting streams. Of a workspace that sends many, some stream
// arrives in almost each of these gaps and would take it from those that wait.
func (l *Ledger) mustQueue(s *Shard, req *PlaceRequest) bool {
	if len(l.waiting) == 0 || req.Mode != Admit || req.Stream.Objective <= 0 || len(l.waiting) >= maxWaiting {
		return false
	}
	order := l.positionOf(s, &req.Stream)
	for _, w := range l.waiting {
		if !w.order.Before(order) {
			return false
		}
		if w.shard.Key == s.Key && (w.Stream.Workspace != req.Stream.Workspace || w.Stream.Priority != req.Stream.Priority) {
			return true
		}
	}
	return false
}

// describeWait adds to an answer how long the request waited and how it was moved in the order.
func (l *Ledger) describeWait(now time.Time, w *waitingRequest, out *Answer) {
	out.Waited, out.Move = max(0, now.Sub(w.Stream.Arrived)), fairqueue.MoveOf(w.shift)
	f := l.fairness[w.shard.Key]
	out.KeptTurn = out.Action == admit.Admit && f != nil && w.shift > f.foremost
}
