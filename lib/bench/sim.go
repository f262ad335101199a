package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// Intervals of the components around the policy.
const (
	entries       = 8
	tickEvery     = 10 * time.Millisecond
	progressEvery = 50 * time.Millisecond
	pollEvery     = 500 * time.Millisecond
	powerEvery    = time.Second
	drainBound    = 40 * time.Minute // after the window, virtual time
)

// Config describes one run.
type Config struct {
	Mix       *workload.Mix
	Arrivals  []workload.Request
	Window    time.Duration
	Policy    string // name for the report
	Fault     string // one of the Fault constants, or none
	Oracle    bool   // the policy knows each output length
	Without   string // the part of anvilwick that is disabled, or none
	NewPolicy func(c *Config) sched.Policy

	KVTokens     int           // memory of each engine; 0: the deployment's
	StallTimeout time.Duration // silence of a stream after which entries abort its attempt, as real ones do; 0: never
}

// sim is the state of one run.
type sim struct {
	cfg           *Config
	cluster       cluster
	policy        sched.Policy
	now           time.Duration
	delay         time.Duration
	timeline      timeline
	flows         []flow
	engines       []engine
	acts          []sched.Action
	openFlows     int     // flows that have not ended
	capWatts      float64 // power cap in force
	owners        int
	reportsFrozen bool
	metrics       metrics
}

// Run simulates one run and returns its figures.
func Run(cfg Config) Result {
	s := newSim(&cfg)
	limit := cfg.Window + drainBound
	for s.openFlows > 0 && s.timeline.Len() > 0 {
		ev := s.timeline.next()
		if ev.at > limit {
			break
		}
		s.now = ev.at
		s.dispatch(&ev)
	}
	return s.result()
}

func newSim(cfg *Config) *sim {
	s := &sim{
		cfg:       cfg,
		cluster:   clusterOf(cfg),
		delay:     cfg.Mix.Delay,
		flows:     make([]flow, len(cfg.Arrivals)),
		openFlows: len(cfg.Arrivals),
	}
	s.owners = ownersOf(cfg.Policy, cfg.Mix)
	s.capWatts = s.cluster.capWatts
	s.metrics.init(cfg)
	s.policy = cfg.NewPolicy(cfg)
	s.policy.SetTargets(0, s.cluster.targets(cfg.Mix))
	s.policy.SetPolicy(classPolicies(cfg.Mix))
	s.startEngines()
	for i := range s.flows {
		s.startFlow(i)
	}
	for e := range entries {
		phase := progressEvery * time.Duration(e) / entries
		s.timeline.add(event{at: phase, kind: atEntryFlush, n: e})
	}
	s.timeline.add(event{kind: atOwnerTick})
	s.timeline.add(event{kind: atOwnerPower})
	s.scheduleFaults()
	return s
}

func (s *sim) dispatch(ev *event) {
	now := sched.Time(s.now)
	switch ev.kind {
	case atEntryArrive:
		s.submit(int(ev.flow))
	case atEntryAction:
		s.apply(&ev.action)
	case atEntryTokens:
		s.receiveTokens(ev)
	case atEntryRefused:
		s.engineRefused(ev)
	case atEntryBroken:
		s.engineDied(int(ev.engine))
	case atEntryFlush:
		s.flushProgress(ev.n)
	case atOwnerSubmit:
		s.policy.Submit(now, s.placementRequest(int(ev.flow), ev.attempt))
	case atOwnerProgress:
		for _, p := range ev.progress {
			s.policy.Progress(now, genID(int(p.flow)), p.attempt, p.tokens)
		}
	case atOwnerEnd:
		s.policy.End(now, genID(int(ev.flow)), ev.attempt, ev.n, ev.reason)
	case atOwnerReport:
		s.policy.Report(now, ev.report)
	case atOwnerCache:
		s.updateCache(now, ev)
	case atOwnerGone:
		s.policy.TargetGone(now, targetName(int(ev.engine)))
	case atOwnerPower:
		s.renewPower()
	case atOwnerTick:
		s.tick(now)
	case atEngineAdd:
		s.engineAdd(ev)
	case atEngineCancel:
		s.engineCancel(ev)
	case atEngineStep:
		s.engineStep(ev)
	case atEnginePoll:
		s.enginePoll(int(ev.engine))
	case atFault:
		ev.fault()
	}
}

// tick runs the policy, sends its actions to the entries and samples the actual power draw.
func (s *sim) tick(now sched.Time) {
	s.acts = s.policy.Tick(now, s.acts[:0])
	s.metrics.messages += len(s.acts)
	for _, a := range s.acts {
		s.timeline.add(event{at: s.now + s.delay, kind: atEntryAction, action: a})
	}
	if s.totalWatts() > s.capWatts {
		s.metrics.overCap++
	}
	s.timeline.add(event{at: s.now + tickEvery, kind: atOwnerTick})
}

// renewPower renews the policy's power share every powerEvery.
func (s *sim) renewPower() {
	s.grantPower()
	s.timeline.add(event{at: s.now + powerEvery, kind: atOwnerPower})
}

// grantPower grants the policy its power share: the whole cap, since it has all targets, and the same as fallback.
func (s *sim) grantPower() {
	now := sched.Time(s.now)
	watts := s.announcedCap()
	s.policy.SetPower(now, watts, now.Add(powerValidity), watts)
}

func genID(flow int) ids.Generation { return ids.From(0x616e76696c, uint64(flow)) }

func flowOf(g ids.Generation) int {
	n := 0
	for _, b := range g[8:] {
		n = n<<8 | int(b)
	}
	return n
}
