package bench

import (
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// Periods of the parts around the policy.
const (
	entries       = 8
	tickEvery     = 10 * time.Millisecond
	progressEvery = 50 * time.Millisecond
	pollEvery     = 500 * time.Millisecond
	powerEvery    = time.Second
	drainBound    = 40 * time.Minute // after the window, virtual time
)

// Config is one run.
type Config struct {
	Mix       *workload.Mix
	Arrivals  []workload.Request
	Window    time.Duration
	Policy    string // name for the report
	Fault     string // one of the Fault constants, or none
	Oracle    bool   // tell the policy each length
	Without   string // the part taken out of anvilwick, or none
	NewPolicy func(c *Config) sched.Policy

	KVTokens     int           // memory of each engine; 0: the deployment's
	StallTimeout time.Duration // entries leave an engine when one stream is silent for so long, as the real ones do; 0: never
}

// sim is one run in progress.
type sim struct {
	cfg      *Config
	plant    plant
	policy   sched.Policy
	now      time.Duration
	delay    time.Duration
	line     timeline
	flows    []flow
	engines  []engine
	acts     []sched.Action
	open     int     // flows that are not over
	capWatts float64 // in force now
	owners   int
	frozen   bool
	metrics  metrics
}

// Run carries out one run and returns its figures.
func Run(cfg Config) Result {
	s := newSim(&cfg)
	limit := cfg.Window + drainBound
	for s.open > 0 && s.line.Len() > 0 {
		ev := s.line.next()
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
		cfg:   cfg,
		plant: plantOf(cfg),
		delay: cfg.Mix.Delay,
		flows: make([]flow, len(cfg.Arrivals)),
		open:  len(cfg.Arrivals),
	}
	s.owners = ownersOf(cfg.Policy, cfg.Mix)
	s.capWatts = s.plant.capWatts
	s.metrics.init(cfg)
	s.policy = cfg.NewPolicy(cfg)
	s.policy.SetTargets(0, s.plant.targets(cfg.Mix))
	s.policy.SetPolicy(classPolicies(cfg.Mix))
	s.startEngines()
	for i := range s.flows {
		s.startFlow(i)
	}
	for e := range entries {
		phase := progressEvery * time.Duration(e) / entries
		s.line.add(event{at: phase, kind: atEntryFlush, n: e})
	}
	s.line.add(event{kind: atOwnerTick})
	s.line.add(event{kind: atOwnerPower})
	s.scheduleFaults()
	return s
}

func (s *sim) dispatch(ev *event) {
	now := sched.Time(s.now)
	switch ev.kind {
	case atEntryArrive:
		s.submit(int(ev.flow))
	case atEntryAction:
		s.carryOut(&ev.action)
	case atEntryTokens:
		s.receive(ev)
	case atEntryRefused:
		s.refusedByEngine(ev)
	case atEntryBroken:
		s.broken(int(ev.engine))
	case atEntryFlush:
		s.flush(ev.n)
	case atOwnerSubmit:
		s.policy.Submit(now, s.request(int(ev.flow), ev.attempt))
	case atOwnerProgress:
		for _, p := range ev.progress {
			s.policy.Progress(now, genID(int(p.flow)), p.attempt, p.tokens)
		}
	case atOwnerEnd:
		s.policy.End(now, genID(int(ev.flow)), ev.attempt, ev.n, ev.reason)
	case atOwnerReport:
		s.policy.Report(now, ev.report)
	case atOwnerCache:
		s.tellCache(now, ev)
	case atOwnerGone:
		s.policy.TargetGone(now, targetName(int(ev.engine)))
	case atOwnerPower:
		s.tellPower()
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

// tick runs the policy and sends its actions to the entries; it also samples the true draw.
func (s *sim) tick(now sched.Time) {
	s.acts = s.policy.Tick(now, s.acts[:0])
	s.metrics.messages += len(s.acts)
	for _, a := range s.acts {
		s.line.add(event{at: s.now + s.delay, kind: atEntryAction, action: a})
	}
	if s.draw() > s.capWatts {
		s.metrics.overCap++
	}
	s.line.add(event{at: s.now + tickEvery, kind: atOwnerTick})
}

// tellPower renews the policy's share each powerEvery.
func (s *sim) tellPower() {
	s.grantPower()
	s.line.add(event{at: s.now + powerEvery, kind: atOwnerPower})
}

// grantPower tells the policy its share: it holds all targets, so the whole cap, and the fallback is the same.
func (s *sim) grantPower() {
	now := sched.Time(s.now)
	watts := s.announced()
	s.policy.SetPower(now, watts, now.Add(powerValid), watts)
}

func genID(flow int) ids.Generation { return ids.From(0x616e76696c, uint64(flow)) }

func flowOf(g ids.Generation) int {
	n := 0
	for _, b := range g[8:] {
		n = n<<8 | int(b)
	}
	return n
}
