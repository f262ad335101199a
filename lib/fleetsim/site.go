package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/gateway"
	"anvilwick.example/anvilwick/lib/gatewayproc"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/routes"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// Tables and services of the modelled site.
const (
	settings  = "settings"
	targets   = "targets"
	instances = "instances"
	ranks     = "ranks"
	software  = "software"
	streams   = "streams"
	refusals  = "refusals"

	engines = "llm"
	plain   = "dispatch"
)

// Size is the size of a fleet.
type Size struct {
	Instances, Targets int
	Domains            int
	Strong             int // instances per failure domain with a large link and processor share
	SettingsBytes      int
}

// Processor shares and links of strong and small instances.
const (
	strongShare, smallShare = 1.6, 0.192 // of a core
	strongMbps, smallMbps   = 1000, 20
)

// site is a running fleet.
type site struct {
	Size
	net     *network
	store   *store
	members []*member
	rng     *rand.Rand
	first   bool // the site starts for the first time
}

// member is one instance.
type member struct {
	*gatewayproc.Member
	host, domain string
	strong       bool
	cost         *trafficMeter
	cancel       context.CancelFunc
}

func (s Size) domain(i int) string { return fmt.Sprint("z", i%s.Domains) }

func (s Size) host(i int) string {
	return fmt.Sprintf("10.%d.%d.%d", 1+i%s.Domains, i/s.Domains/200, 1+i/s.Domains%200)
}

// target is an entry in the list of targets.
type target struct {
	Service, Addr, Domain, State string
	Version                      string
	Slots                        int
}

func (s Size) targetID(i int) string { return fmt.Sprintf("t%06d", i) }

func (s Size) targetRow(i int, state string) feed.Row {
	t := target{Service: engines, Addr: fmt.Sprintf("10.100.%d.%d:9000", i/250, i%250), Domain: s.domain(i),
		State: state, Version: "7", Slots: 24}
	if i%25 == 0 {
		t.Service = plain
	}
	b, err := json.Marshal(t)
	if err != nil {
		panic(err) // unreachable: strings and numbers only
	}
	return feed.Row{Key: s.targetID(i), Value: b}
}

// software1 is the only version of the modelled engines.
var software1 = fleet.NewSoftware(engines, "v1")

func decodeTarget(row feed.Row) (fleet.Info, error) {
	var t target
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return fleet.Info{}, err
	}
	return fleet.Info{ID: row.Key, Service: t.Service, Addr: t.Addr, Domain: t.Domain, Slots: t.Slots, Leaving: t.State == "leaving", Software: software1}, nil
}

// settingsRow returns a settings row of SettingsBytes.
func (s Size) settingsRow(version int64) feed.Row {
	text := fmt.Sprintf("%d\n%s", version, strings.Repeat("a route with some words;", s.SettingsBytes/24))
	return feed.Row{Key: "config", Value: []byte(text)}
}

func decodeSettings(rows []feed.Row) (*routes.Revision, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	rev := &routes.Revision{Services: []routes.Service{{Name: engines, Engine: &routes.Engine{KVTokens: 33_000, Slots: 24}}, {Name: plain}}}
	if _, err := fmt.Sscan(string(rows[0].Value), &rev.Version); err != nil {
		return nil, err
	}
	return rev, nil
}

// newSite creates a site whose targets are listed and whose instances are not started.
func newSite(size Size, seed uint64) *site {
	s := &site{Size: size, first: true, net: newNetwork(), store: newStore(), rng: rand.New(rand.NewPCG(seed, 1))}
	rows := make([]feed.Row, size.Targets)
	for i := range rows {
		rows[i] = size.targetRow(i, "ready")
	}
	s.store.put(targets, rows...)
	s.store.put(settings, size.settingsRow(1))
	for i := range size.Instances {
		s.members = append(s.members, &member{host: size.host(i), domain: size.domain(i), strong: i < size.Domains*size.Strong,
			cost: new(trafficMeter)})
	}
	return s
}

// start starts all instances over 0.3 s.
func (s *site) start(ctx context.Context) error {
	var seeds []string
	for _, m := range s.members[:min(3, len(s.members))] {
		seeds = append(seeds, m.host+":8748")
	}
	for _, i := range s.rng.Perm(len(s.members)) {
		if err := s.startOne(ctx, s.members[i], seeds); err != nil {
			return err
		}
		time.Sleep(300 * time.Millisecond / time.Duration(len(s.members)))
	}
	return nil
}

func (s *site) startOne(ctx context.Context, m *member, seeds []string) error {
	mbps, share := float64(smallMbps), smallShare
	if m.strong {
		mbps, share = strongMbps, strongShare
	}
	s.net.add(m.host, m.domain, mbps, m.cost)
	cfg := gatewayproc.Config{
		Instance: "i-" + m.host, Domain: m.domain, Regions: map[string]string{}, Peer: m.host + ":7200", Link: m.host + ":8748", Seeds: seeds,
		LinkMbps: mbps, CPUShare: share, RetryWindow: 10 * time.Second, RetryFloor: 100, FirstStart: s.first,
		Network: gatewayproc.Network{Listen: s.net.listen, Dial: s.net.dialer(m.host), Packet: s.net.listenPacket},
	}
	ctx, m.cancel = context.WithCancel(ctx)
	var err error
	m.Member, err = gatewayproc.Join(ctx, cfg, s.site(m))
	return err
}

func (s *site) site(m *member) gatewayproc.Site {
	table := func(name string) feed.Source { return source{s: s.store, table: name, instance: m.host, cost: m.cost} }
	return gatewayproc.Site{
		Pool: wirehttp.NewPool(nil), Engines: engineCalls{}, SetResponseHook: func(gateway.ResponseHook) {},
		Settings: table(settings), DecodeSettings: decodeSettings, Evacuated: func(feed.Row) (string, bool) { return "", false },
		SettingsWriteSeq: func(feed.Row) (feed.WriteSeq, bool) { return feed.WriteSeq{}, false },
		TargetWriteSeq:   func(feed.Row) (feed.WriteSeq, bool) { return feed.WriteSeq{}, false },
		Targets:          table(targets), DecodeTarget: decodeTarget,
		Instances: table(instances), DecodeInstance: decodeInstance,
		EncodeInstance: encodeInstance,
		Register: func(_ context.Context, rows []feed.Row) error {
			time.Sleep(callTime)
			m.cost.addCall(0)
			s.store.put(instances, rows...)
			return nil
		},
		ReadRanks: func(_ context.Context, domain string) ([]byte, error) {
			time.Sleep(callTime)
			m.cost.addCall(1)
			return s.store.value(ranks, domain)
		},
		WriteRanks: func(_ context.Context, rows map[string][]byte) error {
			time.Sleep(callTime)
			m.cost.addCall(0)
			for domain, b := range rows {
				s.store.put(ranks, feed.Row{Key: domain, Value: b})
			}
			return nil
		},
		Unregister:   func(context.Context, string, int64) error { return nil },
		SoftwareRows: softwareRows{rows{s: s.store, m: m, table: software}},
		StreamRows:   streamRows{rows{s: s.store, m: m, table: streams}},
		Refusals:     table(refusals),
		RefusalRows:  refusalRows{rows{s: s.store, m: m, table: refusals}},
	}
}

func encodeInstance(in owner.Instance) (feed.Row, error) {
	b, err := json.Marshal(in)
	return feed.Row{Key: in.Name, Value: b}, err
}

func decodeInstance(row feed.Row) (owner.Instance, error) {
	var in owner.Instance
	err := json.Unmarshal(row.Value, &in)
	return in, err
}

// engineCalls fails all calls to engines, which are not modelled.
type engineCalls struct{}

func (engineCalls) Copy(context.Context, fleet.Info, fleet.Info, string, bool) (gateway.CopyResult, error) {
	return gateway.CopyResult{}, gateway.ErrNoRun
}

func (engineCalls) Report(context.Context, fleet.Info) (gateway.Report, error) {
	return gateway.Report{}, gateway.ErrNoRun
}

func (engineCalls) Incarnation(context.Context, *wirehttp.Conn, fleet.Info) (int64, error) {
	return 0, nil
}

func (engineCalls) ReleaseCopy(context.Context, fleet.Info, string) error { return nil }

// killAll ends all instances at once, without a graceful stop.
func (s *site) killAll() {
	for _, m := range s.members {
		s.net.kill(m.host)
		m.cancel()
	}
	s.net.close()
	for _, m := range s.members {
		m.Close()
	}
}

// streamStart describes a stream that begins.
func streamStart(id uint64) gateway.StreamStart {
	return gateway.StreamStart{
		Attempt: strconv.FormatUint(id, 16), Service: engines, Software: software1, Deadline: time.Now().Add(6 * time.Second),
	}
}

// requestPlacements sends placement requests at a rate, each from a random instance, until ctx is done. It returns when all are answered.
func (s *site) requestPlacements(ctx context.Context, perSecond float64) (asked, placed int) {
	var mu sync.Mutex
	var work sync.WaitGroup
	for ctx.Err() == nil {
		m := s.members[s.rng.IntN(len(s.members))]
		asked++
		id := s.rng.Uint64()
		work.Go(func() {
			need := fleet.Need{Service: engines, Tokens: 3000, Unread: 3000, Peak: fleet.Size{Held: 3000, Remaining: 200}}
			a := owner.PlaceRequest{Run: id, Stream: admit.Stream{
				Arrived: time.Now(), Objective: 1800 * time.Millisecond, MaxRetryAfter: 10 * time.Second, Need: need,
			}}
			got, err := m.Place(context.Background(), a)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && got.Action == admit.Admit {
				placed++
				work.Go(func() { m.RecordStream(streamStart(id)) })
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	work.Wait()
	return asked, placed
}
