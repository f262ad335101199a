package loadpoll

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/balance"
	"anvilwick.example/anvilwick/lib/target"
)

// ServiceInterval is the time between two polls of a target of a plain service.
const ServiceInterval = time.Second

// ServiceFeed receives the load reports of plain services' targets.
type ServiceFeed func(service, name string, rep balance.Report)

// Services polls the targets of plain services for their load.
type Services struct {
	ctx  context.Context
	feed ServiceFeed

	mu      sync.Mutex
	targets map[string]activePoll // by target name
}

// NewServices returns a Services that runs until ctx is done.
func NewServices(ctx context.Context, feed ServiceFeed) *Services {
	return &Services{ctx: ctx, feed: feed, targets: make(map[string]activePoll)}
}

// SetTargets replaces the set of polled targets; services maps each service to the clients of its targets.
func (s *Services) SetTargets(services map[string][]*target.Client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keep := make(map[string]bool)
	for service, clients := range services {
		for _, c := range clients {
			keep[c.Name()] = true
			s.start(service, c)
		}
	}
	for name, p := range s.targets {
		if !keep[name] {
			p.cancel()
			delete(s.targets, name)
		}
	}
}

func (s *Services) start(service string, c *target.Client) {
	if old, ok := s.targets[c.Name()]; ok {
		if old.client.Addr() == c.Addr() {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.targets[c.Name()] = activePoll{client: c, cancel: cancel}
	go s.poll(ctx, service, c)
}

func (s *Services) poll(ctx context.Context, service string, c *target.Client) {
	var tracker ageTracker
	t := time.NewTicker(ServiceInterval)
	defer t.Stop()
	for {
		if rep, err := c.ServiceLoad(ctx); err == nil {
			s.feed(service, c.Name(), balance.Report{
				Running:  rep.Running,
				Capacity: rep.Capacity,
				Leaving:  rep.Leaving,
				Age:      tracker.update(time.Now(), 0, rep.Seq, time.Duration(rep.AgeMS)*time.Millisecond),
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
