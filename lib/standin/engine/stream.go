package engine

import (
	"sync"

	"anvilwick.example/anvilwick/lib/enginemodel"
)

// stream queues the events of one attempt for its HTTP handler. With a slow reader the queue grows up to the answer's length.
type stream struct {
	mu     sync.Mutex
	queue  []enginemodel.Event
	ready  chan struct{}
	cancel chan struct{} // closed when the attempt is fenced
}

func newStream() *stream {
	return &stream{ready: make(chan struct{}, 1), cancel: make(chan struct{})}
}

func (st *stream) push(ev enginemodel.Event) {
	st.mu.Lock()
	st.queue = append(st.queue, ev)
	st.mu.Unlock()
	select {
	case st.ready <- struct{}{}:
	default:
	}
}

// takeAll returns and removes all queued events.
func (st *stream) takeAll() []enginemodel.Event {
	st.mu.Lock()
	defer st.mu.Unlock()
	q := st.queue
	st.queue = nil
	return q
}
