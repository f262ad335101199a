package limit

import (
	"context"
	"sync"
	"time"
)

// SendFunc sends an Up without blocking. It may drop the message.
type SendFunc func(to string, up Up)

// Service runs a Node in real time and is safe for concurrent use. The caller runs Run and passes in messages received from
// other instances.
type Service struct {
	mu              sync.Mutex
	node            *Node
	cfg             Config
	send            SendFunc
	answers         chan struct{} // closed and replaced when a Down arrives
	pendingRequests map[string]time.Time
}

// NewService returns a Service for the instance self.
func NewService(cfg Config, self string, epoch uint64, limits LimitFunc, send SendFunc) *Service {
	return &Service{
		node: NewNode(time.Now(), cfg, self, epoch, limits), cfg: cfg, send: send,
		answers: make(chan struct{}), pendingRequests: make(map[string]time.Time),
	}
}

// Run calls Node.Tick each Interval until ctx ends.
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

// SetView calls Node.SetView.
func (s *Service) SetView(members []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.SetView(time.Now(), members)
}

// MarkDead calls Node.MarkDead.
func (s *Service) MarkDead(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.MarkDead(instance)
}

// Ready calls Node.Ready.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Ready(time.Now())
}

// HandleUp calls Node.HandleUp.
func (s *Service) HandleUp(from string, up Up) (Down, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.HandleUp(time.Now(), from, up)
}

// HandleDown calls Node.HandleDown and wakes the requests that wait for the answer.
func (s *Service) HandleDown(from string, d Down) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.HandleDown(time.Now(), from, d)
	delete(s.pendingRequests, from)
	close(s.answers)
	s.answers = make(chan struct{})
}

// Acquire admits or refuses one request. It waits only for a holder that may have more to lend, and at most HolderTimeout: a
// holder that takes longer is considered unavailable, and the request is refused. After Admitted, Release must be called when
// the request ends.
func (s *Service) Acquire(ctx context.Context, key Key) Answer {
	deadline := time.Now().Add(s.cfg.HolderTimeout)
	for {
		a, answers := s.attempt(key)
		if a.Verdict != Pending {
			return a
		}
		if !waitFor(ctx, answers, time.Until(deadline)) {
			return s.refuse(key)
		}
	}
}

// attempt makes one attempt, and sends a request to the holder unless an earlier one is still unanswered.
func (s *Service) attempt(key Key) (Answer, <-chan struct{}) {
	s.mu.Lock()
	now := time.Now()
	a := s.node.Acquire(now, key)
	answers := s.answers
	if a.Verdict != Pending {
		s.mu.Unlock()
		return a, answers
	}
	out, ok := s.requestMore(now, key)
	s.mu.Unlock()
	if ok {
		s.send(out.To, out.Up)
	}
	return a, answers
}

func (s *Service) requestMore(now time.Time, key Key) (Outgoing, bool) {
	to := s.node.holderOf(key)
	if since, open := s.pendingRequests[to]; open && now.Sub(since) < s.cfg.HolderTimeout {
		return Outgoing{}, false
	}
	out, ok := s.node.RequestMore(now, key)
	if ok {
		s.pendingRequests[to] = now
	}
	return out, ok
}

func (s *Service) refuse(key Key) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.node.Refuse(time.Now(), key)
}

// Release ends an admitted request.
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
