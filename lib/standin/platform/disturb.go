package platform

import (
	"math/rand/v2"
	"time"
)

// Disturbance is a run of random faults, one after the other, as proofs order them.
type Disturbance struct {
	Kinds    []string      // drawn from evenly; name a kind twice to make it twice as likely
	Faults   int           // how many
	Unit     time.Duration // the times below are multiples of it
	Delay    int           // longest Fault.DelayMS
	Duration int           // longest Fault.DurationMS
	Gap      int           // longest time between two
}

// Disturb orders the faults, calls between before each wait, and clears all at the end. It returns how many of each
// kind it ordered.
func (s *Server) Disturb(rng *rand.Rand, d Disturbance, between func()) map[string]int {
	counts := map[string]int{}
	for range d.Faults {
		kind := d.Kinds[rng.IntN(len(d.Kinds))]
		counts[kind]++
		s.SetFault(Fault{
			Kind:        kind,
			Probability: 0.1 + 0.9*rng.Float64(),
			DelayMS:     upTo(rng, d.Delay, d.Unit).Milliseconds(),
			DurationMS:  upTo(rng, d.Duration, d.Unit).Milliseconds(),
		})
		between()
		time.Sleep(upTo(rng, d.Gap, d.Unit))
	}
	s.SetFault(Fault{Kind: FaultClear})
	return counts
}

func upTo(rng *rand.Rand, n int, unit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(n)*int64(unit) + 1))
}
