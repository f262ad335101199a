package placement_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/placement"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

const ttl = 15 * time.Second

var (
	v1 = placement.State{Model: "treaty", Version: "1"}
	v2 = placement.State{Model: "treaty", Version: "2"}
	v3 = placement.State{Model: "treaty", Version: "3"}
)

// site is three engines of one service, and what operators want of them.
type site struct {
	mu      sync.Mutex
	ignores bool
	want    placement.State
	engines [3]placement.State
	fences  [3]uint64
	drained [3]time.Time
	maxOut  int
}

// services is what a holder sees. changed is the engine's own report.
func (s *site) services() []placement.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := placement.Service{Name: "treaty", IgnoresFences: s.ignores, Want: s.want}
	for i, e := range s.engines {
		r := &placement.Report{State: e, At: time.Now()}
		sv.Targets = append(sv.Targets, placement.Target{Name: fmt.Sprint(i), LastReport: r, DrainedAt: s.drained[i]})
	}
	return []placement.Service{sv}
}

func (s *site) drain(_ context.Context, target string, on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := index(target)
	s.drained[i] = time.Time{}
	if on {
		s.drained[i] = time.Now()
	}
	out := 0
	for _, d := range s.drained {
		if !d.IsZero() {
			out++
		}
	}
	s.maxOut = max(s.maxOut, out)
	return nil
}

func index(target string) int { return int(target[0] - '0') }

// order is the engine: it loads what it is told, unless it enforces fencing and the number is old.
func (s *site) order(_ context.Context, target string, o engineapi.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := index(target)
	if !s.ignores && o.Fence < s.fences[i] {
		return fmt.Errorf("fenced")
	}
	s.fences[i] = max(s.fences[i], o.Fence)
	s.engines[i] = placement.State{Model: o.Model, Version: o.Version}
	return nil
}

func (s *site) set(want placement.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.want = want
}

func (s *site) all(v placement.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.engines {
		if e.Version != v.Version || !s.drained[i].IsZero() {
			return false
		}
	}
	return true
}

// holder campaigns for the lease and places models by way of order.
func (s *site) holder(ctx context.Context, c *platform.Client, name string, order func(context.Context, string, engineapi.Order) error) {
	lease.Run(ctx, c, lease.Config{Name: "placement", Holder: name, TTL: ttl}, func(ctx context.Context, h *lease.Held) {
		placement.Run(ctx, h, placement.Environment{Store: c, Services: s.services, Order: order, Drain: s.drain})
	})
}

// until waits for a condition, a second at a time; it returns how long it took.
func until(t *testing.T, limit time.Duration, cond func() bool) time.Duration {
	t.Helper()
	from := time.Now()
	for !cond() {
		must.Less(t, limit, time.Since(from))
		time.Sleep(time.Second)
	}
	return time.Since(from)
}

func client(s *standin.Server) *platform.Client {
	return platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
}

// Operators ask for version 2. The three engines change one after the other, each drained first, though the store is
// down for an hour in the middle: the change stops there and goes on after it.
func TestRollOutThroughAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &site{want: v1, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { s.holder(ctx, client(store), fmt.Sprint(i), s.order) })
		}
		time.Sleep(time.Minute)
		s.set(v2)
		time.Sleep(15 * time.Second)
		store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: time.Hour.Milliseconds()})
		time.Sleep(time.Hour)
		must.False(t, s.all(v2))
		until(t, 3*time.Minute, func() bool { return s.all(v2) })
		cancel()
		wg.Wait()
		must.Eq(t, 1, s.maxOut)
	})
}

// pausedHolder lets holder a be paused between its check and its order of version 2, for ten minutes, in which b takes
// over and brings version 3. Then a's order comes out. It returns how long engine 0 was wrong afterwards.
func pausedHolder(t *testing.T, ignores bool) (wrong time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &site{ignores: ignores, want: v1, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		dead, kill := context.WithCancel(ctx)
		var wg sync.WaitGroup
		woken := make(chan struct{})
		paused := func(ctx context.Context, target string, o engineapi.Order) error {
			kill() // a neither renews nor releases from here on
			time.Sleep(10 * time.Minute)
			defer close(woken)
			return s.order(ctx, target, o)
		}
		link := &cutLink{Client: client(store), dead: dead}
		wg.Go(func() {
			lease.Run(ctx, link, lease.Config{Name: "placement", Holder: "a", TTL: ttl}, func(ctx context.Context, h *lease.Held) {
				placement.Run(dead, h, placement.Environment{Store: link, Services: s.services, Order: paused, Drain: s.drain})
			})
		})
		time.Sleep(5 * time.Second)
		wg.Go(func() { s.holder(ctx, client(store), "b", s.order) })
		s.set(v2)
		time.Sleep(2 * time.Minute)
		s.set(v3)
		until(t, 5*time.Minute, func() bool { return s.all(v3) })
		<-woken
		wrong = until(t, 2*time.Minute, func() bool { return s.all(v3) })
		time.Sleep(time.Hour)
		must.True(t, s.all(v3))
		cancel()
		wg.Wait()
		must.Eq(t, 1, s.maxOut)
	})
	return wrong
}

// cutLink reaches the store until its process is paused.
type cutLink struct {
	*platform.Client
	dead context.Context
}

func (l *cutLink) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if l.dead.Err() != nil {
		return platformapi.TxnResult{}, errPaused
	}
	return l.Client.Txn(ctx, txn)
}

func (l *cutLink) Get(ctx context.Context, key string) (platformapi.Item, bool, error) {
	if l.dead.Err() != nil {
		return platformapi.Item{}, false, errPaused
	}
	return l.Client.Get(ctx, key)
}

var errPaused = errors.New("paused")

// A paused holder's order comes out ten minutes late. An engine that enforces fencing refuses it.
func TestPausedHolderBeforeEnforcingEngines(t *testing.T) {
	must.Zero(t, pausedHolder(t, false))
}

// An engine that ignores numbers obeys it: its callers get the old version until the holder in office has seen the
// next report and made the change again. One order for one pause, and here less than half a minute.
func TestPausedHolderBeforeIgnoringEngines(t *testing.T) {
	must.Between(t, time.Second, pausedHolder(t, true), 30*time.Second)
}

// lateStore delivers its holder's first intent ten minutes late, in which the holder does nothing else.
type lateStore struct {
	*cutLink
	kill context.CancelFunc
	res  chan platformapi.TxnResult
}

func (l *lateStore) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if !strings.HasPrefix(txn.Puts[0].Key, platformapi.KeyIntent) {
		return l.cutLink.Txn(ctx, txn)
	}
	l.kill()
	time.Sleep(10 * time.Minute)
	res, err := l.Client.Txn(context.Background(), txn)
	l.res <- res
	return res, err
}

// A holder is paused with an intent for version 2 on its way; the operators go back to version 1, and another holder
// takes over. Were the late intent written, whoever reads it would take version 2 for what was decided.
func TestLateIntentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &site{want: v2, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		dead, kill := context.WithCancel(ctx)
		link := &lateStore{&cutLink{client(store), dead}, kill, make(chan platformapi.TxnResult, 1)}
		var wg sync.WaitGroup
		wg.Go(func() {
			lease.Run(ctx, link, lease.Config{Name: "placement", Holder: "a", TTL: ttl}, func(_ context.Context, h *lease.Held) {
				placement.Run(dead, h, placement.Environment{Store: link, Services: s.services, Order: s.order, Drain: s.drain})
			})
		})
		time.Sleep(5 * time.Second)
		s.set(v1)
		wg.Go(func() { s.holder(ctx, client(store), "b", s.order) })
		res := <-link.res
		must.False(t, res.Committed)
		_, ok := store.Item(platformapi.KeyIntent + "0")
		must.False(t, ok)
		cancel()
		wg.Wait()
	})
}
