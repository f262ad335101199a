package replay

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Engines are of two speeds and slowed down for moments. Placed by memory alone, nearly a third of the long streams meets a prompt on a slow
// engine during such a moment and has a pause beyond the objective. Owners must place them so that this falls to well under half, without
// more refusals or later first events.
func TestLongStreamsAvoidLongPauses(t *testing.T) {
	without := simulate(t, "no pauses", Uneven(), Policy{IgnorePauses: true})
	with := simulate(t, "owners", Uneven(), Policy{})
	must.Between(t, 0.25, without.PauseShare(), 0.35)
	must.Less(t, 0.48*without.PauseShare(), with.PauseShare())
	must.LessEq(t, without.Refused, with.Refused)
	must.LessEq(t, without.Late, with.Late)
	must.Greater(t, without.Share()-0.003, with.Share())
	must.LessEq(t, without.ShortPauseLate, with.ShortPauseLate)
}

// Engines are equal and undisturbed, and keep the objective for pauses at any time. The results must be as without the cost.
func TestEqualEnginesArePlacedAsBefore(t *testing.T) {
	without := simulate(t, "no pauses", EqualEngines(), Policy{IgnorePauses: true})
	with := simulate(t, "owners", EqualEngines(), Policy{})
	must.Eq(t, 0, with.PauseLate)
	must.Eq(t, without.Refused, with.Refused)
	must.InDelta(t, without.Share(), with.Share(), 0.002)
	must.InDelta(t, without.WorkShare(), with.WorkShare(), 0.002)
}
