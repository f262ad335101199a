package invariant

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A breach is counted, told to the hook and returned, so that the one request concerned can be stopped.
func TestBreach(t *testing.T) {
	var told []string
	SetHook(func(name, detail string) { told = append(told, name+": "+detail) })
	t.Cleanup(func() { SetHook(nil) })
	must.NoError(t, Check(true, "test_rule", "never %d", 1))
	err := Check(false, "test_rule", "index %d after %d", 7, 5)
	must.ErrorIs(t, err, ErrBroken)
	must.ErrorContains(t, err, "index 7 after 5")
	must.Eq(t, []string{"test_rule: index 7 after 5"}, told)
	must.Eq(t, 1, Count("test_rule"))
}
