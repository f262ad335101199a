package guardlink

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/poison"
)

// Engines die under runs of different entries. Each entry must get all reports and come to the verdict.
func TestSegmentRecordsReachAllEntries(t *testing.T) {
	procs := startAll(t, 3, limit.DefaultConfig)
	for _, p := range procs {
		p.segs.Begin(time.Now(), "s", "m", []uint64{1}, func() {}).Survive(time.Now())
		go p.segs.JudgeUntilDone(t.Context())
	}
	for i, p := range procs {
		run := p.segs.Begin(time.Now(), "s", "m", []uint64{1, 66}, func() {})
		run.EngineDied(time.Now(), poison.Death{ID: uint64(i + 1), Address: uint64(i + 1)})
		time.Sleep(2 * poison.DefaultSegmentConfig.BurstSpan)
	}
	refused := func(p *process) bool { return p.segs.Check(time.Now(), "s", "m", []uint64{66}).Refused }
	eventually(t, "all entries refuse the prefix", func() bool { return refused(procs[0]) && refused(procs[1]) && refused(procs[2]) })
	must.False(t, procs[0].segs.Check(time.Now(), "s", "m", []uint64{1}).Refused)
}
