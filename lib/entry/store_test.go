package entry

import (
	"context"
	"slices"
	"strings"
	"sync"

	"anvilwick.example/anvilwick/lib/claim"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// memoryStore is an in-memory claim.Store.
type memoryStore struct {
	mu    sync.Mutex
	rev   uint64
	items map[string]platformapi.Item
}

func newMemoryStore() *memoryStore { return &memoryStore{items: map[string]platformapi.Item{}} }

// GroupTxn implements claim.Store.
func (m *memoryStore) GroupTxn(_ context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var failed []platformapi.Item
	for _, c := range txn.Conds {
		if m.items[c.Key].Rev != c.Rev {
			it := m.items[c.Key]
			it.Key = c.Key
			failed = append(failed, it)
		}
	}
	if len(failed) > 0 {
		return platformapi.TxnResult{Rev: m.rev, Failed: failed}, nil
	}
	m.rev++
	for _, p := range txn.Puts {
		m.items[p.Key] = platformapi.Item{Key: p.Key, Value: p.Value, Rev: m.rev}
	}
	return platformapi.TxnResult{Committed: true, Rev: m.rev}, nil
}

// Get implements claim.Store.
func (m *memoryStore) Get(_ context.Context, key string) (platformapi.Item, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	it, ok := m.items[key]
	return it, ok, nil
}

// Era implements claim.Store.
func (m *memoryStore) Era() uint64 { return platformapi.FirstEra }

// countContaining returns the number of items whose value contains text.
func (m *memoryStore) countContaining(text string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, it := range m.items {
		if strings.Contains(string(it.Value), text) {
			n++
		}
	}
	return n
}

// claims returns the claims of an entry that considers the given other entries gone.
func (m *memoryStore) claims(instance string, gone ...string) Claims {
	return claimsOn(m, instance, gone)
}

func claimsOn(store claim.Store, instance string, gone []string) Claims {
	return TableClaims{claim.New(store, claim.Config{
		Holder:     claim.Holder{Instance: instance, Incarnation: 1},
		HolderGone: func(h claim.Holder) bool { return slices.Contains(gone, h.Instance) },
	})}
}

// storeGate is one entry's access to the store, which a test can close to simulate the death of the entry.
type storeGate struct {
	store  *memoryStore
	mu     sync.Mutex
	closed bool
	hold   chan struct{} // if not nil, responses are delayed until it is closed
}

func (m *memoryStore) gate() *storeGate { return &storeGate{store: m} }

func (g *storeGate) claims(instance string) Claims { return claimsOn(g, instance, nil) }

func (g *storeGate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

func (g *storeGate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = false
}

// GroupTxn implements claim.Store.
func (g *storeGate) GroupTxn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error) {
	g.mu.Lock()
	closed, hold := g.closed, g.hold
	g.mu.Unlock()
	if hold != nil {
		<-hold
	}
	if closed {
		return platformapi.TxnResult{}, platform.NotCommitted.New("the entry is dead")
	}
	return g.store.GroupTxn(ctx, txn)
}

// Get implements claim.Store.
func (g *storeGate) Get(ctx context.Context, key string) (platformapi.Item, bool, error) {
	return g.store.Get(ctx, key)
}

// Era implements claim.Store.
func (g *storeGate) Era() uint64 { return g.store.Era() }
