package engine

import "anvilwick.example/anvilwick/lib/ids"

// maxFences bounds the generations an engine remembers; the oldest is forgotten first.
const maxFences = 65536

// record is what an engine remembers of a generation after its stream has ended.
type record struct {
	first   uint32 // lowest attempt that was accepted; 0: none
	started uint32 // highest attempt that was accepted
	fenced  uint32 // attempts up to it are refused
	tokens  int    // index after the last token produced here
	ran     bool
}

// fences remembers attempts. An attempt that arrives after a later one, or after its own cancel, must not run: its caller
// has already started another elsewhere, and two runs of one generation would mix in one answer.
type fences struct {
	byGen map[ids.Generation]*record
	order []ids.Generation
	begun int // attempts accepted
}

func newFences() fences {
	return fences{byGen: make(map[ids.Generation]*record)}
}

func (f *fences) get(g ids.Generation) *record {
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

// admit reports whether the attempt may start; a refused attempt leaves no trace.
func (f *fences) admit(g ids.Generation, attempt uint32) bool {
	r := f.byGen[g]
	return r == nil || attempt > r.fenced && attempt > r.started
}

func (f *fences) start(g ids.Generation, attempt uint32) {
	r := f.get(g)
	if r.first == 0 {
		r.first = attempt // the first to be accepted is the lowest: each next one is higher
	}
	r.started = attempt
	f.begun++
}

func (f *fences) fence(g ids.Generation, attempt uint32) *record {
	r := f.get(g)
	r.fenced = max(r.fenced, attempt)
	return r
}

func (f *fences) produced(g ids.Generation, tokens int) {
	r := f.get(g)
	r.ran = true
	r.tokens = max(r.tokens, tokens)
}
