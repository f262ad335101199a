package bench

import (
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// plant is what the policy runs: engines and their power.
type plant struct {
	engine   enginemodel.Config
	capWatts float64
}

// Memory, not the batch, is what fills first on these engines.
func plantOf(cfg *Config) plant {
	m := cfg.Mix
	c := enginemodel.Default()
	c.MaxBatch = 64
	if m.Deployment == "kivu" {
		c.KVTokens = 64_000
		c.CacheTokens = 16_000
	}
	if cfg.KVTokens > 0 {
		c.KVTokens = cfg.KVTokens
	}
	perEngine := c.IdleWatts + wattsSeqs*c.SeqWatts
	return plant{engine: c, capWatts: float64(m.Engines) * perEngine}
}

// EngineConfig returns the engines of a run.
func EngineConfig(cfg Config) enginemodel.Config { return plantOf(&cfg).engine }

const (
	wattsSeqs   = 32              // sequences on each engine that the cap has power for
	dipFactor   = 0.55            // of the cap, while it is cut
	powerNotice = 1 * time.Second // before a cut of the cap
	powerValid  = 3 * time.Second // a power share without news
)

func targetName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// targets gives the engines as settings would.
func (p *plant) targets(m *workload.Mix) []sched.TargetSpec {
	out := make([]sched.TargetSpec, m.Engines)
	for i := range out {
		out[i] = sched.TargetSpec{
			Name:          targetName(i),
			FailureDomain: m.Domains[i%len(m.Domains)],
			Instance:      fmt.Sprintf("worker-%02d", i),
			KVTotal:       p.engine.KVTokens,
			MaxBatch:      p.engine.MaxBatch,
			IdleWatts:     p.engine.IdleWatts,
			SeqWatts:      p.engine.SeqWatts,
			Resumes:       true,
		}
	}
	return out
}

// classPolicies resolves classes as the settings tree would.
func classPolicies(m *workload.Mix) sched.PolicyFunc {
	weights := make(map[string]float64, len(m.Workspaces))
	for _, w := range m.Workspaces {
		weights[w.Name] = w.Weight
	}
	return func(workspace, class string) sched.ClassPolicy {
		c, ok := m.Class(class)
		if !ok {
			return sched.ClassPolicy{}
		}
		return sched.ClassPolicy{
			Priority:       c.Priority,
			Urgent:         c.Urgent,
			Weight:         weights[workspace],
			MaxWait:        c.MaxWait,
			QueueBound:     c.QueueBound,
			MaxPreemptions: c.MaxPreemptions,
			MemoryRisk:     c.MemoryRisk,
		}
	}
}
