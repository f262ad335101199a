package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/result"
	standin "anvilwick.example/anvilwick/lib/standin/platform"
)

func sentBy(t *testing.T, tab *Table, attempt uint32) Request {
	t.Helper()
	req := request("x")
	c := mustBegin(t, tab, req)
	must.Nil(t, c.MarkSent(t.Context(), "engine-1", attempt))
	req.Owner = tab.cfg.Holder
	return req
}

// An entry is frozen while its claim is taken over, resumes, and ends its run. Its outcome must not replace that of the entry that took
// over: that one may still be running, and a third entry would consider the key settled.
func TestFormerHolderCannotSettleTakenOverClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		a, b, c := entry(s, "a"), entry(s, "b"), entry(s, "c")
		req := request("x")
		req.Owner = a.cfg.Holder
		frozen := mustBegin(t, a, req)
		must.Nil(t, frozen.MarkSent(t.Context(), "engine-1", 1))
		continued, sum, err := b.TakeOver(t.Context(), req, 17)
		must.Nil(t, err)
		must.Nil(t, sum)
		frozen.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("of a"), Kept: true})
		mustFlush(t, a)
		must.Eq(t, result.AlreadyRunning, refusal(t, c, request("x")))
		continued.Finish(Summary{Code: result.OK, Status: 200, Body: []byte("of b"), Kept: true})
		mustFlush(t, b)
		_, sum, err = c.Begin(t.Context(), request("x"))
		must.Nil(t, err)
		must.Eq(t, "of b", string(sum.Body))
	})
}

// The entry that took a generation over dies before its engine got the attempt. The engine proves that, but parts of the generation ran
// before, on any engine. If the proof counted as "never ran", the key would run again from its start.
func TestProofOfLaterAttemptDoesNotFreeKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := standin.New(standin.Config{})
		req := sentBy(t, entry(s, "a"), 1)
		_, _, err := entry(s, "b").TakeOver(t.Context(), req, 17)
		must.Nil(t, err)
		c := entry(s, "c", "b")
		c.cfg.ProveNotRun = func(context.Context, PriorSend) bool { return true }
		must.Eq(t, result.ClaimOrphan, refusal(t, c, request("x")))
	})
}

// Cases in which a claim may not be taken over, and the result code of each.
func TestTakeOverIsRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		change  func(*Request)
		attempt uint32
		fault   string
		want    result.Code
	}{
		"taken over meanwhile":  {attempt: 3, want: result.AlreadyRunning},
		"held by a live holder": {change: func(r *Request) { r.Owner = Holder{Instance: "z"} }, attempt: 17, want: result.AlreadyRunning},
		"another generation":    {change: func(r *Request) { r.Generation = request("x").Generation }, attempt: 17, want: result.AlreadyRunning},
		"other content":         {change: func(r *Request) { r.Fingerprint = "y" }, attempt: 17, want: result.KeyReused},
		"store unavailable":     {attempt: 17, fault: standin.FaultOutage, want: result.StoreDown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := standin.New(standin.Config{})
				req := sentBy(t, entry(s, "a"), 3)
				if tc.change != nil {
					tc.change(&req)
				}
				if tc.fault != "" {
					s.SetFault(standin.Fault{Kind: tc.fault, DurationMS: time.Minute.Milliseconds()})
				}
				b := entry(s, "b")
				c, sum, err := b.TakeOver(t.Context(), req, tc.attempt)
				must.Nil(t, c)
				must.Nil(t, sum)
				must.Eq(t, tc.want, err.Code)
				must.Positive(t, max(int64(err.RetryAfter), int64(tc.want-result.StoreDown))) // only KeyReused has none
				time.Sleep(2 * time.Minute)
				must.Zero(t, b.Unsettled())
			})
		})
	}
}

// takeoverChain is a generation that entries continue one after the other, from a record that some of them leave behind.
type takeoverChain struct {
	mu        sync.Mutex
	rng       *rand.Rand
	record    uint32   // attempt in the record at the peers
	owner     Holder   // of that record
	takeovers []uint32 // first attempts of the takeovers, in order
	done      bool     // reported as finished
	faults    []string
}

const recordGap = 16

func (r *takeoverChain) draw(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

// recordTakeover records a takeover, and what is wrong with it.
func (r *takeoverChain) recordTakeover(attempt uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.takeovers); n > 0 && attempt <= r.takeovers[n-1] {
		r.faults = append(r.faults, fmt.Sprintf("attempt %d after %d", attempt, r.takeovers[n-1]))
	}
	if r.done {
		r.faults = append(r.faults, fmt.Sprintf("attempt %d after the end", attempt))
	}
	r.takeovers = append(r.takeovers, attempt)
}

func (r *takeoverChain) currentRecord() (uint32, Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.record, r.owner
}

func (r *takeoverChain) leaveRecord(tab *Table, attempt uint32, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if attempt > r.record {
		r.record, r.owner = attempt, tab.cfg.Holder
	}
	r.done = r.done || done
}

// runner repeatedly takes the generation over through its entry, often with a record that is outdated by then, and then dies, loses its
// caller, or finishes.
func (r *takeoverChain) runner(s *standin.Server, name string, req Request) {
	tab := entry(s, name)
	for range 25 {
		attempt, owner := r.currentRecord()
		time.Sleep(time.Duration(r.draw(2000)) * time.Millisecond)
		req.Owner = owner
		c, sum, err := tab.TakeOver(context.Background(), req, attempt+recordGap)
		if sum != nil {
			return
		}
		if err != nil {
			continue
		}
		first := c.FirstAttempt()
		r.recordTakeover(first)
		time.Sleep(time.Duration(r.draw(1500)) * time.Millisecond)
		last := first + uint32(r.draw(4))
		switch r.draw(12) {
		case 0:
			c.Finish(Summary{Code: result.OK, Status: 200})
			_ = tab.Flush(context.Background()) // until then its record names a live owner, and is not available to others
			r.leaveRecord(tab, last, true)
			return
		case 1, 2, 3:
			r.leaveRecord(tab, last, false)
			name += "'"
			tab = entry(s, name) // died, and lost its state in memory
		default:
			r.leaveRecord(tab, last, false)
			c.Finish(Summary{Code: result.CallerGone, Status: 499})
		}
	}
}

// Eight entries repeatedly continue one generation, from records that are often older than the claim, while the store is down, slow, or
// loses its answers. Whoever gets the claim must have a higher attempt number than all before, or two would run the same remainder; and
// none may get it once the generation was reported as finished.
func TestEachContinuationHasOneRunner(t *testing.T) {
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			s := standin.New(standin.Config{Seed: seed})
			req := sentBy(t, entry(s, "a"), 1)
			chain := &takeoverChain{rng: rand.New(rand.NewPCG(seed, 7)), record: 1, owner: req.Owner}
			var wg sync.WaitGroup
			d := standin.FaultSequence{
				Kinds: []string{standin.FaultOutage, standin.FaultLoseAnswer, standin.FaultLoseAnswer, standin.FaultSlow},
				Count: 8, Unit: time.Second, MaxDelay: 3, MaxDuration: 4, MaxGap: 3,
			}
			wg.Go(func() { s.InjectFaults(rand.New(rand.NewPCG(seed, 2)), d, func() {}) })
			for i := range 8 {
				wg.Go(func() { chain.runner(s, fmt.Sprint("e", i), req) })
			}
			wg.Wait()
			time.Sleep(10 * time.Minute)
			must.SliceEmpty(t, chain.faults, must.Sprintf("seed %d: %v of %v", seed, chain.faults, chain.takeovers))
			must.Positive(t, len(chain.takeovers), must.Sprintf("seed %d", seed))
		})
	}
}
