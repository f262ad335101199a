package replay

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// withAndWithout simulates a pattern with and without the forecast of room, with the same seeds.
func withAndWithout(t *testing.T, name string, p Pattern) (with, without Tally) {
	t.Helper()
	for seed := range uint64(4) {
		with.Add(Simulate(p, Policies["owners"], seed+1))
		without.Add(Simulate(p, Policies["no-forecast"], seed+1))
	}
	for label, got := range map[string]Tally{"with": with, "without": without} {
		t.Logf("%s %s: in time %.4f, served %.4f, refused at once %.3f, %.2f s to refusal, retries that found room %.3f",
			name, label, got.Share(), got.served(), ratio(got.Refusals.AtOnce, got.Retried), got.refusalTime(), got.roomShare())
	}
	return with, without
}

// There is less room than streams need for seconds, and callers come back. Refusing at once what waits in vain must cost no stream its
// start, and refusals must come sooner.
func TestRefusedSoonerAndNoFewerServed(t *testing.T) {
	for name, p := range map[string]Pattern{"bursts": Bursts(), "hurried": ShortTimeouts()} {
		p.Duration = 40 * time.Second
		with, without := withAndWithout(t, name, p)
		must.Greater(t, without.Share()-0.01, with.Share(), must.Sprint(name))
		must.Greater(t, without.served()-0.005, with.served(), must.Sprint(name))
		must.Less(t, 0.95*without.refusalTime(), with.refusalTime(), must.Sprint(name))
		must.Positive(t, with.Refusals.AtOnce, must.Sprint(name))
	}
}

// Engines have room for all streams. The forecast must change nothing.
func TestForecastChangesNothingWithoutShortage(t *testing.T) {
	p := Saturated()
	p.LeaveEvery, p.LongRate, p.ShortRate, p.Duration = 0, 5, 6, 10*time.Second
	must.Eq(t, Simulate(p, Policies["no-forecast"], 1), Simulate(p, Policies["owners"], 1))
}
