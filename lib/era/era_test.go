package era

import (
	"testing"

	"github.com/shoenig/test/must"
)

// An answer without an era, or with one that can't be read, begins none; a lower one is not taken for the highest.
func TestOnlyAHigherNumberBeginsAnEra(t *testing.T) {
	var s Tracker
	told := []string{"", "1", "", "x", "-4", "0", "3", "2", "99999999999999999999", ""}
	want := []int64{0, 1, 1, 1, 1, 1, 3, 2, 3, 3}
	for i, text := range told {
		must.Eq(t, want[i], s.Observe(text), must.Sprint(i))
	}
	must.Eq(t, 3, s.Highest())
}
