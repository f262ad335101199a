package workload

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Shape of the arrivals.
const (
	tailAlpha    = 1.2             // Pareto exponent of the output tail
	tailStart    = 3               // the tail begins at so many medians
	backlogSpan  = 5 * time.Second // the backlog arrives within it
	floodAt      = 0.6             // of the window
	floodSpan    = 2 * time.Second
	smallPart    = 2                // floods come from the last 1/smallPart of the workspaces, which are the small ones
	burstEvery   = 45 * time.Second // mean time between bursts
	burstLength  = 8 * time.Second
	minOwnPrompt = 8    // tokens; room for the mark that tells the length
	maxOwnPrompt = 3000 // tokens
)

// Request is one arrival. Length is what the engine will produce; no policy but the oracle may look at it.
type Request struct {
	Index     int // in order of arrival
	At        time.Duration
	Workspace string
	Class     *Class
	Prompt    int // tokens
	Length    int // tokens
}

// span is a time of bursts.
type span struct{ from, to time.Duration }

// source draws the requests of one class.
type source struct {
	mix    *Mix
	class  *Class
	rng    *rand.Rand
	bursts []span
	out    []Request
}

// Arrivals draws the requests of a window, in order of time. Equal seeds give equal requests.
func (m *Mix) Arrivals(seed uint64, window time.Duration) []Request {
	var all []Request
	bursts := drawBursts(rand.New(rand.NewPCG(seed, 0xb0)), window)
	for i := range m.Classes {
		s := source{
			mix:    m,
			class:  &m.Classes[i],
			rng:    rand.New(rand.NewPCG(seed, uint64(i+1))),
			bursts: bursts,
		}
		s.backlog()
		s.flood(window)
		s.steady(window)
		all = append(all, s.out...)
	}
	slices.SortStableFunc(all, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Index = i
	}
	return all
}

func drawBursts(rng *rand.Rand, window time.Duration) []span {
	var out []span
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() * float64(burstEvery))
		if at >= window {
			return out
		}
		out = append(out, span{at, at + burstLength})
		at += burstLength
	}
}

func (s *source) backlog() {
	for range s.class.Backlog {
		at := time.Duration(s.rng.Float64() * float64(backlogSpan))
		s.add(at, s.workspace())
	}
}

// flood adds a drop of many requests by one small workspace, which a fair policy keeps from the others' shares.
func (s *source) flood(window time.Duration) {
	all := s.mix.Workspaces
	small := all[len(all)-len(all)/smallPart:]
	w := &small[s.rng.IntN(len(small))]
	start := time.Duration(floodAt * float64(window))
	for range s.class.Flood {
		s.add(start+time.Duration(s.rng.Float64()*float64(floodSpan)), w)
	}
}

// steady draws batches by thinning a Poisson process of the highest rate.
func (s *source) steady(window time.Duration) {
	factor := max(1, s.class.BurstFactor)
	peak := s.class.Rate * s.mix.Load * factor / s.class.Batch
	at := time.Duration(0)
	for {
		at += time.Duration(s.rng.ExpFloat64() / peak * float64(time.Second))
		if at >= window {
			return
		}
		keep := s.rng.Float64()
		if !s.inBurst(at) && keep > 1/factor {
			continue
		}
		s.batch(at)
	}
}

func (s *source) inBurst(at time.Duration) bool {
	return slices.ContainsFunc(s.bursts, func(b span) bool { return b.from <= at && at < b.to })
}

// batch adds requests of one workspace, of a geometric number with mean Batch.
func (s *source) batch(at time.Duration) {
	w := s.workspace()
	s.add(at, w)
	for s.rng.Float64() < 1-1/s.class.Batch {
		at += time.Duration(s.rng.Float64() * float64(200*time.Millisecond))
		s.add(at, w)
	}
}

func (s *source) workspace() *Workspace {
	total := 0.0
	for _, w := range s.mix.Workspaces {
		total += w.Weight
	}
	pick := s.rng.Float64() * total
	for i := range s.mix.Workspaces {
		pick -= s.mix.Workspaces[i].Weight
		if pick < 0 {
			return &s.mix.Workspaces[i]
		}
	}
	return &s.mix.Workspaces[len(s.mix.Workspaces)-1]
}

func (s *source) add(at time.Duration, w *Workspace) {
	own := s.class.Prompt * math.Exp(s.class.PromptSigma*s.rng.NormFloat64())
	s.out = append(s.out, Request{
		At:        at,
		Workspace: w.Name,
		Class:     s.class,
		Prompt:    s.class.Template + int(min(max(own, minOwnPrompt), maxOwnPrompt)),
		Length:    s.length(w),
	})
}

// length draws an output: lognormal, or from the tail.
func (s *source) length(w *Workspace) int {
	median := s.class.Median * w.Length
	body := median * math.Exp(s.class.Sigma*s.rng.NormFloat64())
	tail := median * tailStart * math.Pow(1-s.rng.Float64(), -1/tailAlpha)
	n := body
	if s.rng.Float64() < s.class.TailShare {
		n = tail
	}
	return int(min(max(n, 1), float64(s.mix.MaxTokens)))
}
