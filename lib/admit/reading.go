package admit

import (
	"sync"
	"time"
)

// rateStep is the relative step by which one sample moves the estimate: about the last fifty samples count.
const rateStep = 0.05

// PrefillRates estimates how long the engines of each service take to prefill a prompt token, from the times to first event and the prompt
// tokens known to be pending on the engine. It tracks the median: some first events wait for memory as well, and a mean would count that
// time as prefill. The zero value is ready for use.
type PrefillRates struct {
	mu         sync.Mutex
	nsPerToken map[string]float64 // by service
}

// Observe records a first event that came after d on an engine with the given prompt tokens pending.
func (s *PrefillRates) Observe(service string, unread int, d time.Duration) {
	if unread <= 0 || d <= 0 {
		return
	}
	perToken := float64(d) / float64(unread)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.nsPerToken[service]
	switch {
	case !known:
		if s.nsPerToken == nil {
			s.nsPerToken = make(map[string]float64)
		}
		s.nsPerToken[service] = perToken
	case perToken > old:
		s.nsPerToken[service] = old * (1 + rateStep)
	default:
		s.nsPerToken[service] = old * (1 - rateStep)
	}
}

// TokensWithin returns how many prompt tokens are prefilled in d; 0 if there is no estimate yet.
func (s *PrefillRates) TokensWithin(service string, d time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	perToken := s.nsPerToken[service]
	if perToken <= 0 {
		return 0
	}
	return max(1, int(float64(d)/perToken))
}

// Duration returns how long the given prompt tokens take to prefill; 0 if there is no estimate yet.
func (s *PrefillRates) Duration(service string, tokens int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.nsPerToken[service] * float64(tokens))
}
