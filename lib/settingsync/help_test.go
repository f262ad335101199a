package settingsync

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/proc"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.FatalLevel
	code := m.Run()
	proc.RemoveBinaries()
	os.Exit(code)
}

// tree returns a small settings text that differs by n.
func tree(n int) []byte {
	return fmt.Appendf(nil, `site:
  name: s
  failure_domains: [a]
classes:
  urgent: {priority: %d}
`, n)
}

func newTable(cfg standin.Config) (*standin.Server, *platform.Client) {
	s := standin.New(cfg)
	return s, platform.New(platform.Config{Addr: "127.0.0.1:1", Transport: s.Transport()})
}

func change(base uint64, text []byte) Change {
	return Change{Text: text, File: "f", Base: base, Operator: "mairi", Note: "test", Time: time.Now()}
}

func commit(t *testing.T, table Table, base uint64, text []byte) *Record {
	t.Helper()
	rec, err := Commit(t.Context(), table, change(base, text))
	must.NoError(t, err)
	return rec
}

// fleet is a set of instances that exchange revisions by heartbeat and fetch settings from each other.
type fleet struct {
	mu    sync.Mutex
	syncs map[string]*Sync
	stops map[string]context.CancelFunc
	wg    sync.WaitGroup
}

func newFleet() *fleet {
	return &fleet{syncs: map[string]*Sync{}, stops: map[string]context.CancelFunc{}}
}

// FetchSettings implements Peers.
func (f *fleet) FetchSettings(_ context.Context, instance string, offer *meshpb.SettingsOffer) (*meshpb.SettingsBody, error) {
	f.mu.Lock()
	peer := f.syncs[instance]
	f.mu.Unlock()
	if peer == nil {
		return nil, errors.New("no such instance")
	}
	return peer.Answer(offer), nil
}

// start starts an instance without settings.
func (f *fleet) start(ctx context.Context, name string, table Table) *Sync {
	s := New(Config{Table: table, Peers: f})
	ctx, cancel := context.WithCancel(ctx)
	f.mu.Lock()
	f.syncs[name] = s
	f.stops[name] = cancel
	f.mu.Unlock()
	f.wg.Go(func() { s.Run(ctx) })
	f.wg.Go(func() { f.heartbeats(ctx, name, s) })
	return s
}

func (f *fleet) heartbeats(ctx context.Context, name string, s *Sync) {
	for ctxtime.Sleep(ctx, 250*time.Millisecond) {
		revisions := map[string]uint64{}
		f.mu.Lock()
		for other, peer := range f.syncs {
			if other != name {
				revisions[other] = peer.Offer().GetRevision()
			}
		}
		f.mu.Unlock()
		s.SetPeerRevisions(revisions)
	}
}

func (f *fleet) stop(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops[name]()
	delete(f.syncs, name)
	delete(f.stops, name)
}

func (f *fleet) stopAll() {
	for name := range f.stops {
		f.stop(name)
	}
	f.wg.Wait()
}

func inForce(s *Sync) uint64 { return s.Status().InForce }
