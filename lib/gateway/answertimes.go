package gateway

import (
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/routes"
)

// highWeight is the weight of one call in a service's recent highs, which cover about the last twenty calls.
const highWeight = 0.05

// recentHigh is a high estimate of a time: it follows a longer one at once and shorter ones slowly.
type recentHigh time.Duration

func (h *recentHigh) observe(d time.Duration) {
	if old := time.Duration(*h); d < old {
		d = old + time.Duration(highWeight*float64(d-old))
	}
	*h = recentHigh(d)
}

// answerTimes estimates how long the targets of each service take.
type answerTimes struct {
	mu        sync.Mutex
	byService map[string]*serviceTimes
}

// serviceTimes are the recent highs of one service. A zero one is unknown.
type serviceTimes struct {
	whole recentHigh          // from sending a request to the end of its response
	first recentHigh          // from sending a request to the first event of a stream
	token recentHigh          // for each output token after it
	open  map[*time.Time]bool // when the requests were sent that have neither a response nor an event yet
}

// of returns the times of a service. a.mu is held.
func (a *answerTimes) of(service string) *serviceTimes {
	t := a.byService[service]
	if t == nil {
		t = &serviceTimes{open: make(map[*time.Time]bool)}
		if a.byService == nil {
			a.byService = make(map[string]*serviceTimes)
		}
		a.byService[service] = t
	}
	return t
}

// sent counts a request as sent until the returned function is called. Until then its age shows how slow the service is now.
func (a *answerTimes) sent(service string) (done func()) {
	at := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).open[&at] = true
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		delete(a.of(service).open, &at)
	}
}

// observeAnswer adds a complete response.
func (a *answerTimes) observeAnswer(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).whole.observe(took)
}

// observeFirst adds a stream's first event.
func (a *answerTimes) observeFirst(service string, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).first.observe(took)
}

// observeTokens adds a complete stream that produced tokens in the time d after its first event.
func (a *answerTimes) observeTokens(service string, tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(service).token.observe(d / time.Duration(tokens))
}

// expectAnswer returns how long a response takes; 0 while that is unknown.
func (a *answerTimes) expectAnswer(service string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(service)
	if t.whole == 0 {
		return 0
	}
	return max(time.Duration(t.whole), t.oldestOpen(time.Now()))
}

// expectStream returns how long a stream of output tokens takes; 0 while that is unknown.
func (a *answerTimes) expectStream(service string, tokens int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(service)
	if tokens == 0 || t.token == 0 {
		return 0
	}
	return max(time.Duration(t.first), t.oldestOpen(time.Now())) + time.Duration(tokens)*time.Duration(t.token)
}

// oldestOpen returns for how long the oldest request waits that has neither a response nor an event.
func (t *serviceTimes) oldestOpen(now time.Time) (age time.Duration) {
	for at := range t.open {
		age = max(age, now.Sub(*at))
	}
	return age
}

// hintMargin is the factor by which an output may exceed its estimate: callers' hints are often too low by half.
const hintMargin = 2

// callTime returns what is known of how long a call takes.
func (g *Gateway) callTime(c *call) callTime {
	t := callTime{limit: c.limit}
	if c.route.Kind != routes.Stream {
		t.likely = g.times.expectAnswer(c.service)
		t.longest = t.likely
		return t
	}
	t.resumable = c.route.MayRepeat()
	if c.engine == nil {
		t.likely = g.times.expectAnswer(c.service)
		t.longest = t.likely
		return t
	}
	likely, longest := hintMargin*c.output, hintMargin*c.output
	if c.maxOutput > 0 {
		likely, longest = min(likely, c.maxOutput), c.maxOutput
	}
	t.likely = g.times.expectStream(c.service, likely)
	t.longest = g.times.expectStream(c.service, longest)
	return t
}
