package bench

import (
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// DefaultWindow is the time during which requests arrive.
const DefaultWindow = 300 * time.Second

// Suite selects the runs to make. All runs of a deployment get the same arrivals.
type Suite struct {
	Seed       uint64
	Window     time.Duration
	Policies   []string
	Faults     bool     // also run least-loaded and anvilwick under each fault
	Scale      int      // factor on engines, load of entries and batches; 0: 1
	Ablate     []string // parts of anvilwick to disable, one run each
	MemoryRisk float64  // accepted memory risk of every class; 0: that of the mix
	Workers    int      // maximum concurrent runs
	Options    sched.Options
}

// Run executes all runs and returns their results in a fixed order.
func (s *Suite) Run() ([]Result, error) {
	var configs []Config
	for _, mix := range workload.Deployments() {
		mix = mix.Scaled(max(1, s.Scale))
		if s.MemoryRisk > 0 {
			for i := range mix.Classes {
				mix.Classes[i].MemoryRisk = s.MemoryRisk
			}
		}
		arrivals := mix.Arrivals(s.Seed, s.Window)
		more, err := s.configs(Config{Mix: &mix, Arrivals: arrivals, Window: s.Window})
		if err != nil {
			return nil, err
		}
		configs = append(configs, more...)
	}
	return runAll(configs, s.Workers), nil
}

// configs returns the runs of one deployment.
func (s *Suite) configs(base Config) ([]Config, error) {
	var out []Config
	add := func(policy, fault string, opt sched.Options) *Config {
		c := base
		c.Policy = policy
		c.Fault = fault
		c.Oracle = policy == PolicyOracle
		c.NewPolicy = makePolicy(policy, opt)
		out = append(out, c)
		return &out[len(out)-1]
	}
	for _, p := range s.Policies {
		add(p, FaultNone, s.Options)
	}
	if s.Faults {
		for _, f := range Faults {
			add(PolicyLeastLoaded, f, s.Options)
			add(PolicyAnvilwick, f, s.Options)
		}
	}
	if !s.Faults && len(s.Ablate) > 0 {
		add(PolicyAnvilwick, FaultStall, s.Options)
		add(PolicyAnvilwick, FaultDip, s.Options)
	}
	for _, part := range s.Ablate {
		opt, err := Ablate(s.Options, part)
		if err != nil {
			return nil, err
		}
		add(PolicyAnvilwick, ablationFault[part], opt).Without = part
	}
	return out, nil
}

// ablationFault is the fault to inject for parts that have no effect without one.
var ablationFault = map[string]string{
	"silence": FaultStall,
	"power":   FaultDip,
}

// runAll executes the runs concurrently. They share no state, so the results do not depend on the order of completion.
func runAll(configs []Config, workers int) []Result {
	out := make([]Result, len(configs))
	jobs := make(chan int)
	var wg sync.WaitGroup
	for range max(1, workers) {
		wg.Go(func() {
			for i := range jobs {
				out[i] = Run(configs[i])
			}
		})
	}
	for i := range configs {
		jobs <- i
	}
	close(jobs)
	wg.Wait()
	return out
}
