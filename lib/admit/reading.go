package admit

import (
	"sync"
	"time"
)

// readStep is how far one sample moves what is learnt, as a part of it: the last fifty or so count.
const readStep = 0.05

// PrefillRates learns how long the engines of each service take to read a token of a prompt, from the first events of streams
// and what was believed to wait on their engines. The median is followed: some first events wait for memory, too, and a
// mean would take their time for reading. The zero value is ready for use.
type PrefillRates struct {
	mu sync.Mutex
	of map[string]float64 // nanoseconds a token, by service
}

// Observe takes in that the first event came after d on an engine with so many tokens to read.
func (s *PrefillRates) Observe(service string, unread int, d time.Duration) {
	if unread <= 0 || d <= 0 {
		return
	}
	each := float64(d) / float64(unread)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.of[service]
	switch {
	case !known:
		if s.of == nil {
			s.of = make(map[string]float64)
		}
		s.of[service] = each
	case each > old:
		s.of[service] = old * (1 + readStep)
	default:
		s.of[service] = old * (1 - readStep)
	}
}

// TokensWithin is how many tokens are read in d; 0 while nothing is known.
func (s *PrefillRates) TokensWithin(service string, d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	each := s.of[service]
	if each <= 0 {
		return 0
	}
	return max(1, int(float64(d)/each))
}
