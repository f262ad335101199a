package platform

import (
	"math/rand/v2"
	"time"
)

// FaultSequence configures a sequence of random faults for randomised tests.
type FaultSequence struct {
	Kinds       []string      // drawn uniformly; list a kind twice to make it twice as likely
	Count       int           // number of faults
	Unit        time.Duration // unit of the maxima below
	MaxDelay    int           // of Fault.DelayMS
	MaxDuration int           // of Fault.DurationMS
	MaxGap      int           // of the time between two faults
}

// InjectFaults injects the faults of a sequence, calls between before each wait, and clears all faults at the end. It
// returns the number of faults injected by kind.
func (s *Server) InjectFaults(rng *rand.Rand, seq FaultSequence, beforeWait func()) map[string]int {
	counts := map[string]int{}
	for range seq.Count {
		kind := seq.Kinds[rng.IntN(len(seq.Kinds))]
		counts[kind]++
		s.SetFault(Fault{
			Kind:        kind,
			Probability: 0.1 + 0.9*rng.Float64(),
			DelayMS:     randomUpTo(rng, seq.MaxDelay, seq.Unit).Milliseconds(),
			DurationMS:  randomUpTo(rng, seq.MaxDuration, seq.Unit).Milliseconds(),
		})
		beforeWait()
		time.Sleep(randomUpTo(rng, seq.MaxGap, seq.Unit))
	}
	s.SetFault(Fault{Kind: FaultClear})
	return counts
}

func randomUpTo(rng *rand.Rand, n int, unit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(n)*int64(unit) + 1))
}
