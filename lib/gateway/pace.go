package gateway

import (
	"sync"
	"time"
)

// paceWeight is the weight of one run in a service's average, which covers about the last twenty runs.
const paceWeight = 0.05

// tokenPace averages the time per output token of each service's engines, measured on the forwarded streams.
type tokenPace struct {
	mu        sync.Mutex
	byService map[string]time.Duration
}

// observe adds a completed stream that produced tokens in the time d after its first event.
func (p *tokenPace) observe(service string, tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	each := d / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.byService[service]
	if !known {
		if p.byService == nil {
			p.byService = make(map[string]time.Duration)
		}
		p.byService[service] = each
		return
	}
	p.byService[service] = old + time.Duration(paceWeight*float64(each-old))
}

// expectedDuration returns how long an output of tokens takes; 0 while the service's pace is unknown.
func (p *tokenPace) expectedDuration(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(tokens) * p.byService[service]
}
