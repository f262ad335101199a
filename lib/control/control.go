// Package control is the process beside each entry that talks to the platform. It watches settings, the instance list and
// operators' drains, holds leases for power, model placement and weight transfers, and sends its entry updates over the
// local link.
//
// Requests of callers do not depend on it. If it dies, its entry continues with the last state it received, its leases
// expire and are taken by other control processes, and its successor reads everything from the platform and sends it again.
package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// Defaults of Options.
const (
	DefaultInstancePoll = 2 * time.Second
	DefaultDrainPoll    = time.Second
	DefaultLeaseTTL     = 15 * time.Second
	DefaultStoreShare   = 0.4 // the entry beside it uses the rest, for claims
)

// Options configures a Process. Zero values take the defaults.
type Options struct {
	Instance      string
	Incarnation   uint64
	FailureDomain string
	Version       string
	EntryAddr     string // IP:port of the mesh listener of its entry
	Links         mesh.Options
	Platform      platform.Config
	Targets       http.RoundTripper // for orders to targets and their reports; nil: a transport of its own
	InstancePoll  time.Duration
	DrainPoll     time.Duration
	LeaseTTL      time.Duration
	Memory        *membudget.Budget // for answers of the store and of targets; nil: there is no limit
}

func (o *Options) setDefaults() {
	orDuration(&o.InstancePoll, DefaultInstancePoll)
	orDuration(&o.DrainPoll, DefaultDrainPoll)
	orDuration(&o.LeaseTTL, DefaultLeaseTTL)
	o.Platform.Memory = o.Memory
	if o.Platform.Share == 0 {
		o.Platform.Share = DefaultStoreShare
	}
	if o.Platform.ReadsPerSec == 0 {
		o.Platform.ReadsPerSec = platform.DefaultReadsPerSec
	}
	if o.Platform.Transport == nil {
		o.Platform.Transport = countedTransport("platform")
	}
	if o.Targets == nil {
		o.Targets = countedTransport("targets")
	}
	o.Links.Self = mesh.Identity{Instance: o.Instance, Incarnation: o.Incarnation}
}

func orDuration(v *time.Duration, def time.Duration) {
	if *v == 0 {
		*v = def
	}
}

// Process is one control process.
type Process struct {
	opts  Options
	node  *mesh.Node
	link  *locallink.Client
	store *platform.Client
	sync  *settingsync.Sync
	state sharedState
}

// New checks the options and returns a Process. It makes no connections.
func New(o Options) (*Process, error) {
	o.setDefaults()
	node, err := mesh.New(o.Links)
	if err != nil {
		return nil, err
	}
	store := platform.New(o.Platform)
	p := &Process{
		opts:  o,
		node:  node,
		link:  locallink.NewClient(node, o.EntryAddr),
		store: store,
		sync:  settingsync.New(settingsync.Config{Table: store, Peers: entryPeer{node, o.EntryAddr}}),
		state: newSharedState(),
	}
	p.link.OnReport = p.handleEntryMessage
	p.link.OnDisconnect = func(err error) { log.Warn().Str("event", "entry_link_lost").Err(err).Msg("") }
	return p, nil
}

// Run works until ctx is done, then releases its leases and returns.
func (p *Process) Run(ctx context.Context) {
	defer p.node.Close()
	var wg sync.WaitGroup
	for _, work := range []func(context.Context){
		p.link.Run,
		p.sync.Run,
		p.forwardSettings,
		p.applySite,
		p.watchInstances,
		p.watchDrains,
		p.followPower,
		p.allocatePower,
		p.runPlacement,
		p.collectClaims,
	} {
		wg.Go(func() { work(ctx) })
	}
	wg.Wait()
}

// runEvery calls work immediately and then once per interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, work func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
