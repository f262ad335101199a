package invariant

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A violation is counted, passed to the hook and returned, so that the affected request can be stopped.
func TestViolationIsCountedAndReported(t *testing.T) {
	var reported []string
	SetHook(func(name, detail string) { reported = append(reported, name+": "+detail) })
	t.Cleanup(func() { SetHook(nil) })
	must.NoError(t, Check(true, "test_rule", "never %d", 1))
	err := Check(false, "test_rule", "index %d after %d", 7, 5)
	must.ErrorIs(t, err, ErrBroken)
	must.ErrorContains(t, err, "index 7 after 5")
	must.Eq(t, []string{"test_rule: index 7 after 5"}, reported)
	must.Eq(t, 1, Count("test_rule"))
}
