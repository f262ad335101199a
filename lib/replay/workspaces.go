package replay

import (
	"math/rand/v2"
	"time"
)

// Workspaces describes who sends the streams of a simulation. With the zero value all streams are of one unknown workspace.
type Workspaces struct {
	Count       int                            // the k-th largest sends a share proportional to 1/k; 0: no workspaces
	Bursting    int                            // the largest ones, which send more at times
	BurstFactor func(at time.Duration) float64 // factor on the rates of the bursting ones, at least 1; nil: 1
}

// UnequalWorkspaces has 24 workspaces of very unequal sizes. During 4 s of every 10 s the two largest send five times as much, which
// is about two and a half times the whole load.
func UnequalWorkspaces() Pattern {
	p := Saturated()
	p.LeaveEvery, p.LongRate, p.ShortRate = 0, 10, 12
	p.Workspaces = Workspaces{Count: 24, Bursting: 2, BurstFactor: func(at time.Duration) float64 {
		if at%(10*time.Second) < 4*time.Second {
			return 5
		}
		return 1
	}}
	return p
}

// sender draws the workspaces of streams, from sources of its own, so that the load without workspaces and without bursts does not
// depend on them.
type sender struct {
	Workspaces
	drawRNG  *rand.Rand // for the workspaces of streams
	burstRNG *rand.Rand // for the additional streams of bursts
	shares   []float64  // of the load, largest first
}

func newSender(w Workspaces, seed uint64) *sender {
	s := &sender{Workspaces: w, drawRNG: rand.New(rand.NewPCG(seed, 9)), burstRNG: rand.New(rand.NewPCG(seed, 10))}
	sum := 0.0
	for k := range w.Count {
		s.shares = append(s.shares, 1/float64(k+1))
		sum += s.shares[k]
	}
	for k := range s.shares {
		s.shares[k] /= sum
	}
	return s
}

// draw returns the rank of a stream's workspace, the largest being 1; 0: there are no workspaces.
func (s *sender) draw() int {
	if s.Count == 0 {
		return 0
	}
	x := s.drawRNG.Float64()
	for k, share := range s.shares {
		if x -= share; x < 0 {
			return k + 1
		}
	}
	return s.Count
}

// isSmall reports whether a rank is in the smaller half of the workspaces.
func (s *sender) isSmall(rank int) bool { return rank > s.Count/2 }

// burst creates the additional streams of the bursting workspaces.
func (s *site) burst(long bool, rate float64) {
	w := s.sender
	if w.BurstFactor == nil || w.Bursting == 0 {
		return
	}
	for k, share := range w.shares[:w.Bursting] {
		rate := rate * share * (w.BurstFactor(s.now) - 1)
		for p := rate * tick.Seconds(); p > 0; p-- {
			if w.burstRNG.Float64() < p {
				s.arrive(s.draw(w.burstRNG, long, k+1))
			}
		}
	}
}

// WorkspaceTally counts the streams of the smaller half of the workspaces.
type WorkspaceTally struct {
	Small, SmallInTime int
}

func (t *WorkspaceTally) add(o WorkspaceTally) {
	t.Small += o.Small
	t.SmallInTime += o.SmallInTime
}

// SmallShare returns the fraction of the streams of the smaller half of the workspaces that met their objective.
func (t WorkspaceTally) SmallShare() float64 { return ratio(t.SmallInTime, t.Small) }
