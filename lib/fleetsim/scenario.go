package fleetsim

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"anvilwick.example/anvilwick/lib/feed"
	"anvilwick.example/anvilwick/lib/feedlink"
)

// Phase is one phase of a scenario.
type Phase struct {
	Name string
	Span time.Duration
	// act triggers the event of the phase and returns the check that an instance has received it; nil: no event.
	act func(s *site) (known func(*member) bool)
}

// Result is the outcome of a phase.
type Result struct {
	Phase       string
	Span        time.Duration
	Last        time.Duration // until all instances had the update; negative: not within the phase
	P99         time.Duration // until 99 in 100 had it
	Loads       map[string]Load
	Calls       int // of the store
	RemoteBytes int // bytes per second between failure domains
	Requested   int
	Placed      int
}

// Load is the state and the traffic of the instances of one role, per second.
type Load struct {
	Instances                int
	Bytes, MostBytes         float64 // sent and received: mean, and by the busiest
	WorstBytes               float64 // the busiest in its worst second
	Datagrams, MostDatagrams float64
	Targets, MostTargets     int            // rows held: mean, and maximum
	DatagramKinds            map[string]int // datagram bytes per second of the busiest, by kind
}

// runScenario runs the phases in order under a constant rate of placement requests, and returns the outcome of each.
func runScenario(s *site, phases []Phase, asksPerSecond float64) ([]Result, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer time.Sleep(time.Second) // for what is still in flight
	defer s.killAll()
	defer cancel()
	if err := s.start(ctx); err != nil {
		return nil, err
	}
	var out []Result
	for _, p := range phases {
		out = append(out, s.phase(ctx, p, asksPerSecond))
	}
	return out, nil
}

func (s *site) phase(ctx context.Context, p Phase, asksPerSecond float64) Result {
	res := Result{Phase: p.Name, Span: p.Span, Loads: make(map[string]Load)}
	before := s.read()
	asking, stop := context.WithTimeout(ctx, p.Span)
	defer stop()
	var work sync.WaitGroup
	work.Go(func() { res.Requested, res.Placed = s.requestPlacements(asking, asksPerSecond) })
	start := time.Now()
	var known func(*member) bool
	if p.act != nil {
		known = p.act(s)
	}
	worst := s.observe(start, p.Span, known, &res)
	after := s.read()
	work.Wait()
	s.setLoads(&res, before, after, worst)
	return res
}

func (s *site) read() []traffic {
	out := make([]traffic, len(s.members))
	for i, m := range s.members {
		out[i] = m.cost.read()
	}
	return out
}

// checkInterval is the interval at which the instances' state is checked.
const checkInterval = 10 * time.Millisecond

// observe waits for the end of a phase, records when instances have the update, and returns each one's bytes in its worst second.
func (s *site) observe(start time.Time, span time.Duration, known func(*member) bool, res *Result) []int {
	when := make([]time.Duration, len(s.members))
	worst := make([]int, len(s.members))
	last := s.read()
	second := start.Add(time.Second)
	for now := start; now.Sub(start) < span; now = time.Now() {
		for i, m := range s.members {
			if known != nil && when[i] == 0 && known(m) {
				when[i] = max(1, now.Sub(start))
			}
		}
		if !now.Before(second) {
			second = now.Add(time.Second)
			figs := s.read()
			for i, f := range figs {
				worst[i] = max(worst[i], f.bytes()-last[i].bytes())
			}
			last = figs
		}
		time.Sleep(checkInterval)
	}
	if known == nil {
		return worst
	}
	slices.Sort(when)
	res.Last, res.P99 = when[len(when)-1], when[len(when)*99/100]
	if when[0] == 0 {
		res.Last = -1
	}
	return worst
}

// role returns the role of an instance in the fleet.
func (m *member) role() string {
	k := m.Known()
	switch {
	case k.Role == feedlink.RoleReader:
		return "reads"
	case k.Role == feedlink.RoleRelay:
		return "relays"
	case k.OwnedEngines > 0:
		return "owns"
	}
	return "follows"
}

func (s *site) setLoads(res *Result, before, after []traffic, worst []int) {
	for i, m := range s.members {
		d := after[i].since(before[i])
		res.Calls += d.Calls
		res.RemoteBytes += d.RemoteOut
		role := m.role()
		l := res.Loads[role]
		l.add(&d, worst[i], m.Known().Targets, res.Span.Seconds())
		res.Loads[role] = l
	}
	res.RemoteBytes = int(float64(res.RemoteBytes) / res.Span.Seconds())
	for role, l := range res.Loads {
		l.Bytes /= float64(l.Instances)
		l.Datagrams /= float64(l.Instances)
		l.Targets /= l.Instances
		res.Loads[role] = l
	}
}

func (l *Load) add(d *traffic, worst, targets int, seconds float64) {
	l.Instances++
	bytes, packets := float64(d.bytes())/seconds, float64(d.Packets)/seconds
	l.Bytes += bytes
	l.Datagrams += packets
	l.Targets += targets
	l.MostTargets = max(l.MostTargets, targets)
	l.MostDatagrams = max(l.MostDatagrams, packets)
	l.WorstBytes = max(l.WorstBytes, float64(worst))
	if bytes > l.MostBytes {
		l.MostBytes = bytes
		l.DatagramKinds = make(map[string]int)
		for k, v := range d.Kinds {
			l.DatagramKinds[k] = int(float64(v) / seconds)
		}
	}
}

// writeResults prints the results, one line per phase and role.
func writeResults(w io.Writer, size Size, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%d instances, %d targets\n", size.Instances, size.Targets)
	fmt.Fprintln(t, "phase\tknown p99\tknown last\tcalls\tfar KB/s\trole\tn\ttargets\tKB/s mean\tbusiest\tworst second\tdatagrams/s\tbusiest\tits datagrams by kind, KB/s")
	for _, r := range results {
		for _, role := range slices.Sorted(maps.Keys(r.Loads)) {
			l := r.Loads[role]
			fmt.Fprintf(t, "%s\t%v\t%v\t%d\t%.0f\t%s\t%d\t%d\t%.1f\t%.1f\t%.0f\t%.1f\t%.0f\t%s\n", r.Phase, r.P99.Round(time.Millisecond),
				r.Last.Round(time.Millisecond), r.Calls, float64(r.RemoteBytes)/1000, role, l.Instances, l.Targets, l.Bytes/1000, l.MostBytes/1000,
				l.WorstBytes/1000,
				l.Datagrams, l.MostDatagrams, kinds(l.DatagramKinds))
		}
	}
	return t.Flush()
}

func kinds(of map[string]int) string {
	var out []string
	for _, k := range slices.Sorted(maps.Keys(of)) {
		if of[k] >= 50 {
			out = append(out, fmt.Sprintf("%s %.1f", k, float64(of[k])/1000))
		}
	}
	return strings.Join(out, ", ")
}

// standardPhases returns the standard scenario.
func standardPhases() []Phase {
	knowsSettings := func(version int64) func(*member) bool {
		return func(m *member) bool { return m.Known().Settings >= version }
	}
	return []Phase{
		{Name: "start", Span: 8 * time.Second, act: func(*site) func(*member) bool {
			return func(m *member) bool { k := m.Known(); return k.Settings > 0 && k.Targets > 0 }
		}},
		{Name: "at rest", Span: 5 * time.Second},
		{Name: "settings change", Span: 2 * time.Second, act: func(s *site) func(*member) bool {
			s.store.put(settings, s.settingsRow(2))
			return knowsSettings(2)
		}},
		{Name: "plain target leaves", Span: 2 * time.Second, act: func(s *site) func(*member) bool {
			s.store.put(targets, s.targetRow(0, "leaving"))
			return func(m *member) bool { return !m.Accepts(s.targetID(0)) }
		}},
		{Name: "release", Span: 4 * time.Second, act: release},
		{Name: "a third turned away", Span: 9 * time.Second, act: func(s *site) func(*member) bool {
			var rejected []string
			for _, m := range s.members {
				if s.rng.IntN(3) == 0 {
					rejected = append(rejected, m.host)
				}
			}
			s.store.reject(rejected)
			time.Sleep(2 * time.Second)
			s.store.put(settings, s.settingsRow(3))
			return knowsSettings(3)
		}},
		{Name: "all killed", Span: 8 * time.Second, act: func(s *site) func(*member) bool {
			s.store.reject(nil)
			s.killAll()
			s.first = false
			if err := s.start(context.Background()); err != nil {
				panic(err) // the addresses are free
			}
			return func(m *member) bool { k := m.Known(); return k.Settings >= 3 && k.Targets > 0 }
		}},
	}
}

// release replaces 3.3 in 100 of the targets per second, for three seconds.
func release(s *site) func(*member) bool {
	batch := s.Targets * 33 / 1000
	for round := range 3 {
		var rows []feed.Row
		for i := range batch {
			rows = append(rows, s.targetRow(1+round*batch+i, "leaving"))
		}
		s.store.put(targets, rows...)
		time.Sleep(time.Second)
	}
	return nil
}
