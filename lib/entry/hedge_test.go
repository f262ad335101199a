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
func TestSentCallFailureTakesPrecedence(t *testing.T) {
	sent := &hedgedCall{err: errors.New("broken")}
	unsent := &hedgedCall{err: fmt.Errorf("%w: refused", target.ErrNotSent)}
	must.True(t, unsent == moreSevere(nil, unsent))
	must.True(t, sent == moreSevere(unsent, sent))
	must.True(t, sent == moreSevere(sent, unsent))
}
