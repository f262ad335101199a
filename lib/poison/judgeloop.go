package poison

import (
	"context"
	"time"
)

// minJudgeInterval is the least time between two judgements.
const minJudgeInterval = 50 * time.Millisecond

// JudgeUntilDone judges reported deaths once their reports have settled, until ctx is done.
func (t *SegmentTable) JudgeUntilDone(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.pending:
		}
		for again := t.Judge(time.Now()); !again.IsZero(); again = t.Judge(time.Now()) {
			select {
			case <-ctx.Done():
				return
			case <-time.After(max(minJudgeInterval, time.Until(again))):
			}
		}
	}
}
