package engine

import "anvilwick.example/anvilwick/lib/ids"

// maxFences bounds the generations an engine remembers; the oldest is evicted first.
const maxFences = 65536

// record is what an engine keeps about a generation after its stream has ended.
type record struct {
	first   uint32 // lowest accepted attempt; 0: none
	started uint32 // highest accepted attempt
	fenced  uint32 // attempts up to this one are rejected
	tokens  int    // index after the last token produced here
	ran     bool
}

// fences tracks attempts by generation. An attempt that arrives after a later one, or after its own cancel, must not run: its
// caller has already started another elsewhere, and output of two runs of one generation would be mixed in one answer.
type fences struct {
	byGen    map[ids.Generation]*record
	order    []ids.Generation
	accepted int // attempts accepted
}

func newFences() fences {
	return fences{byGen: make(map[ids.Generation]*record)}
}

func (f *fences) getOrCreate(g ids.Generation) *record {
	if r := f.byGen[g]; r != nil {
		return r
	}
	r := &record{}
	f.byGen[g] = r
	f.order = append(f.order, g)
	if len(f.order) > maxFences {
		delete(f.byGen, f.order[0])
		f.order = f.order[1:]
	}
	return r
}

// admit reports whether the attempt may start. A rejected attempt is not recorded.
func (f *fences) admit(g ids.Generation, attempt uint32) bool {
	r := f.byGen[g]
	return r == nil || attempt > r.fenced && attempt > r.started
}

func (f *fences) start(g ids.Generation, attempt uint32) {
	r := f.getOrCreate(g)
	if r.first == 0 {
		r.first = attempt // the first accepted attempt is the lowest: each later one must be higher
	}
	r.started = attempt
	f.accepted++
}

func (f *fences) fence(g ids.Generation, attempt uint32) *record {
	r := f.getOrCreate(g)
	r.fenced = max(r.fenced, attempt)
	return r
}

func (f *fences) recordTokens(g ids.Generation, tokens int) {
	r := f.getOrCreate(g)
	r.ran = true
	r.tokens = max(r.tokens, tokens)
}
