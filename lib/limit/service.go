package limit

import (
	"context"
	"sync"
	"time"
)

// SendFunc sends an Up without blocking; it may drop it.
type SendFunc func(to string, up Up)

// Service runs a Node in real time and is safe for concurrent use. Its owner calls Run, and hands over what arrives
// from other instances.
type Service struct {
	mu      sync.Mutex
	node    *Node
	cfg     Config
	send    SendFunc
	answers chan struct{} // closed and replaced when a Down arrived
	asking  map[string]time.Time
}

// NewService returns a Service for the instance self.
func NewService(cfg Config, self string, epoch uint64, limits LimitFunc, send SendFunc) *Service {
	return &Service{
		node: NewNode(time.Now(), cfg, self, epoch, limits), cfg: cfg, send: send,
		answers: make(chan struct{}), asking: make(map[string]time.Time),
	}
}

// Run ticks until ctx ends.
func (s *Service) Run(ctx context.Context) {
	t := time.NewTicker(s.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.tick()
		}
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	out := s.node.Tick(time.Now())
	s.mu.Unlock()
	for _, o := range out {
		s.send(o.To, o.Up)
	}
}

// SetView is Node.SetView.
func (s *Service) SetView(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.SetView(time.Now(), members)
}

// MarkDead is Node.Forget.
func (s *Service) MarkDead(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.MarkDead(instance)
}

// Ready is Node.Ready.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Ready(time.Now())
}

// HandleUp is Node.HandleUp.
func (s *Service) HandleUp(from string, up Up) (Down, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.HandleUp(time.Now(), from, up)
}

// HandleDown is Node.HandleDown; it wakes those who wait for the answer.
func (s *Service) HandleDown(from string, d Down) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.HandleDown(time.Now(), from, d)
	delete(s.asking, from)
	close(s.answers)
	s.answers = make(chan struct{})
}

// Acquire admits or refuses one request. It waits only for a holder that may have more to lend, and never longer than
// AskWait: a holder that takes longer is taken to be gone, and the request is refused at once. After Admitted, Release must be called when the request ends.
func (s *Service) Acquire(ctx context.Context, key Key) Answer {
	deadline := time.Now().Add(s.cfg.HolderTimeout)
	for {
		a, answers := s.try(key)
		if a.Verdict != Pending {
			return a
		}
		if !waitFor(ctx, answers, time.Until(deadline)) {
			return s.refuse(key)
		}
	}
}

// try makes one attempt, and asks the holder unless an earlier question is still open.
func (s *Service) try(key Key) (Answer, <-chan struct{}) {
	s.mu.Lock()
	now := time.Now()
	a := s.node.Acquire(now, key)
	answers := s.answers
	if a.Verdict != Pending {
		s.mu.Unlock()
		return a, answers
	}
	out, ok := s.ask(now, key)
	s.mu.Unlock()
	if ok {
		s.send(out.To, out.Up)
	}
	return a, answers
}

func (s *Service) ask(now time.Time, key Key) (Outgoing, bool) {
	to := s.node.holderOf(key)
	if since, open := s.asking[to]; open && now.Sub(since) < s.cfg.HolderTimeout {
		return Outgoing{}, false
	}
	out, ok := s.node.RequestMore(now, key)
	if ok {
		s.asking[to] = now
	}
	return out, ok
}

func (s *Service) refuse(key Key) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Refuse(time.Now(), key)
}

// Release ends a request that was admitted.
func (s *Service) Release(key Key) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.Release(key)
}

func waitFor(ctx context.Context, ch <-chan struct{}, d time.Duration) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ch:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}
