package gatewayproc

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/feed"
)

// A version's last target leaves. The version must stay in its service's row as long as a stream that it began may live, and no longer: until
// then a stream that nobody knows may be of it.
func TestVersionStaysInRowAfterItsLastTarget(t *testing.T) {
	s := newSoftware()
	t0 := time.Now()
	s.observe(t0, "llm", 1)
	rows := s.merge(t0, map[string]softwareRow{}, feed.FirstEra)
	must.Eq(t, []uint64{1}, rows["llm"].Versions)
	must.Eq(t, 0, rows["llm"].DoubtedMS)
	must.MapEmpty(t, s.merge(t0, rows, feed.FirstEra))
	must.False(t, s.isMixed(t0, "llm"))

	s.observe(t0.Add(time.Second), "llm", 2)
	rows = s.merge(t0.Add(time.Second), rows, feed.FirstEra)
	must.Eq(t, []uint64{1, 2}, rows["llm"].Versions)
	must.True(t, s.isMixed(t0.Add(time.Second), "llm"))

	onlyNew := func(string) []uint64 { return []uint64{2} }
	now := t0.Add(softwareRetention - time.Second)
	s.refresh(now, onlyNew)
	must.MapEmpty(t, s.sweep(now, rows))
	now = t0.Add(softwareRetention + time.Minute)
	s.refresh(now, onlyNew)
	must.False(t, s.isMixed(now, "llm"))
	must.Eq(t, []uint64{2}, s.sweep(now, rows)["llm"].Versions)
}

// An instance starts reading the store: the versions that a row names from before must stay as long as if they had just been seen.
func TestVersionsFromBeforeTheStartAreKept(t *testing.T) {
	s := newSoftware()
	t0 := time.Now()
	s.observe(t0, "llm", 2)
	rows := map[string]softwareRow{"llm": {Versions: []uint64{1, 2}, Era: feed.FirstEra}}
	must.MapEmpty(t, s.sweep(t0, rows))
	must.MapEmpty(t, s.sweep(t0.Add(softwareRetention), rows))
	later := t0.Add(softwareRetention + time.Second)
	s.refresh(later, func(string) []uint64 { return []uint64{2} })
	must.Eq(t, []uint64{2}, s.sweep(later, rows)["llm"].Versions)
}

// The store was restored from a copy, which may lack the newest version. Its rows must not be trusted until no stream from before lives.
func TestRowIsDoubtedAfterRestore(t *testing.T) {
	s := newSoftware()
	now := time.Now()
	s.observe(now, "llm", 1)
	for name, rows := range map[string]map[string]softwareRow{
		"row of an earlier era": {"llm": {Versions: []uint64{1}, Era: feed.FirstEra}},
		"row lost":              {},
	} {
		got := s.merge(now, rows, feed.FirstEra+1)["llm"]
		must.Eq(t, feed.FirstEra+1, got.Era, must.Sprint(name))
		must.Eq(t, now.Add(restoreDoubt).UnixMilli(), got.DoubtedMS, must.Sprint(name))
	}
}

// Guards against an instance that holds a subset of the targets, with one version, and goes on recording its streams in memory alone although their
// service has several: a peer with all targets tells it.
func TestSubsetLearnsThatServiceIsMixed(t *testing.T) {
	s := newSoftware()
	now := time.Now()
	must.False(t, s.observe(now, "llm", 1))
	must.False(t, s.recordReport(now, "llm", false))
	must.False(t, s.anyMixed(now))
	must.False(t, s.mayBeMixed(now, 1))
	must.True(t, s.recordReport(now, "llm", true))
	must.False(t, s.recordReport(now, "llm", true))
	must.True(t, s.isMixed(now.Add(2*softwareRetention), "llm"))
	must.True(t, s.anyMixed(now))
	must.True(t, s.mayBeMixed(now, 1))
	must.True(t, s.mayBeMixed(now, 99)) // its service is not known
	s.forgetReported()
	must.False(t, s.isMixed(now, "llm"))
	must.True(t, s.observe(now, "llm", 2))
	must.False(t, s.observe(now, "llm", 3))
}

// Guards against a service of one version that counts as mixed because a stream began at an engine which could not be asked for its incarnation.
func TestUnknownVersionLeavesServiceUnmixed(t *testing.T) {
	s := newSoftware()
	now := time.Now()
	must.False(t, s.observe(now, "llm", 1))
	must.False(t, s.observe(now, "llm", 0))
	must.False(t, s.isMixed(now, "llm"))
	must.Eq(t, []uint64{1}, s.merge(now, map[string]softwareRow{}, feed.FirstEra)["llm"].Versions)
}
