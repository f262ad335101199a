package resume

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func everyVersion(uint64) bool { return true }

// storeHeldEverywhere has all instances write what they hold, as when they see a second version, and waits until it is written.
func (s *site) storeHeldEverywhere(mixed func(uint64) bool) {
	for _, in := range s.list {
		s.recorders[in.Name].StoreHeld(mixed)
	}
	time.Sleep(time.Second)
}

// stored returns the number of writes so far, and of the records in all rows.
func (s *site) stored(t *testing.T) (writes, records int) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows {
		list, err := decodeEntries(row.Value)
		must.NoError(t, err)
		records += len(list)
	}
	return s.writes, records
}

func (s *site) restartAll(ctx context.Context) {
	for _, in := range s.list {
		s.restart(ctx, in.Name)
	}
}

// Guards against the loss of streams that began before their service had a second version, when all instances die after it has appeared. The
// instance that began some of them has been replaced in between.
func TestHeldRecordsAreStoredWhenTheServiceIsMixed(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(20) {
			s.recorders["i0"].Record(entry(key), false)
			s.recorders["i4"].Record(entry(100+key), false)
		}
		s.restart(ctx, "i0")
		s.storeHeldEverywhere(everyVersion)
		s.restartAll(ctx)
		for key := range uint64(20) {
			must.Eq(t, 7, s.recorders["i7"].Find(ctx, key, "s").Software)
			must.Eq(t, 7, s.recorders["i7"].Find(ctx, 100+key, "s").Software)
		}
	})
}

// Guards against a burst that is written again each time: a record is written once by the keepers of each failure domain, and only for mixed
// services.
func TestHeldRecordsAreStoredOnce(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(20) {
			s.recorders["i0"].Record(entry(key), false)
		}
		s.storeHeldEverywhere(func(software uint64) bool { return software != 7 })
		_, records := s.stored(t)
		must.Eq(t, 0, records)
		s.storeHeldEverywhere(everyVersion)
		writes, records := s.stored(t)
		must.Between(t, 1, writes, 6)
		must.Between(t, 20, records, 60)
		s.storeHeldEverywhere(everyVersion)
		s.recorders["i0"].Record(entry(50), true)
		s.storeHeldEverywhere(everyVersion)
		again, _ := s.stored(t)
		must.LessEq(t, writes+1, again)
	})
}

// Guards against records that a restore of the store from a copy has lost, while the streams are still open.
func TestRecordsAreStoredAgainAfterARestore(t *testing.T) {
	run(t, func(ctx context.Context, s *site) {
		for key := range uint64(20) {
			s.recorders["i0"].Record(entry(key), true)
		}
		time.Sleep(time.Second)
		s.mu.Lock()
		clear(s.rows)
		s.mu.Unlock()
		for _, in := range s.list {
			s.recorders[in.Name].StoreAgain()
		}
		s.storeHeldEverywhere(everyVersion)
		s.restartAll(ctx)
		for key := range uint64(20) {
			must.Eq(t, 7, s.recorders["i7"].Find(ctx, key, "s").Software)
		}
	})
}
