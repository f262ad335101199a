// Package workload describes the request mixes of the two deployments and generates seeded arrivals from them.
//
// Arrivals are open-loop: they do not wait for answers. Output lengths are heavy-tailed, with a lognormal body whose median
// differs by workspace and a Pareto tail; only the engine knows them. Long requests arrive in batches of one workspace,
// urgent ones in bursts. The same seed gives the same requests under every policy.
package workload

import (
	"slices"
	"time"
)

// Class is one priority class of a deployment.
type Class struct {
	Name           string
	Priority       int
	Urgent         bool
	Rate           float64 // requests per second over all workspaces, before Mix.Load
	Batch          float64 // mean number of requests that arrive together; 1: single requests
	BurstFactor    float64 // rate during a burst, relative to Rate; 1: no bursts
	Backlog        int     // requests waiting at the start of the run
	Flood          int     // requests that one small workspace sends at once, well before the window ends
	Template       int     // prompt tokens shared by all requests of a workspace in this class
	Prompt         float64 // median of the prompt tokens that are not shared
	PromptSigma    float64
	Median         float64 // median output, tokens
	Sigma          float64
	TailShare      float64 // fraction of outputs drawn from the tail
	MaxWait        time.Duration
	QueueBound     int
	MaxPreemptions int
	MemoryRisk     float64
	Deadline       time.Duration // from arrival; 0: none
}

// Workspace is one tenant of a deployment.
type Workspace struct {
	Name   string
	Weight float64 // share of the load, and fair share
	Length float64 // factor on the median length of its outputs
}

// Mix is a deployment's workload.
type Mix struct {
	Deployment string
	Service    string
	Domains    []string // failure domains
	Engines    int
	Delay      time.Duration // one-way network delay between any two of entry, owner and engine
	Load       float64       // factor on every rate
	MaxTokens  int           // bound on an output
	Workspaces []Workspace
	Classes    []Class
}

// Deployments returns the mixes of both deployments.
func Deployments() []Mix { return []Mix{Kelburn(), Kivu()} }

// Kelburn is the mix of a planner of street sweeping routes: very long narratives overnight, brief questions from depots.
func Kelburn() Mix {
	return Mix{
		Deployment: "kelburn",
		Service:    "planner-llm",
		Domains:    []string{"govan-depot", "leith-hall", "falkirk-bay"},
		Engines:    10,
		Delay:      time.Millisecond,
		Load:       1,
		MaxTokens:  8000,
		Workspaces: []Workspace{
			{"glasgow-city", 5, 1.3}, {"edinburgh-city", 4, 1.0}, {"falkirk", 2, 0.8}, {"stirling", 1.5, 1.6},
			{"north-lanark", 1.5, 0.7}, {"south-lanark", 1.2, 1.0}, {"renfrew", 1, 1.2}, {"west-lothian", 1, 0.6},
			{"fife", 0.8, 1.0}, {"clackmannan", 0.5, 1.4},
		},
		Classes: []Class{
			{
				Name: "depot", Priority: 10, Urgent: true, Rate: 5, Batch: 1, BurstFactor: 5,
				Template: 256, Prompt: 120, PromptSigma: 0.5, Median: 60, Sigma: 0.6, TailShare: 0.01,
				MaxWait: 15 * time.Second, QueueBound: 200, MaxPreemptions: 1, MemoryRisk: 0.1,
			},
			{
				Name: "narrative", Priority: 1, Rate: 3.4, Batch: 6, BurstFactor: 1, Backlog: 160, Flood: 80,
				Template: 1024, Prompt: 350, PromptSigma: 0.6, Median: 1300, Sigma: 0.7, TailShare: 0.05,
				MaxWait: 30 * time.Minute, QueueBound: 4000, MaxPreemptions: 2, MemoryRisk: 0.1,
				Deadline: 8 * time.Hour,
			},
		},
	}
}

// Kivu is the mix of a reinsurer that reads cedant bordereaux: very long extractions, claims summaries of medium length, brief
// clause checks.
func Kivu() Mix {
	return Mix{
		Deployment: "kivu",
		Service:    "anvilwick-treaty",
		Domains:    []string{"nyarugenge-hall", "kacyiru-hall", "gasabo-dr"},
		Engines:    10,
		Delay:      500 * time.Microsecond,
		Load:       1,
		MaxTokens:  12000,
		Workspaces: []Workspace{
			{"treaty-desk", 6, 1.2}, {"cedant-akagera", 3, 1.0}, {"cedant-virunga", 2.5, 1.5}, {"claims-kigali", 2, 0.7},
			{"claims-goma", 1.5, 0.8}, {"underwriting", 1.2, 1.0}, {"brokers-east", 1, 1.1}, {"brokers-west", 1, 0.9},
			{"actuarial", 0.8, 1.4}, {"audit", 0.4, 0.6},
		},
		Classes: []Class{
			{
				Name: "clause", Priority: 10, Urgent: true, Rate: 4, Batch: 1, BurstFactor: 5,
				Template: 512, Prompt: 200, PromptSigma: 0.5, Median: 50, Sigma: 0.6, TailShare: 0.01,
				MaxWait: 15 * time.Second, QueueBound: 200, MaxPreemptions: 1, MemoryRisk: 0.1,
			},
			{
				Name: "summary", Priority: 5, Rate: 2.2, Batch: 2, BurstFactor: 2,
				Template: 512, Prompt: 700, PromptSigma: 0.5, Median: 350, Sigma: 0.6, TailShare: 0.03,
				MaxWait: 4 * time.Minute, QueueBound: 1000, MaxPreemptions: 2, MemoryRisk: 0.1,
			},
			{
				Name: "bordereau", Priority: 1, Rate: 1.6, Batch: 5, BurstFactor: 1, Backlog: 100, Flood: 50,
				Template: 1024, Prompt: 900, PromptSigma: 0.6, Median: 1900, Sigma: 0.8, TailShare: 0.06,
				MaxWait: 30 * time.Minute, QueueBound: 4000, MaxPreemptions: 1, MemoryRisk: 0.1,
				Deadline: 8 * time.Hour,
			},
		},
	}
}

// Scaled returns the mix with k times the engines and requests.
func (m Mix) Scaled(k int) Mix {
	m.Engines *= k
	m.Load *= float64(k)
	m.Classes = slices.Clone(m.Classes)
	for i := range m.Classes {
		m.Classes[i].Backlog *= k
		m.Classes[i].Flood *= k
	}
	return m
}

// Class returns the class with the given name; ok is false if the mix has none.
func (m *Mix) Class(name string) (c *Class, ok bool) {
	for i := range m.Classes {
		if m.Classes[i].Name == name {
			return &m.Classes[i], true
		}
	}
	return nil, false
}
