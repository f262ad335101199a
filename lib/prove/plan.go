package prove

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Sizes of the site of a run.
const (
	siteEngines = 4
	sitePlains  = 2
	siteEntries = 3
)

// Kinds of operation.
const (
	opStream   = "stream"   // a generation without a key
	opKeyed    = "keyed"    // a generation with a key, gone on with through other entries
	opStatus   = "status"   // an idempotent plain call
	opBook     = "book"     // a non-idempotent plain call without a key
	opBookOnce = "bookonce" // a non-idempotent plain call with a key, sent again and from two sides
	opApply    = "apply"    // two operators commit settings from one base
	opDrain    = "drain"    // an operator drains an engine for some seconds
)

// operation is one planned act of a client.
type operation struct {
	at     time.Duration
	n      int
	kind   string
	entry  int // asked first
	tokens int
	target int
	twice  bool // the same key is sent by two callers at once
}

// weights of the kinds, in hundredths.
var weights = []struct {
	kind  string
	share int
}{{opStream, 25}, {opKeyed, 22}, {opStatus, 18}, {opBook, 10}, {opBookOnce, 16}, {opApply, 6}, {opDrain, 3}}

// drainEvery keeps two drains apart, so that at most one engine is without work.
const drainEvery = 9 * time.Second

// planOperations draws what clients do: the same for the same seed and span.
func planOperations(seed uint64, span time.Duration, rate float64) []operation {
	rng := rand.New(rand.NewPCG(seed, 1))
	var ops []operation
	drained := -drainEvery
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= span {
			return ops
		}
		op := operation{
			at: at, n: len(ops), kind: drawKind(rng), entry: rng.IntN(siteEntries),
			tokens: 5 + int(rng.ExpFloat64()*60), target: rng.IntN(siteEngines), twice: rng.IntN(2) == 0,
		}
		if op.kind == opDrain {
			if at-drained < drainEvery {
				op.kind = opStatus
			} else {
				drained = at
			}
		}
		ops = append(ops, op)
	}
}

func drawKind(rng *rand.Rand) string {
	x := rng.IntN(100)
	for _, w := range weights {
		if x -= w.share; x < 0 {
			return w.kind
		}
	}
	return opStatus
}

// Kinds of fault.
const (
	faultKill     = "kill"   // SIGKILL, and a start on the old addresses at the end
	faultFreeze   = "freeze" // SIGSTOP, and SIGCONT at the end
	faultStop     = "stop"   // SIGTERM; a start on the old addresses once it has ended
	faultCut      = "cut_link"
	faultStall    = "stall_link"
	faultPlatform = "platform" // ordered from the stand-in
	faultEngine   = "engine"
	faultPlain    = "plain"
)

// fault is one planned fault. A pair is two faults whose times overlap.
type fault struct {
	at      time.Duration
	span    time.Duration
	kind    string
	order   string // for stand-ins: their kind of fault
	subject string // process or link
	pair    bool   // begins while another is on
}

func (f fault) name() string {
	if f.order != "" {
		return f.kind + "_" + f.order
	}
	return f.kind + "_" + class(f.subject)
}

func (f fault) String() string {
	return fmt.Sprintf("at=%v span=%v fault=%s subject=%q", f.at.Round(time.Millisecond), f.span.Round(time.Millisecond), f.name(), f.subject)
}

// class is a subject without its number.
func class(subject string) string {
	switch {
	case strings.HasPrefix(subject, "callers of"):
		return "callers"
	case strings.HasPrefix(subject, "platform of"):
		return "platform"
	case strings.HasPrefix(subject, "mesh of"):
		return "mesh"
	case strings.HasPrefix(subject, "entry of"):
		return "local"
	case strings.HasPrefix(subject, "target "):
		return "target"
	case strings.HasPrefix(subject, "control"):
		return "control"
	case strings.HasPrefix(subject, "entry"):
		return "entry"
	case strings.HasPrefix(subject, "engine"):
		return "engine"
	case strings.HasPrefix(subject, "plain"):
		return "plain"
	}
	return subject
}

const (
	faultMin = 300 * time.Millisecond
	faultMax = 4500 * time.Millisecond // beyond the leases' time to live
	gapMin   = 400 * time.Millisecond
	gapMax   = 1800 * time.Millisecond
	recovery = 3 * time.Second // a subject is left alone for so long after its fault
)

// drawTries bounds how often a fault is drawn again that would come too close to another.
const drawTries = 8

// planFaults draws faults: the same for the same seed, span and bound on how many are on at once.
func planFaults(seed uint64, span time.Duration, atOnce int) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []fault
	for at := gapMin; at < span; at += gapMin + upTo(rng, gapMax-gapMin) {
		for range drawTries {
			f := drawFault(rng)
			f.at, f.span = at, faultMin+upTo(rng, faultMax-faultMin)
			if f.at+f.span < span && fits(out, f, atOnce) {
				f.pair = len(overlapping(out, f)) > 0
				out = append(out, f)
				break
			}
		}
	}
	return out
}

func upTo(rng *rand.Rand, d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }

func overlapping(all []fault, f fault) []fault {
	var on []fault
	for _, o := range all {
		if o.at+o.span > f.at {
			on = append(on, o)
		}
	}
	return on
}

// clashes tells whether two faults of one subject would come too close.
func clashes(o, f fault) bool { return o.subject == f.subject && o.at+o.span+recovery > f.at }

// entryOf tells whether callers of an entry feel a fault of the subject.
func entryOf(subject string) bool { return class(subject) == "entry" || class(subject) == "callers" }

// fits tells whether a fault may come: at most atOnce are on, and one fewer of them on entries, so that a caller always
// finds one.
func fits(all []fault, f fault, atOnce int) bool {
	entries := 0
	for _, o := range all {
		if clashes(o, f) {
			return false
		}
		if entryOf(o.subject) && o.at+o.span+recovery > f.at {
			entries++
		}
	}
	if entryOf(f.subject) && entries >= min(atOnce, siteEntries)-1 {
		return false
	}
	return len(overlapping(all, f)) < atOnce
}

var (
	platformOrders = []string{"outage", "slow", "lose_answer", "stale_reads", "list_lag"}
	engineOrders   = []string{"stall", "cut", "repeat", "slow", "freeze"}
	plainOrders    = []string{"cut_before", "cut_after", "cut_body", "hang", "delay", "error"}
)

func drawFault(rng *rand.Rand) fault {
	pick := func(names []string) string { return names[rng.IntN(len(names))] }
	entry := fmt.Sprintf("entry-%d", 1+rng.IntN(siteEntries))
	control := "control of " + entry
	engine := fmt.Sprintf("engine-%d", 1+rng.IntN(siteEngines))
	plain := fmt.Sprintf("plain-%d", 1+rng.IntN(sitePlains))
	links := []string{"mesh of " + entry, "mesh of " + entry, "callers of " + entry, "platform of " + entry, "platform of " + control, "entry of " + control, "target " + engine, "target " + plain}
	switch rng.IntN(16) {
	case 0, 1:
		return fault{kind: faultKill, subject: engine}
	case 2, 3:
		return fault{kind: faultKill, subject: entry}
	case 4:
		return fault{kind: faultKill, subject: control}
	case 5:
		return fault{kind: faultFreeze, subject: pick([]string{engine, plain})}
	case 6:
		return fault{kind: faultFreeze, subject: entry}
	case 7:
		return fault{kind: faultFreeze, subject: control}
	case 8:
		return fault{kind: faultFreeze, subject: "platform"}
	case 9:
		return fault{kind: faultStop, subject: pick([]string{entry, entry, control})}
	case 10:
		return fault{kind: faultCut, subject: pick(links)}
	case 11:
		return fault{kind: faultStall, subject: pick(links)}
	case 12, 13:
		return fault{kind: faultPlatform, order: pick(platformOrders), subject: "platform"}
	case 14:
		return fault{kind: faultEngine, order: pick(engineOrders), subject: engine}
	}
	return fault{kind: faultPlain, order: pick(plainOrders), subject: plain}
}
