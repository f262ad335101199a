package gatewayproc

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against refusing a caller that resumes a stream of a service whose first targets have just been listed: the row of its software
// versions is written a moment later.
func TestRowOfNewServiceIsAwaited(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	reads := 0
	version, ok, err := awaitRow(ctx, func() (uint64, bool, error) {
		if reads++; reads < 3 {
			return 0, false, fmt.Errorf("%w: service chat", errNoRow)
		}
		return 7, true, nil
	})
	must.NoError(t, err)
	must.True(t, ok)
	must.Eq(t, 7, version)
	must.Eq(t, 3, reads)
}

// Guards against a wait without end for a row that nobody writes, and against one for a store that does not answer.
func TestMissingRowIsNotAwaitedForever(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*softwareReread)
	defer cancel()
	_, ok, err := awaitRow(ctx, func() (uint64, bool, error) { return 0, false, errNoRow })
	must.ErrorIs(t, err, errNoRow)
	must.False(t, ok)

	failure := errors.New("store away")
	reads := 0
	_, _, err = awaitRow(context.Background(), func() (uint64, bool, error) { reads++; return 0, false, failure })
	must.ErrorIs(t, err, failure)
	must.Eq(t, 1, reads)
}
