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

// cluster is three engines of one service and their wanted state.
type cluster struct {
	mu         sync.Mutex
	ignores    bool
	want       placement.State
	engines    [3]placement.State
	fences     [3]uint64
	drained    [3]time.Time
	maxDrained int
}

// services returns the view of a lease holder, with the engines' current states as reports.
func (s *cluster) services() []placement.Service {
	s.mu.Lock()
	defer s.mu.Unlock()
	sv := placement.Service{Name: "treaty", IgnoresFences: s.ignores, Want: s.want}
	for i, e := range s.engines {
		r := &placement.Report{State: e, At: time.Now()}
		sv.Targets = append(sv.Targets, placement.Target{Name: fmt.Sprint(i), LastReport: r, DrainedAt: s.drained[i]})
	}
	return []placement.Service{sv}
}

func (s *cluster) drain(_ context.Context, target string, on bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := targetIndex(target)
	s.drained[i] = time.Time{}
	if on {
		s.drained[i] = time.Now()
	}
	drained := 0
	for _, d := range s.drained {
		if !d.IsZero() {
			drained++
		}
	}
	s.maxDrained = max(s.maxDrained, drained)
	return nil
}

func targetIndex(target string) int { return int(target[0] - '0') }

// order executes an order on an engine: it loads the model, unless the engine enforces fencing and the number is old.
func (s *cluster) order(_ context.Context, target string, o engineapi.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := targetIndex(target)
	if !s.ignores && o.Fence < s.fences[i] {
		return fmt.Errorf("fenced")
	}
	s.fences[i] = max(s.fences[i], o.Fence)
	s.engines[i] = placement.State{Model: o.Model, Version: o.Version}
	return nil
}

func (s *cluster) setWanted(want placement.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.want = want
}

func (s *cluster) allServe(v placement.State) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.engines {
		if e.Version != v.Version || !s.drained[i].IsZero() {
			return false
		}
	}
	return true
}

// holder campaigns for the lease and places models, sending orders through order.
func (s *cluster) holder(ctx context.Context, c *platform.Client, name string, order func(context.Context, string, engineapi.Order) error) {
	lease.Run(ctx, c, lease.Config{Name: "placement", Holder: name, TTL: ttl}, func(ctx context.Context, h *lease.Term) {
		placement.Run(ctx, h, placement.Environment{Store: c, Services: s.services, Order: order, Drain: s.drain})
	})
}

// waitUntil polls a condition every second and returns how long it took to become true.
func waitUntil(t *testing.T, limit time.Duration, cond func() bool) time.Duration {
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

// A rollout of version 2 changes three engines one after the other, each drained first. The store fails for an hour in the middle; the
// rollout pauses and continues afterwards.
func TestRolloutContinuesAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &cluster{want: v1, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { s.holder(ctx, client(store), fmt.Sprint(i), s.order) })
		}
		time.Sleep(time.Minute)
		s.setWanted(v2)
		time.Sleep(15 * time.Second)
		store.SetFault(standin.Fault{Kind: standin.FaultOutage, DurationMS: time.Hour.Milliseconds()})
		time.Sleep(time.Hour)
		must.False(t, s.allServe(v2))
		waitUntil(t, 3*time.Minute, func() bool { return s.allServe(v2) })
		cancel()
		wg.Wait()
		must.Eq(t, 1, s.maxDrained)
	})
}

// pausedHolder pauses holder a between its check and its order of version 2 for ten minutes, in which b takes over and rolls out version 3.
// Then a's order is delivered. It returns how long engine 0 was in the wrong state afterwards.
func pausedHolder(t *testing.T, ignores bool) (wrong time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &cluster{ignores: ignores, want: v1, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		holderCtx, kill := context.WithCancel(ctx)
		var wg sync.WaitGroup
		woken := make(chan struct{})
		delayedOrder := func(ctx context.Context, target string, o engineapi.Order) error {
			kill() // from here on a neither renews nor releases the lease
			time.Sleep(10 * time.Minute)
			defer close(woken)
			return s.order(ctx, target, o)
		}
		link := &pausableClient{Client: client(store), paused: holderCtx}
		wg.Go(func() {
			lease.Run(ctx, link, lease.Config{Name: "placement", Holder: "a", TTL: ttl}, func(ctx context.Context, h *lease.Term) {
				placement.Run(holderCtx, h, placement.Environment{Store: link, Services: s.services, Order: delayedOrder, Drain: s.drain})
			})
		})
		time.Sleep(5 * time.Second)
		wg.Go(func() { s.holder(ctx, client(store), "b", s.order) })
		s.setWanted(v2)
		time.Sleep(2 * time.Minute)
		s.setWanted(v3)
		waitUntil(t, 5*time.Minute, func() bool { return s.allServe(v3) })
		<-woken
		wrong = waitUntil(t, 2*time.Minute, func() bool { return s.allServe(v3) })
		time.Sleep(time.Hour)
		must.True(t, s.allServe(v3))
		cancel()
		wg.Wait()
		must.Eq(t, 1, s.maxDrained)
	})
	return wrong
}

// pausableClient is a store client that fails once its process is paused.
type pausableClient struct {
	*platform.Client
	paused context.Context
}

func (l *pausableClient) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if l.paused.Err() != nil {
		return platformapi.TxnResult{}, errPaused
	}
	return l.Client.Txn(ctx, txn)
}

func (l *pausableClient) Get(ctx context.Context, key string) (platformapi.Item, bool, error) {
	if l.paused.Err() != nil {
		return platformapi.Item{}, false, errPaused
	}
	return l.Client.Get(ctx, key)
}

var errPaused = errors.New("paused")

// A paused holder's order is sent ten minutes late. An engine that enforces fencing refuses it.
func TestPausedHolderWithEnforcingEngines(t *testing.T) {
	must.Zero(t, pausedHolder(t, false))
}

// An engine that ignores fencing executes the order: its callers get the old version until the current holder has seen the next report and
// made the change again. This happens once per pause, and here lasts less than 30 seconds.
func TestPausedHolderWithIgnoringEngines(t *testing.T) {
	must.Between(t, time.Second, pausedHolder(t, true), 30*time.Second)
}

// delayedIntentStore delays its holder's first intent by ten minutes, in which the holder does nothing else.
type delayedIntentStore struct {
	*pausableClient
	pause context.CancelFunc
	res   chan platformapi.TxnResult
}

func (l *delayedIntentStore) Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	if !strings.HasPrefix(txn.Puts[0].Key, platformapi.KeyIntent) {
		return l.pausableClient.Txn(ctx, txn)
	}
	l.pause()
	time.Sleep(10 * time.Minute)
	res, err := l.Client.Txn(context.Background(), txn)
	l.res <- res
	return res, err
}

// A holder is paused with an intent for version 2 in flight; the settings go back to version 1 and another holder takes over. If the late
// intent were written, its readers would take version 2 for the current decision.
func TestLateIntentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.New(standin.Config{})
		s := &cluster{want: v2, engines: [3]placement.State{v1, v1, v1}}
		ctx, cancel := context.WithCancel(t.Context())
		holderCtx, kill := context.WithCancel(ctx)
		link := &delayedIntentStore{&pausableClient{client(store), holderCtx}, kill, make(chan platformapi.TxnResult, 1)}
		var wg sync.WaitGroup
		wg.Go(func() {
			lease.Run(ctx, link, lease.Config{Name: "placement", Holder: "a", TTL: ttl}, func(_ context.Context, h *lease.Term) {
				placement.Run(holderCtx, h, placement.Environment{Store: link, Services: s.services, Order: s.order, Drain: s.drain})
			})
		})
		time.Sleep(5 * time.Second)
		s.setWanted(v1)
		wg.Go(func() { s.holder(ctx, client(store), "b", s.order) })
		res := <-link.res
		must.False(t, res.Committed)
		_, ok := store.Item(platformapi.KeyIntent + "0")
		must.False(t, ok)
		cancel()
		wg.Wait()
	})
}
