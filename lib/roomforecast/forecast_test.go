package roomforecast

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	memory    = 10_000
	tokenTime = 10 * time.Millisecond
	hint      = 300
)

// trained returns the estimates after outputs that were factor times as long as their hints, within a tenth.
func trained(factor float64) *Lengths {
	l := NewLengths()
	for i := range 400 {
		total := int(float64(hint) * factor * (0.9 + 0.2*float64(i%10)/9))
		for at := 0; at < total; at += 20 {
			l.Progress(hint, at, min(at+20, total))
		}
		l.End(hint, total)
	}
	return l
}

// full returns an engine whose only run leaves no room until it ends.
func full(output int) Engine {
	return Engine{Memory: memory, TokenTime: tokenTime, Runs: []Run{{Held: 9000, Output: output, Hint: hint}}}
}

func timeOf(t *testing.T, f *Forecast, s Stream, d *Demand, c Confidence) time.Duration {
	t.Helper()
	at, ok := f.Time(&s, d, c)
	must.True(t, ok)
	return at
}

// An engine is full until its run ends. Room is forecast for about that time: 200 further tokens at 10 ms.
func TestRoomComesWhenRunEnds(t *testing.T) {
	f := New([]Engine{full(100)}, 0, trained(1))
	got := timeOf(t, f, Stream{Tokens: 2000}, new(Demand), Even)
	must.Between(t, 1500*time.Millisecond, got, 2500*time.Millisecond)
	must.Eq(t, 0, timeOf(t, f, Stream{Tokens: 500}, new(Demand), Even))
}

// Outputs are three times as long as their hints, or a third. The forecast follows what was observed, not the hints.
func TestHintsOffByThree(t *testing.T) {
	for factor, want := range map[float64]time.Duration{3: 9 * time.Second, 1.0 / 3: time.Second} {
		f := New([]Engine{full(0)}, 0, trained(factor))
		got := timeOf(t, f, Stream{Tokens: 2000}, new(Demand), Even)
		must.Between(t, want*7/10, got, want*13/10, must.Sprint(factor))
	}
}

// Streams wait ahead, long and short ones. Each long one takes the room of an engine; short ones are over by the time.
func TestDemandTakesRoomFirst(t *testing.T) {
	f := New([]Engine{full(200), full(0)}, 0, trained(1))
	s := Stream{Tokens: 6000, Lasts: time.Minute}
	first := timeOf(t, f, s, new(Demand), Even)
	long, short := new(Demand), new(Demand)
	long.AddWaiting(&s)
	short.AddWaiting(&Stream{Tokens: 6000, Lasts: 50 * time.Millisecond})
	must.Greater(t, first+time.Second, timeOf(t, f, s, long, Even))
	must.Less(t, first+500*time.Millisecond, timeOf(t, f, s, short, Even))
	both := *long
	both.AddWaiting(&s)
	_, ok := f.Time(&s, &both, Likely)
	must.False(t, ok)
}

// Memory is free, but a prompt of 3 s is pending on the only engine. There is no room for a stream that must be prefilled within 1 s until
// two thirds of that are done.
func TestPendingPromptsLimitRoom(t *testing.T) {
	e := Engine{Memory: memory, TokenTime: tokenTime, Unread: 3000}
	f := New([]Engine{e}, time.Millisecond, NewLengths())
	s := Stream{Tokens: 500, Unread: 500, Budget: func(time.Duration) time.Duration { return time.Second }}
	must.Between(t, 2200*time.Millisecond, timeOf(t, f, s, new(Demand), Even), 2800*time.Millisecond)
	s.Budget = nil
	must.Eq(t, 0, timeOf(t, f, s, new(Demand), Even))
}

// Nothing is known of how fast an engine works, or there is none: no forecast is made.
func TestNoForecastWithoutData(t *testing.T) {
	must.Nil(t, New(nil, 0, NewLengths()))
	e := full(0)
	e.TokenTime = 0
	must.Nil(t, New([]Engine{e}, 0, NewLengths()))
	e.TokenTime, e.Memory = tokenTime, 0
	must.Nil(t, New([]Engine{e}, 0, NewLengths()))
}

// For any engines, more confidence and more demand never make room come sooner.
func TestConfidenceAndDemandOnlyDelay(t *testing.T) {
	lengths := trained(1)
	rapid.Check(t, func(t *rapid.T) {
		var engines []Engine
		for range rapid.IntRange(1, 6).Draw(t, "engines") {
			e := Engine{Memory: memory, TokenTime: tokenTime, Unread: rapid.IntRange(0, 5000).Draw(t, "unread")}
			for range rapid.IntRange(0, 5).Draw(t, "runs") {
				e.Runs = append(e.Runs, Run{
					Held: rapid.IntRange(0, 4000).Draw(t, "held"), Output: rapid.IntRange(0, 900).Draw(t, "output"),
					Hint: rapid.IntRange(0, 2000).Draw(t, "hint"),
				})
			}
			engines = append(engines, e)
		}
		f := New(engines, time.Millisecond/10, lengths)
		s := Stream{Tokens: rapid.IntRange(1, memory).Draw(t, "tokens"), Unread: 1000}
		s.Budget = func(time.Duration) time.Duration { return time.Second }
		demand := new(Demand)
		last := time.Duration(0)
		for _, c := range []Confidence{Fast, Even, Likely} {
			at, ok := f.Time(&s, demand, c)
			if !ok {
				at = Horizon + 1
			}
			must.GreaterEq(t, last, at)
			last = at
		}
		demand.AddWaiting(&s)
		at, ok := f.Time(&s, demand, Likely)
		must.True(t, !ok || at >= last)
	})
}
