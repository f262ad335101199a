package prove

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Size of the site of a run.
const (
	siteEngines = 4
	sitePlains  = 2
	siteEntries = 3
)

// Kinds of operation.
const (
	opStream   = "stream"   // a generation without a key
	opKeyed    = "keyed"    // a generation with a key, resumed through other entries
	opStatus   = "status"   // an idempotent plain call
	opBook     = "book"     // a non-idempotent plain call without a key
	opBookOnce = "bookonce" // a non-idempotent plain call with a key, retried and sent by two callers
	opApply    = "apply"    // two operators commit settings made from the same base revision
	opDrain    = "drain"    // an operator drains an engine for some seconds
)

// operation is one planned operation of a client or an operator.
type operation struct {
	at        time.Duration
	index     int
	kind      string
	entry     int // tried first
	tokens    int
	target    int
	duplicate bool // the same key is sent by two callers at once
}

// weights are the shares of the kinds in percent.
var weights = []struct {
	kind  string
	share int
}{{opStream, 25}, {opKeyed, 22}, {opStatus, 18}, {opBook, 10}, {opBookOnce, 16}, {opApply, 6}, {opDrain, 3}}

// drainEvery is the minimum time between two drains, so that at most one engine is without work.
const drainEvery = 9 * time.Second

// planOperations draws the operations of a run, the same for equal arguments.
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
			at: at, index: len(ops), kind: drawKind(rng), entry: rng.IntN(siteEntries),
			tokens: 5 + int(rng.ExpFloat64()*60), target: rng.IntN(siteEngines), duplicate: rng.IntN(2) == 0,
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
	faultKill     = "kill"   // SIGKILL, and a restart on the old addresses at the end
	faultFreeze   = "freeze" // SIGSTOP, and SIGCONT at the end
	faultStop     = "stop"   // SIGTERM, and a restart on the old addresses once the process has ended
	faultCut      = "cut_link"
	faultStall    = "stall_link"
	faultPlatform = "platform" // simulated by the stand-in
	faultEngine   = "engine"
	faultPlain    = "plain"
)

// fault is one planned fault. Two faults whose times overlap are a pair.
type fault struct {
	at          time.Duration
	span        time.Duration
	kind        string
	standinKind string // for stand-ins: which of their faults
	subject     string // process or link
	pair        bool   // begins while another fault is active
}

func (f fault) name() string {
	if f.standinKind != "" {
		return f.kind + "_" + f.standinKind
	}
	return f.kind + "_" + subjectKind(f.subject)
}

func (f fault) String() string {
	return fmt.Sprintf("at=%v span=%v fault=%s subject=%q", f.at.Round(time.Millisecond), f.span.Round(time.Millisecond), f.name(), f.subject)
}

// subjectKind returns the kind of a subject: its name without the number.
func subjectKind(subject string) string {
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
	faultMin     = 300 * time.Millisecond
	faultMax     = 4500 * time.Millisecond // longer than the leases' TTL
	gapMin       = 400 * time.Millisecond
	gapMax       = 1800 * time.Millisecond
	recoveryTime = 3 * time.Second // without another fault of the same subject
)

// maxDraws bounds how often a fault that is too close to another one is drawn again.
const maxDraws = 8

// planFaults draws the faults of a run, the same for equal arguments, with at most maxFaults active at any time.
func planFaults(seed uint64, span time.Duration, maxFaults int) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var out []fault
	for at := gapMin; at < span; at += gapMin + randDuration(rng, gapMax-gapMin) {
		for range maxDraws {
			f := drawFault(rng)
			f.at, f.span = at, faultMin+randDuration(rng, faultMax-faultMin)
			if f.at+f.span < span && allowed(out, f, maxFaults) {
				f.pair = len(active(out, f)) > 0
				out = append(out, f)
				break
			}
		}
	}
	return out
}

func randDuration(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(d)))
}

func active(all []fault, f fault) []fault {
	var out []fault
	for _, o := range all {
		if o.at+o.span > f.at {
			out = append(out, o)
		}
	}
	return out
}

// tooClose reports whether f would start before the subject of earlier has recovered.
func tooClose(earlier, f fault) bool {
	return earlier.subject == f.subject && earlier.at+earlier.span+recoveryTime > f.at
}

// affectsEntry reports whether faults of the subject affect the callers of an entry.
func affectsEntry(subject string) bool {
	return subjectKind(subject) == "entry" || subjectKind(subject) == "callers"
}

// allowed reports whether a fault may be added: at most maxFaults faults are active, and at most one fewer affect entries, so
// that callers always have an entry that works.
func allowed(all []fault, f fault, maxFaults int) bool {
	entries := 0
	for _, o := range all {
		if tooClose(o, f) {
			return false
		}
		if affectsEntry(o.subject) && o.at+o.span+recoveryTime > f.at {
			entries++
		}
	}
	if affectsEntry(f.subject) && entries >= min(maxFaults, siteEntries)-1 {
		return false
	}
	return len(active(all, f)) < maxFaults
}

var (
	platformFaults = []string{"outage", "slow", "lose_answer", "stale_reads", "list_lag"}
	engineFaults   = []string{"stall", "cut", "repeat", "slow", "freeze"}
	plainFaults    = []string{"cut_before", "cut_after", "cut_body", "hang", "delay", "error"}
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
		return fault{kind: faultPlatform, standinKind: pick(platformFaults), subject: "platform"}
	case 14:
		return fault{kind: faultEngine, standinKind: pick(engineFaults), subject: engine}
	}
	return fault{kind: faultPlain, standinKind: pick(plainFaults), subject: plain}
}
