package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/guardlink"
	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/poison"
)

const (
	limitSpan      = 2 * time.Second
	limitSpacing   = 50 * time.Millisecond // between the requests at an entry
	limitHoldTime  = 500 * time.Millisecond
	limitSlots     = 64
	limitTickProbe = 100 * time.Millisecond
	designEntries  = 430
)

// limitSite is a set of entries in this process that enforce limits together over real sockets.
type limitSite struct {
	files   mesh.TLSFiles
	wg      sync.WaitGroup
	members []member.Member
	procs   []*limitProcess
}

type limitProcess struct {
	node   *mesh.Node
	limits *limit.Service
	link   *guardlink.Link
}

func newLimitSite(ctx context.Context, n int) (*limitSite, error) {
	files, err := linkCerts()
	if err != nil {
		return nil, err
	}
	s := &limitSite{files: files}
	var listeners []net.Listener
	var names []string
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, ln)
		names = append(names, fmt.Sprintf("entry-%03d", i))
		s.members = append(s.members, member.Member{Instance: names[i], Incarnation: 1, MeshAddr: ln.Addr().String()})
	}
	for i, ln := range listeners {
		if err := s.start(ctx, s.members[i], ln); err != nil {
			return nil, err
		}
	}
	for _, p := range s.procs {
		p.limits.SetView(names)
	}
	return s, nil
}

func (s *limitSite) start(ctx context.Context, self member.Member, ln net.Listener) error {
	tls, err := mesh.LoadTLS(s.files)
	if err != nil {
		return err
	}
	node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: self.Instance, Incarnation: 1}, TLS: tls})
	if err != nil {
		return err
	}
	p := &limitProcess{node: node}
	limits := func(limit.Key) limit.Limit { return limit.Limit{Concurrency: limitSlots} }
	p.limits = limit.NewService(limit.DefaultConfig, self.Instance, 1, limits, func(to string, up limit.Up) { p.link.SendUp(to, up) })
	view := &member.View{Self: self, Members: s.members}
	p.link = guardlink.New(ctx, guardlink.Options{
		Node: node, View: func() *member.View { return view }, Limits: p.limits, Poison: poison.New(poison.DefaultConfig),
		Segments: poison.NewSegmentTable(poison.DefaultSegmentConfig),
	})
	s.procs = append(s.procs, p)
	s.wg.Go(func() { node.Serve(ln) })
	s.wg.Go(p.link.Run)
	s.wg.Go(func() { p.limits.Run(ctx) })
	return nil
}

// holdKeys keeps one request of each key in progress until ctx is done.
func (p *limitProcess) holdKeys(ctx context.Context, _ uint64, keys int) {
	for i := 0; i < keys && ctx.Err() == nil; {
		key := limit.Key{Workspace: fmt.Sprint("workspace-", i), Class: "urgent"}
		if p.limits.Acquire(ctx, key).Verdict == limit.Admitted {
			i++
			continue
		}
		time.Sleep(limit.DefaultConfig.Interval)
	}
	<-ctx.Done()
}

// useRandomKeys makes requests with random keys at one entry until ctx is done.
func (p *limitProcess) useRandomKeys(ctx context.Context, seed uint64, keys int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		key := limit.Key{Workspace: fmt.Sprint("workspace-", rng.IntN(keys)), Class: "urgent"}
		if p.limits.Acquire(ctx, key).Verdict == limit.Admitted {
			time.AfterFunc(limitHoldTime, func() { p.limits.Release(key) })
		}
		time.Sleep(limitSpacing)
	}
}

func (s *limitSite) bytes() (sum int64) {
	for _, p := range s.procs {
		sent, received := p.node.Bytes()
		sum += sent + received
	}
	return sum
}

// limitLoad generates load on one entry with a number of keys until ctx is done. Nil means no load.
type limitLoad func(p *limitProcess, ctx context.Context, seed uint64, keys int)

// limitTraffic returns the bytes a second in both directions and the fraction of a core that one entry uses.
func limitTraffic(ctx context.Context, entries, keys int, load limitLoad) (bytesPerSec, core float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	s, err := newLimitSite(ctx, entries)
	if err != nil {
		cancel()
		return 0, 0, err
	}
	defer s.close()
	defer cancel()
	for i, p := range s.procs {
		if load != nil {
			s.wg.Go(func() { load(p, ctx, uint64(i), keys) })
		}
	}
	time.Sleep(limit.DefaultConfig.HandoverDelay() + time.Second/2)
	bytes, cpu, from := s.bytes(), processTime(), time.Now()
	time.Sleep(limitSpan)
	spent, took := processTime()-cpu, time.Since(from).Seconds()
	return float64(s.bytes()-bytes) / took / float64(entries), spent.Seconds() / took / float64(entries), nil
}

func (s *limitSite) close() {
	for _, p := range s.procs {
		p.node.Close()
	}
	s.wg.Wait()
}

// MeasureLimits measures the cost of limits for an entry: over sockets by peers and by keys in use, and with tables alone
// by keys in use at the design size of 430 entries.
func MeasureLimits(ctx context.Context, r Report) error {
	var bytes, cpu, idleBytes []Point
	for _, n := range []int{8, 16, 32} {
		b, c, err := limitTraffic(ctx, n, 30, (*limitProcess).useRandomKeys)
		if err != nil {
			return err
		}
		idle, _, err := limitTraffic(ctx, n, 0, nil)
		if err != nil {
			return err
		}
		r.point("limits", "entries=%d keys=30 bytes_per_s=%.0f core_percent=%.3f idle_bytes_per_s=%.0f", n, b, 100*c, idle)
		bytes = append(bytes, Point{float64(n - 1), b})
		cpu = append(cpu, Point{float64(n - 1), 100 * c})
		idleBytes = append(idleBytes, Point{float64(n - 1), idle})
	}
	r.fit("limits", "bytes_per_s", "peer", bytes)
	r.fit("limits", "core_percent", "peer", cpu)
	r.fit("limits", "idle_bytes_per_s", "peer", idleBytes)
	if err := limitsByKeys(ctx, r); err != nil {
		return err
	}
	limitTables(r)
	return nil
}

func limitsByKeys(ctx context.Context, r Report) error {
	var bytes, cpu []Point
	for _, keys := range []int{20, 80, 240} {
		b, c, err := limitTraffic(ctx, 8, keys, (*limitProcess).holdKeys)
		if err != nil {
			return err
		}
		r.point("limits", "entries=8 keys_held=%d bytes_per_s=%.0f core_percent=%.3f", keys, b, 100*c)
		bytes = append(bytes, Point{float64(keys), b})
		cpu = append(cpu, Point{float64(keys), 100 * c})
	}
	r.fit("limits", "bytes_per_s", "key_held", bytes)
	r.fit("limits", "core_percent", "key_held", cpu)
	return nil
}

// limitTables measures a tick and the heap of one of 430 entries without sending anything.
func limitTables(r Report) {
	var cpu, heap []Point
	for _, keys := range []int{120, 480, 1440} {
		var n *limit.Node
		now := time.Unix(0, 0)
		bytes := retainedHeap(func() any { n = limitNode(now, keys); return n })
		spent := perOp(limitTickProbe, func() {
			now = now.Add(limit.DefaultConfig.Interval)
			n.Tick(now)
		})
		r.point("limit-table", "entries=%d keys=%d tick_us=%.0f heap_bytes=%.0f", designEntries, keys, micros(spent), bytes)
		cpu = append(cpu, Point{float64(keys), micros(spent)})
		heap = append(heap, Point{float64(keys), bytes})
	}
	r.fit("limit-table", "tick_us", "key", cpu)
	r.fit("limit-table", "heap_bytes", "key", heap)
}

func limitNode(now time.Time, keys int) *limit.Node {
	n := limit.NewNode(now, limit.DefaultConfig, "entry-000", 1, func(limit.Key) limit.Limit { return limit.Limit{Concurrency: 1000} })
	var members []string
	for i := range designEntries {
		members = append(members, fmt.Sprintf("entry-%03d", i))
	}
	n.SetView(now, members)
	for i := range keys {
		n.Acquire(now, limit.Key{Workspace: fmt.Sprint("workspace-", i/3), Class: fmt.Sprint("class-", i%3)})
	}
	return n
}
