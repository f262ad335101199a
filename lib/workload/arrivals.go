package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the arrivals.
const (
	tailAlpha             = 1.2             // Pareto exponent of the output tail
	tailStart             = 3               // start of the tail, as a multiple of the median
	backlogSpan           = 5 * time.Second // time within which the backlog arrives
	floodAt               = 0.6             // start of the floods, as a fraction of the window
	floodSpan             = 2 * time.Second
	smallWorkspaceDivisor = 2                // floods come from the last 1/smallPart of the workspaces, which are the small ones
	burstEvery            = 45 * time.Second // mean time between bursts
	burstLength           = 8 * time.Second
	minOwnPrompt          = 8    // tokens; leaves space for the length mark read by stand-in engines
	maxOwnPrompt          = 3000 // tokens
)

// Request is one arrival. Length is the length of the answer that the engine will produce; only the oracle may use it.
type Request struct {
	Index     int // in order of arrival
	At        time.Duration
	Workspace string
	Class     *Class
	Prompt    int // tokens
	Length    int // tokens
}

// burst is the time interval of a burst.
type burst struct{ from, to time.Duration }

// generator generates the requests of one class.
type generator struct {
	mix      *Mix
	class    *Class
	rng      *rand.Rand
	bursts   []burst
	requests []Request
}

// Arrivals generates the requests of a window in order of arrival. Equal seeds give equal requests.
func (m *Mix) Arrivals(seed uint64, window time.Duration) []Request {
	var all []Request
	bursts := drawBursts(rand.New(rand.NewPCG(seed, 0xb0)), window)
	for i := range m.Classes {
		g := generator{
			mix:    m,
			class:  &m.Classes[i],
			rng:    rand.New(rand.NewPCG(seed, uint64(i+1))),
			bursts: bursts,
		}
		g.backlog()
		g.flood(window)
		g.steady(window)
		all = append(all, g.requests...)
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Index = i
	}
	return all
}

func drawBursts(rng *rand.Rand, window time.Duration) []burst {
	var out []burst
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() * float64(burstEvery))
		if at >= window {
			return out
		}
		out = append(out, burst{at, at + burstLength})
		at += burstLength
	}
}

func (g *generator) backlog() {
	for range g.class.Backlog {
		at := time.Duration(g.rng.Float64() * float64(backlogSpan))
		g.add(at, g.workspace())
	}
}

// flood adds many requests of one small workspace at once. A fair policy keeps them from using the shares of others.
func (g *generator) flood(window time.Duration) {
	all := g.mix.Workspaces
	small := all[len(all)-len(all)/smallWorkspaceDivisor:]
	w := &small[g.rng.IntN(len(small))]
	start := time.Duration(floodAt * float64(window))
	for range g.class.Flood {
		g.add(start+time.Duration(g.rng.Float64()*float64(floodSpan)), w)
	}
}

// steady generates batches by thinning a Poisson process that has the highest rate.
func (g *generator) steady(window time.Duration) {
	factor := max(1, g.class.BurstFactor)
	peak := g.class.Rate * g.mix.Load * factor / g.class.Batch
	at := time.Duration(0)
	for {
		at += time.Duration(g.rng.ExpFloat64() / peak * float64(time.Second))
		if at >= window {
			return
		}
		keep := g.rng.Float64()
		if !g.inBurst(at) && keep > 1/factor {
			continue
		}
		g.batch(at)
	}
}

func (g *generator) inBurst(at time.Duration) bool {
	return slices.ContainsFunc(g.bursts, func(b burst) bool { return b.from <= at && at < b.to })
}

// batch adds requests of one workspace; their number is geometrically distributed with mean Batch.
func (g *generator) batch(at time.Duration) {
	w := g.workspace()
	g.add(at, w)
	for g.rng.Float64() < 1-1/g.class.Batch {
		at += time.Duration(g.rng.Float64() * float64(200*time.Millisecond))
		g.add(at, w)
	}
}

func (g *generator) workspace() *Workspace {
	total := 0.0
	for _, w := range g.mix.Workspaces {
		total += w.Weight
	}
	pick := g.rng.Float64() * total
	for i := range g.mix.Workspaces {
		pick -= g.mix.Workspaces[i].Weight
		if pick < 0 {
			return &g.mix.Workspaces[i]
		}
	}
	return &g.mix.Workspaces[len(g.mix.Workspaces)-1]
}

func (g *generator) add(at time.Duration, w *Workspace) {
	own := g.class.Prompt * math.Exp(g.class.PromptSigma*g.rng.NormFloat64())
	g.requests = append(g.requests, Request{
		At:        at,
		Workspace: w.Name,
		Class:     g.class,
		Prompt:    g.class.Template + int(min(max(own, minOwnPrompt), maxOwnPrompt)),
		Length:    g.length(w),
	})
}

// length draws an output length: lognormal, or from the Pareto tail.
func (g *generator) length(w *Workspace) int {
	median := g.class.Median * w.Length
	body := median * math.Exp(g.class.Sigma*g.rng.NormFloat64())
	tail := median * tailStart * math.Pow(1-g.rng.Float64(), -1/tailAlpha)
	n := body
	if g.rng.Float64() < g.class.TailShare {
		n = tail
	}
	return int(min(max(n, 1), float64(g.mix.MaxTokens)))
}
