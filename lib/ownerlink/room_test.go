package ownerlink

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/owner"
)

// Operators see by cause why streams are refused; an answer that is sent again carries no cause and is not counted twice.
func TestRefusalsAreCountedByCause(t *testing.T) {
	before := refusals[owner.Forecast].Get()
	countRoom(&owner.Answer{Action: admit.RetryLater, Cause: owner.Forecast})
	countRoom(&owner.Answer{Action: admit.RetryLater})
	countRoom(&owner.Answer{Action: admit.Admit, Returned: true, RoomError: -time.Second})
	must.Eq(t, before+1, refusals[owner.Forecast].Get())
}
