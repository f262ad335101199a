package loadgen

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/workload"
)

func mix(seed uint64) Mix {
	return Mix{
		Workload: Scale(workload.Kelburn(), 0.5, 0.1), Span: 20 * time.Second, Entries: 3, Seed: seed,
		PlainRate: 5, PlainRoute: "/dispatch",
	}
}

func TestPlanIsDeterminedBySeed(t *testing.T) {
	a, b, c := Plan(mix(1)), Plan(mix(1)), Plan(mix(2))
	must.Eq(t, a, b)
	must.NotEq(t, a, c)
}

func TestPlanIsSortedAndUsesAllEntries(t *testing.T) {
	entries := map[int]int{}
	plain, last := 0, time.Duration(0)
	for _, a := range Plan(mix(1)) {
		must.GreaterEq(t, last, a.At)
		last = a.At
		entries[a.Entry]++
		if a.Plain() {
			plain++
		}
	}
	must.MapLen(t, 3, entries)
	must.Between(t, 50, plain, 150) // 5 per second for 20 s
}

func TestScaleDoesNotModifyItsInput(t *testing.T) {
	m := workload.Kelburn()
	before, backlog := m.Workspaces[0].Length, m.Classes[1].Backlog
	s := Scale(m, 0.5, 0.1)
	must.Eq(t, before, m.Workspaces[0].Length)
	must.Positive(t, backlog)
	must.Eq(t, backlog/2, s.Classes[1].Backlog)
	must.Positive(t, m.Classes[1].Flood)
	must.Eq(t, m.Classes[1].Flood/2, s.Classes[1].Flood)
	must.Eq(t, 800, s.MaxTokens)
}

func completeAnswer(n int) (Arrival, string, caller.Result) {
	a := Arrival{ID: "load-1", Prompt: "p", Tokens: n}
	gen := ids.From(1, 2).String()
	return a, engine.Answer(a.Prompt, gen, n), caller.Result{Done: true, Tokens: n, Generation: gen}
}

// The check must reject answers with swapped, duplicated, missing or foreign tokens.
func TestCheckGenerationRejectsWrongAnswers(t *testing.T) {
	a, text, res := completeAnswer(5)
	must.Eq(t, "", checkGeneration(a, text, res, nil))
	tokens := strings.Fields(text)
	wrong := map[string][]string{
		"swapped": {tokens[0], tokens[2], tokens[1], tokens[3], tokens[4]},
		"doubled": {tokens[0], tokens[0], tokens[1], tokens[2], tokens[3]},
		"short":   tokens[:4],
		"foreign": {tokens[0], strings.TrimSpace(engine.TokenText("other", res.Generation, 1)), tokens[2], tokens[3], tokens[4]},
	}
	for name, list := range wrong {
		must.NotEq(t, "", checkGeneration(a, " "+strings.Join(list, " "), res, nil), must.Sprint(name))
	}
	must.NotEq(t, "", checkGeneration(a, text, res, caller.ErrOrder))
	res.Done = false
	must.Eq(t, "", checkGeneration(a, " "+strings.Join(tokens[:3], " "), res, caller.ErrTruncated)) // the caller detects the truncation
}

func outcome(code result.Code, complete bool, gaps ...time.Duration) Outcome {
	at := time.Unix(100, 0)
	o := Outcome{Workspace: "w", Class: "c", Sent: at, Code: code, Complete: complete}
	for _, g := range gaps {
		at = at.Add(g)
		o.Tokens = append(o.Tokens, at)
	}
	o.Ended = at
	return o
}

func TestStatsCountOutcomesAndStalls(t *testing.T) {
	s := NewStats(time.Second)
	s.Add(outcome(result.OK, true, 100*time.Millisecond, 20*time.Millisecond, 3*time.Second, 2*time.Second))
	s.Add(outcome(result.QueueFull, false))
	s.Add(outcome(result.TargetFailed, false))
	s.Add(outcome(0, false))
	var out bytes.Buffer
	s.Print(&out, 7, time.Second)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	last := lines[len(lines)-1]
	for _, want := range []string{
		"load: seed=7", "sent=4", "whole=1", "refused=1", "failed=1", "unknown=1", "tokens=4", "ttft_p50_ms=100.", "stall_max_ms=300", "wrong=0",
	} {
		must.StrContains(t, last, want)
	}
}
