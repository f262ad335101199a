package stopping

import (
	"container/list"
	"sync"
	"time"
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

// Kind identifies calls that take about as long as each other: quick ones of a service say nothing about slow ones on another route.
type Kind struct{ Service, Route string }

// maxKinds bounds the kinds that are known; routes come and go with the settings.
const maxKinds = 1024

// Times estimates how long the targets take for each kind of call.
type Times struct {
	mu     sync.Mutex
	byKind map[Kind]*kindTimes
}

// kindTimes are the recent highs of one kind of call. A zero one is unknown.
type kindTimes struct {
	whole recentHigh // from sending a request to the end of its response
	first recentHigh // from sending a request to the first event of a stream
	token recentHigh // for each output token after it
	open  list.List  // of time.Time: when the requests were sent that have neither a response nor an event yet, in this order
}

// of returns the times of a kind of call. a.mu is held.
func (a *Times) of(kind Kind) *kindTimes {
	t := a.byKind[kind]
	if t == nil {
		t = new(kindTimes)
		if a.byKind == nil || len(a.byKind) >= maxKinds {
			a.byKind = make(map[Kind]*kindTimes)
		}
		a.byKind[kind] = t
	}
	return t
}

// Sent counts a request as sent until the returned function is called. Until then its age shows how slow the targets are now.
func (a *Times) Sent(kind Kind) (done func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(kind)
	sent := t.open.PushBack(time.Now())
	return func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		t.open.Remove(sent)
	}
}

// ObserveAnswer adds a complete response.
func (a *Times) ObserveAnswer(kind Kind, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(kind).whole.observe(took)
}

// ObserveFirst adds a stream's first event.
func (a *Times) ObserveFirst(kind Kind, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(kind).first.observe(took)
}

// ObserveTokens adds a complete stream that produced tokens in the time d after its first event.
func (a *Times) ObserveTokens(kind Kind, tokens int, d time.Duration) {
	if tokens <= 0 || d <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.of(kind).token.observe(d / time.Duration(tokens))
}

// ExpectAnswer returns how long a response takes; 0 while that is unknown.
func (a *Times) ExpectAnswer(kind Kind) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(kind)
	if t.whole == 0 {
		return 0
	}
	return max(time.Duration(t.whole), t.oldestOpen(time.Now()))
}

// ExpectFirst returns how long a stream's first event takes; 0 while that is unknown.
func (a *Times) ExpectFirst(kind Kind) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(kind)
	if t.first == 0 {
		return 0
	}
	return max(time.Duration(t.first), t.oldestOpen(time.Now()))
}

// ExpectStream returns how long a stream of output tokens takes; 0 while that is unknown.
func (a *Times) ExpectStream(kind Kind, tokens int) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.of(kind)
	if tokens == 0 || t.token == 0 {
		return 0
	}
	return max(time.Duration(t.first), t.oldestOpen(time.Now())) + time.Duration(tokens)*time.Duration(t.token)
}

// oldestOpen returns for how long the oldest request waits that has neither a response nor an event.
func (t *kindTimes) oldestOpen(now time.Time) time.Duration {
	oldest := t.open.Front()
	if oldest == nil {
		return 0
	}
	return now.Sub(oldest.Value.(time.Time))
}
