package bench

import (
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/workload"
)

// cluster describes the engines under the policy's control and their power cap.
type cluster struct {
	engine   enginemodel.Config
	capWatts float64
}

// clusterOf sizes the engines of a deployment so that their memory, not the batch, is exhausted first.
func clusterOf(cfg *Config) cluster {
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
	perEngine := c.IdleWatts + poweredSeqs*c.SeqWatts
	return cluster{engine: c, capWatts: float64(m.Engines) * perEngine}
}

// EngineConfig returns the configuration of the engines of a run.
func EngineConfig(cfg Config) enginemodel.Config { return clusterOf(&cfg).engine }

const (
	poweredSeqs   = 32              // sequences per engine that the cap has power for
	dipFactor     = 0.55            // factor on the cap while it is reduced
	powerNotice   = 1 * time.Second // notice before a reduction of the cap
	powerValidity = 3 * time.Second // validity of a power share without renewal
)

func targetName(i int) string { return fmt.Sprintf("engine-%02d", i) }

// targets describes the engines as settings would.
func (c *cluster) targets(m *workload.Mix) []sched.TargetSpec {
	out := make([]sched.TargetSpec, m.Engines)
	for i := range out {
		out[i] = sched.TargetSpec{
			Name:          targetName(i),
			FailureDomain: m.Domains[i%len(m.Domains)],
			Instance:      fmt.Sprintf("worker-%02d", i),
			KVTotal:       c.engine.KVTokens,
			MaxBatch:      c.engine.MaxBatch,
			IdleWatts:     c.engine.IdleWatts,
			SeqWatts:      c.engine.SeqWatts,
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
