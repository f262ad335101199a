package platform

import (
	"math/rand/v2"
	"time"
)

// FaultSequence is a run of random faults, one after the other, as proofs order them.
type FaultSequence struct {
	Kinds       []string      // drawn from evenly; name a kind twice to make it twice as likely
	Count       int           // how many
	Unit        time.Duration // the times below are multiples of it
	MaxDelay    int           // longest Fault.DelayMS
	MaxDuration int           // longest Fault.DurationMS
	MaxGap      int           // longest time between two
}

// InjectFaults orders the faults, calls between before each wait, and clears all at the end. It returns how many of each
// kind it ordered.
func (s *Server) InjectFaults(rng *rand.Rand, d FaultSequence, between func()) map[string]int {
	counts := map[string]int{}
	for range d.Count {
		kind := d.Kinds[rng.IntN(len(d.Kinds))]
		counts[kind]++
		s.SetFault(Fault{
			Kind:        kind,
			Probability: 0.1 + 0.9*rng.Float64(),
			DelayMS:     upTo(rng, d.MaxDelay, d.Unit).Milliseconds(),
			DurationMS:  upTo(rng, d.MaxDuration, d.Unit).Milliseconds(),
		})
		between()
		time.Sleep(upTo(rng, d.MaxGap, d.Unit))
	}
	s.SetFault(Fault{Kind: FaultClear})
	return counts
}

func upTo(rng *rand.Rand, n int, unit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(n)*int64(unit) + 1))
}
