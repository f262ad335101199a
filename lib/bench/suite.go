package bench

import (
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// DefaultWindow is how long requests arrive.
const DefaultWindow = 300 * time.Second

// Suite says which runs to make. All runs of a deployment see the same arrivals.
type Suite struct {
	Seed       uint64
	Window     time.Duration
	Policies   []string
	Faults     bool     // also run least-loaded and anvilwick under each fault
	Scale      int      // engines, entries' load and batches times so many; 0: as they are
	Ablate     []string // parts to take out of anvilwick, one run each
	MemoryRisk float64  // accepted memory risk of every class; 0: the mix's
	Workers    int      // runs at once
	Options    sched.Options
}

// Run makes all runs and returns their results in a fixed order.
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

// configs lists the runs of one deployment.
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

// ablationFault is the fault under which a part has work to do, where it has none without a fault.
var ablationFault = map[string]string{
	"silence": FaultStall,
	"power":   FaultDip,
}

// runAll makes the runs, some at once; each is alone with its state, so the order of ending does not matter.
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
