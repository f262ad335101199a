package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/ids"
)

// small returns an engine whose memory is exhausted by three sequences.
func small() Config {
	c := Default()
	c.KVTokens = 300
	c.CacheTokens = 0
	c.MaxBatch = 8
	return c
}

func gen(n uint64) ids.Generation { return ids.From(7, n) }

// drain steps the engine until it is idle and returns all events.
func drain(t rapid.TB, e *Engine) ([]Event, time.Duration) {
	var evs []Event
	now := time.Duration(0)
	for range 1_000_000 {
		at, busy := e.Next()
		if !busy {
			return evs, now
		}
		now = at
		evs = e.Step(now, evs)
	}
	t.Fatalf("the engine never became idle")
	return nil, 0
}

func count(evs []Event, k EventKind) (n int) {
	for _, ev := range evs {
		if ev.Kind == k {
			n++
		}
	}
	return n
}

func TestEngineDecodesOneTokenAStep(t *testing.T) {
	e := New(small())
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Attempt: 1, Prompt: 10, Length: 5}))
	evs, _ := drain(t, e)
	must.Eq(t, 6, len(evs))
	for i := range 5 {
		must.Eq(t, Event{Kind: EvToken, Gen: gen(1), Attempt: 1, Index: i}, evs[i])
	}
	must.Eq(t, EvFinished, evs[5].Kind)
	test.Eq(t, 0, e.kvUsed)
}

func TestEngineResumesAtIndex(t *testing.T) {
	e := New(small())
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Attempt: 2, Prompt: 10, Emitted: 3, Length: 5}))
	evs, _ := drain(t, e)
	must.Eq(t, 3, evs[0].Index)
	must.Eq(t, 3, len(evs))
}

func TestStepTimeGrowsWithBatchAndContext(t *testing.T) {
	one, many := New(Default()), New(Default())
	must.NoError(t, one.Add(0, Seq{Gen: gen(1), Prompt: 100, Length: 100}))
	for i := range uint64(20) {
		must.NoError(t, many.Add(0, Seq{Gen: gen(i), Prompt: 100, Length: 100}))
	}
	_, single := drain(t, one)
	_, full := drain(t, many)
	must.Greater(t, single, full)
}

// Three sequences exhaust the memory while they decode. At the step that would not fit, the engine must preempt, among those
// of lowest priority, the latest arrival; its stream pauses and resumes at the same index once memory is free, because the
// engine keeps the emitted tokens and prefills them again.
func TestFullMemoryPreemptsLatestOfLowestPriority(t *testing.T) {
	e := New(small())
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Priority: 1, Prompt: 80, Length: 60}))
	must.NoError(t, e.Add(0, Seq{Gen: gen(2), Priority: 0, Prompt: 80, Length: 60}))
	must.NoError(t, e.Add(0, Seq{Gen: gen(3), Priority: 0, Prompt: 80, Length: 60}))
	evs, _ := drain(t, e)
	must.Eq(t, 3, count(evs, EvFinished))
	must.Eq(t, 180, count(evs, EvToken))
	must.Positive(t, count(evs, EvPreempted))
	for _, ev := range evs {
		if ev.Kind == EvPreempted {
			must.Eq(t, gen(3), ev.Gen)
		}
	}
}

func TestDropPreemptedRemovesSequence(t *testing.T) {
	c := small()
	c.DropPreempted = true
	e := New(c)
	for i := range uint64(3) {
		must.NoError(t, e.Add(0, Seq{Gen: gen(i), Prompt: 80, Length: 60}))
	}
	evs, _ := drain(t, e)
	must.Eq(t, 1, count(evs, EvDropped))
	must.Eq(t, 2, count(evs, EvFinished))
}

func TestWaitingQueueIsOrderedByPriority(t *testing.T) {
	c := small()
	c.MaxBatch = 1
	e := New(c)
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Prompt: 10, Length: 3}))
	must.NoError(t, e.Add(0, Seq{Gen: gen(2), Prompt: 10, Length: 3}))
	must.NoError(t, e.Add(0, Seq{Gen: gen(3), Priority: 5, Prompt: 10, Length: 3}))
	evs, _ := drain(t, e)
	var order []ids.Generation
	for _, ev := range evs {
		if ev.Kind == EvFinished {
			order = append(order, ev.Gen)
		}
	}
	must.Eq(t, []ids.Generation{gen(1), gen(3), gen(2)}, order)
}

func TestAddRefusesOversizedOrWhenLeaving(t *testing.T) {
	e := New(small())
	must.ErrorIs(t, e.Add(0, Seq{Prompt: 200, Length: 200}), ErrTooLarge)
	e.SetLeaving(true)
	must.ErrorIs(t, e.Add(0, Seq{Prompt: 1, Length: 1}), ErrLeaving)
}

func TestCancelFreesMemoryAtOnce(t *testing.T) {
	e := New(small())
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Attempt: 1, Prompt: 50, Length: 100}))
	known, ran := e.Cancel(0, gen(1), 1)
	must.True(t, known)
	must.True(t, ran)
	must.Eq(t, 0, e.kvUsed)
	known, _ = e.Cancel(0, gen(1), 1)
	must.False(t, known)
}

func TestReportsLagAndFreeze(t *testing.T) {
	c := small()
	e := New(c)
	must.NoError(t, e.Add(0, Seq{Gen: gen(1), Prompt: 10, Length: 200}))
	must.Eq(t, 0, e.Report(0).Running)
	first := e.Report(c.ReportLag)
	second := e.Report(2 * c.ReportLag)
	must.Greater(t, first.Seq, second.Seq)
	must.Eq(t, 1, second.Running)
	must.GreaterEq(t, c.ReportLag/2, 2*c.ReportLag-second.At)
	e.FreezeReports(true)
	must.Eq(t, second, e.Report(9*c.ReportLag))
}

func TestCacheEventsAreDelayedAndLost(t *testing.T) {
	c := Default()
	c.CacheTokens = 600
	c.CacheEventGap = 3
	e := New(c)
	for i := range uint64(40) {
		ps := []Prefix{{Hash: i, Tokens: 64}, {Hash: 1000 + i, Tokens: 128}}
		must.NoError(t, e.Add(0, Seq{Gen: gen(i), Prompt: 200, Length: 2, Prefixes: ps}))
	}
	_, end := drain(t, e)
	evs := e.CacheEvents(end+c.CacheEventLag, 0)
	must.SliceNotEmpty(t, evs)
	must.Less(t, int(evs[len(evs)-1].Seq), len(evs))
	must.SliceEmpty(t, e.CacheEvents(evs[0].At, 0))
	_, held := e.CacheSnapshot()
	must.SliceNotEmpty(t, held)
	must.LessEq(t, c.CacheTokens, e.cache.used)
}

// With arbitrary additions and cancellations, memory is never oversubscribed, each token is emitted once and in order, and
// every sequence that was not cancelled finishes.
func TestEngineInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := small()
		c.KVTokens = rapid.IntRange(150, 600).Draw(rt, "kv")
		c.PrefillChunk = rapid.IntRange(1, 64).Draw(rt, "chunk")
		e := New(c)
		next := map[ids.Generation]int{}
		left := map[ids.Generation]bool{}
		now := time.Duration(0)
		check := func(evs []Event) {
			for _, ev := range evs {
				switch ev.Kind {
				case EvToken:
					must.Eq(rt, next[ev.Gen], ev.Index)
					next[ev.Gen]++
				case EvFinished:
					delete(left, ev.Gen)
				}
			}
			must.LessEq(rt, c.KVTokens, e.kvUsed)
		}
		for i := range uint64(30) {
			s := Seq{
				Gen:      gen(i),
				Attempt:  1,
				Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
				Prompt:   rapid.IntRange(1, 80).Draw(rt, "prompt"),
				Length:   rapid.IntRange(1, 60).Draw(rt, "length"),
			}
			must.NoError(rt, e.Add(now, s))
			left[s.Gen] = true
			for range rapid.IntRange(0, 5).Draw(rt, "steps") {
				if at, busy := e.Next(); busy {
					now = at
					check(e.Step(now, nil))
				}
			}
			if victim := gen(rapid.Uint64Range(0, i).Draw(rt, "victim")); rapid.IntRange(0, 4).Draw(rt, "cancel") == 0 {
				e.Cancel(now, victim, 1)
				delete(left, victim)
			}
		}
		evs, _ := drain(rt, e)
		check(evs)
		must.MapEmpty(rt, left)
		must.Eq(rt, 0, e.kvUsed)
	})
}
