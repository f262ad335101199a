package gateway

import (
	"sync"
	"time"
)

// paceWeight is the weight of one run in a service's pace: about the last twenty count.
const paceWeight = 0.05

// tokenPace learns how long the engines of each service take for a token of output, from the streams passed on.
type tokenPace struct {
	mu        sync.Mutex
	byService map[string]time.Duration // by service
}

// observe takes in that a whole stream made tokens after its first event within d.
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

// expectedDuration is how long an output of tokens takes; 0 while nothing is known.
func (p *tokenPace) expectedDuration(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(tokens) * p.byService[service]
}
