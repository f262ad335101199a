package gateway

import (
	"sync"
	"time"
)

// paceStep is the weight of one run in a service's pace: about the last twenty count.
const paceStep = 0.05

// paces learns how long the engines of each service take for a token of output, from the streams passed on.
type paces struct {
	mu sync.Mutex
	of map[string]time.Duration // by service
}

// saw takes in that a whole stream made tokens after its first event within d.
func (p *paces) saw(service string, tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	each := d / time.Duration(tokens)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, known := p.of[service]
	if !known {
		if p.of == nil {
			p.of = make(map[string]time.Duration)
		}
		p.of[service] = each
		return
	}
	p.of[service] = old + time.Duration(paceStep*float64(each-old))
}

// span is how long an output of tokens takes; 0 while nothing is known.
func (p *paces) span(service string, tokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(tokens) * p.of[service]
}
