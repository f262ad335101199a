package sched

import "time"

// Options configures an Owner. A zero field takes its default. Each Disable switch turns off one part of the policy, so
// that the bench can measure its effect.
type Options struct {
	// Memory.
	MemoryRisk     float64 // accepted probability that an engine runs out of memory, where a ClassPolicy sets none (default 0.1)
	MemoryFill     float64 // fraction of an engine's memory that may be planned (default 0.98)
	HorizonTokens  int     // steps that the forecast looks ahead (default 256)
	VictimSteps    int     // steps ahead at which a forecast memory shortage triggers preemption (default 48)
	MaxPreemptions int     // limit on moves of a generation, where a ClassPolicy sets none (default 3)

	// Batches and prefill.
	BatchBound     float64 // fraction of an engine's batch limit that is used (default 1)
	PrefillBound   int     // prompt tokens in concurrent prefill on an engine; a single prompt may be larger (default 512)
	PrefillSeconds float64 // seconds to prefill one token, until progress is seen (default 45e-6)
	StepSeconds    float64 // seconds of a decode step until one was measured (default 0.03)

	// Queues.
	MaxWait            time.Duration // limit on queue wait, where a ClassPolicy sets none (default 60 s)
	AgeFraction        float64       // fraction of MaxWait after which a waiting request is prioritized (default 0.5)
	Backfill           int           // further requests of a queue tried when its head does not fit (default 3)
	UrgentSigmas       float64       // headroom for urgent work above its mean, in standard deviations (default 2)
	UrgentPreemptAfter time.Duration // wait after which an urgent request may preempt others (default 150 ms)
	DeadlineSlack      time.Duration // a queued request with less slack before its deadline is prioritized (default 10 min)

	// Health.
	SilentAfter   time.Duration // a target that runs work but yields no token for this long gets no new work (default 750 ms)
	MoveAfter     time.Duration // time without tokens after which its generations are moved (default 1.2 s)
	ProbeInterval time.Duration // interval at which an idle silent target is probed with one request (default 5 s)
	StaleAfter    time.Duration // a generation without updates for this long is removed from the tables (default 2 min)

	// Power.
	PowerGuard float64 // fraction of the cap kept free (default 0.02)

	// Ablations.
	DisableLengths  bool // use the prior for every remaining length instead of learnt distributions
	DisableForecast bool // admit by current memory use
	DisableVictims  bool // leave preemption on memory shortage to the engines
	DisablePrefill  bool // no limit on concurrent prefill
	DisableAffinity bool // ignore cached prefixes
	DisableHeadroom bool // keep no capacity free for urgent work
	DisableShares   bool // first come, first served between workspaces
	DisableAgeing   bool // never prioritize requests by waiting time or deadline
	DisableSilence  bool // never mark targets as silent
	DisablePower    bool // ignore the power cap
}

// Defaults of Options.
const (
	defaultMemoryRisk         = 0.1
	defaultMemoryFill         = 0.98
	defaultHorizonTokens      = 256
	defaultVictimSteps        = 48
	defaultMaxPreemptions     = 3
	defaultBatchBound         = 1.0
	defaultPrefillBound       = 512
	defaultPrefillSeconds     = 45e-6
	defaultStepSeconds        = 0.03
	defaultMaxWait            = 60 * time.Second
	defaultAgeFraction        = 0.5
	defaultBackfill           = 3
	defaultUrgentSigmas       = 2
	defaultUrgentPreemptAfter = 150 * time.Millisecond
	defaultDeadlineSlack      = 10 * time.Minute
	defaultSilentAfter        = 750 * time.Millisecond
	defaultMoveAfter          = 1200 * time.Millisecond
	defaultProbeInterval      = 5 * time.Second
	defaultStaleAfter         = 2 * time.Minute
	defaultPowerGuard         = 0.02
)

func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

func (o *Options) setDefaults() {
	orDefault(&o.MemoryRisk, defaultMemoryRisk)
	orDefault(&o.MemoryFill, defaultMemoryFill)
	orDefault(&o.HorizonTokens, defaultHorizonTokens)
	orDefault(&o.VictimSteps, defaultVictimSteps)
	orDefault(&o.MaxPreemptions, defaultMaxPreemptions)
	orDefault(&o.BatchBound, defaultBatchBound)
	orDefault(&o.PrefillBound, defaultPrefillBound)
	orDefault(&o.PrefillSeconds, defaultPrefillSeconds)
	orDefault(&o.StepSeconds, defaultStepSeconds)
	orDefault(&o.MaxWait, defaultMaxWait)
	orDefault(&o.AgeFraction, defaultAgeFraction)
	orDefault(&o.Backfill, defaultBackfill)
	orDefault(&o.UrgentSigmas, defaultUrgentSigmas)
	orDefault(&o.UrgentPreemptAfter, defaultUrgentPreemptAfter)
	orDefault(&o.DeadlineSlack, defaultDeadlineSlack)
	orDefault(&o.SilentAfter, defaultSilentAfter)
	orDefault(&o.MoveAfter, defaultMoveAfter)
	orDefault(&o.ProbeInterval, defaultProbeInterval)
	orDefault(&o.StaleAfter, defaultStaleAfter)
	orDefault(&o.PowerGuard, defaultPowerGuard)
}
