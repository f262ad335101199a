package sched

import "time"

// Options tunes an Owner. A zero field takes its default; the Disable switches take one part of the policy out, so
// that the bench can show what the part is worth.
type Options struct {
	// Memory.
	MemoryRisk     float64 // accepted chance that an engine runs out, where a ClassPolicy sets none (default 0.1)
	MemoryFill     float64 // fraction of an engine's memory that is planned with (default 0.98)
	HorizonTokens  int     // steps ahead that the forecast looks (default 256)
	VictimSteps    int     // steps ahead at which running out is acted on (default 48)
	MaxPreemptions int     // bound on moves of a generation, where a ClassPolicy sets none (default 3)

	// Batches and prefill.
	BatchBound     float64 // fraction of an engine's own batch bound that is used (default 1)
	PrefillBound   int     // prompt tokens in prefill on an engine beside others; one prompt may be larger (default 512)
	PrefillSeconds float64 // seconds to prefill one token, until progress is seen (default 45e-6)
	StepSeconds    float64 // seconds of a decode step before any was measured (default 0.03)

	// Queues.
	MaxWait        time.Duration // bound on queue wait, where a ClassPolicy sets none (default 60 s)
	AgeFraction    float64       // fraction of MaxWait after which a waiting request is raised (default 0.5)
	Backfill       int           // requests of one queue tried when its head does not fit (default 3)
	UrgentSigmas   float64       // headroom for urgent work above its mean, in deviations (default 2)
	UrgentPatience time.Duration // wait after which an urgent request may move others away (default 150 ms)
	DeadlineSlack  time.Duration // a queued request with less slack to its deadline is raised (default 10 min)

	// Health.
	SilentAfter   time.Duration // an engine that runs work and gives no token for so long takes no new work (default 750 ms)
	MoveAfter     time.Duration // and its generations are moved (default 1.2 s)
	ProbeInterval time.Duration // a silent engine without work is tried with one request so often (default 5 s)
	ForgetAfter   time.Duration // a generation nobody speaks of for so long is dropped from the tables (default 2 min)

	// Power.
	PowerGuard float64 // fraction of the cap kept free (default 0.02)

	// Ablations.
	DisableLengths  bool // no learning: every remaining length comes from the prior
	DisableForecast bool // admit by what engines hold now
	DisableVictims  bool // leave running out of memory to the engines
	DisablePrefill  bool // no bound on prefill beside others
	DisableAffinity bool // ignore cached prefixes
	DisableHeadroom bool // keep nothing free for urgent work
	DisableShares   bool // first come, first served between workspaces
	DisableAgeing   bool // never raise what waits or has a deadline
	DisableSilence  bool // trust silent engines
	DisablePower    bool // ignore the power cap
}

// Defaults of Options.
const (
	defaultMemoryRisk     = 0.1
	defaultMemoryFill     = 0.98
	defaultHorizonTokens  = 256
	defaultVictimSteps    = 48
	defaultMaxPreemptions = 3
	defaultBatchBound     = 1.0
	defaultPrefillBound   = 512
	defaultPrefillSeconds = 45e-6
	defaultStepSeconds    = 0.03
	defaultMaxWait        = 60 * time.Second
	defaultAgeFraction    = 0.5
	defaultBackfill       = 3
	defaultUrgentSigmas   = 2
	defaultUrgentPatience = 150 * time.Millisecond
	defaultDeadlineSlack  = 10 * time.Minute
	defaultSilentAfter    = 750 * time.Millisecond
	defaultMoveAfter      = 1200 * time.Millisecond
	defaultProbeEvery     = 5 * time.Second
	defaultForgetAfter    = 2 * time.Minute
	defaultPowerGuard     = 0.02
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
	orDefault(&o.UrgentPatience, defaultUrgentPatience)
	orDefault(&o.DeadlineSlack, defaultDeadlineSlack)
	orDefault(&o.SilentAfter, defaultSilentAfter)
	orDefault(&o.MoveAfter, defaultMoveAfter)
	orDefault(&o.ProbeInterval, defaultProbeEvery)
	orDefault(&o.ForgetAfter, defaultForgetAfter)
	orDefault(&o.PowerGuard, defaultPowerGuard)
}
