package era

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A response without an era, or with an invalid one, begins no era; a lower one does not change the highest.
func TestOnlyHigherNumberBeginsEra(t *testing.T) {
	var s Tracker
	sent := []string{"", "1", "", "x", "-4", "0", "3", "2", "99999999999999999999", ""}
	want := []int64{0, 1, 1, 1, 1, 1, 3, 2, 3, 3}
	for i, text := range sent {
		must.Eq(t, want[i], s.Observe(text), must.Sprint(i))
	}
	must.Eq(t, 3, s.Highest())
}
