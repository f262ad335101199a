package gateway

import "sync"

// waiting counts the streams of this instance that wait for engine memory, by priority: 0 goes first.
type waiting struct {
	mu sync.Mutex
	n  map[int]int
}

// enter counts one until the returned function is called.
func (w *waiting) enter(priority int) (leave func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.n == nil {
		w.n = make(map[int]int)
	}
	w.n[priority]++
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.n[priority]--; w.n[priority] == 0 {
			delete(w.n, priority)
		}
	}
}

// before reports whether a more urgent stream waits than one of the given priority.
func (w *waiting) before(priority int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.n {
		if p < priority {
			return true
		}
	}
	return false
}
