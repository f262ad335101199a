package entry

import (
	"errors"
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/target"
)

// Both calls of a hedged request fail, the later one without a byte sent. If only that failure were reported, the caller
// would be told "not run" although the other target may have run the call.
func TestFailureOfASentCallCountsMore(t *testing.T) {
	sent := &sending{err: errors.New("broken")}
	unsent := &sending{err: fmt.Errorf("%w: refused", target.ErrNotSent)}
	must.True(t, unsent == graver(nil, unsent))
	must.True(t, sent == graver(unsent, sent))
	must.True(t, sent == graver(sent, unsent))
}
