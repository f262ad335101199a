package prove

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/settingsync"
)

const (
	operators      = 2
	applyTimeout   = 8 * time.Second
	inForceLimit   = 5 * time.Second
	watchInterval  = 150 * time.Millisecond
	settingsObject = "settings"
	drainLimit     = 3 * time.Second
	drainWatch     = 3 * time.Second // after drainLimit
	drainPoll      = 200 * time.Millisecond
)

// acceptedRevision is a revision whose commit was confirmed to an operator.
type acceptedRevision struct {
	revision uint64
	at       time.Time
}

// observation is the revision found in force at an instance at one time.
type observation struct {
	node     string
	revision uint64
	at       time.Time
}

// applyRace lets two operators concurrently commit different settings made from the same base revision.
func (r *run) applyRace(ctx context.Context, op operation) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	base, err := settingsync.Newest(ctx, r.site.Store)
	if err != nil {
		r.countOutcome(op.kind, "store down")
		return
	}
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() { r.apply(ctx, op, base, i) })
	}
	wg.Wait()
}

func (r *run) apply(ctx context.Context, op operation, base uint64, operator int) {
	store := platform.New(platform.Config{Addr: r.site.Platform.Addr})
	text := fmt.Sprintf("%s# operation %d of operator %d\n", r.site.SettingsText(), op.index, operator)
	rec := history.Op{
		Model: history.ModelSettings, Object: settingsObject, Action: history.Apply, Client: operator,
		Call: history.Now(), Number: base + 1, Value: settingsync.Digest([]byte(text)),
	}
	got, err := settingsync.Commit(ctx, store, settingsync.Change{
		Text: []byte(text), File: "prove", Base: base, Operator: fmt.Sprint("operator ", operator), Time: time.Now(),
	})
	rec.Return = history.Now()
	if got != nil {
		rec.Number = got.Revision
	}
	var conflict *settingsync.Conflict
	switch {
	case err == nil:
		rec.Outcome = history.Yes
		r.mu.Lock()
		r.accepted = append(r.accepted, acceptedRevision{got.Revision, time.Now()})
		r.mu.Unlock()
	case isUnknown(err):
		rec.Outcome, rec.Return = history.Unknown, 0
	default:
		rec.Outcome = history.No
	}
	switch {
	case errors.As(err, &conflict):
		r.countOutcome(op.kind, "conflict")
	case rec.Outcome == history.No:
		r.countOutcome(op.kind, "refused")
	default:
		r.countOutcome(op.kind, rec.Outcome)
	}
	r.history.Add(rec)
}

// watchSettings polls every entry for the revision in force.
func (r *run) watchSettings(ctx context.Context) {
	var wg sync.WaitGroup
	for _, n := range r.site.Entries {
		wg.Go(func() { r.watchNode(ctx, n) })
	}
	wg.Wait()
}

func (r *run) watchNode(ctx context.Context, n *localsite.Node) {
	operator := localsite.Operator(n)
	last, recorded := uint64(0), time.Time{}
	for ctx.Err() == nil {
		call := history.Now()
		st, err := operator.Status(ctx)
		if err == nil && st.SettingsRevision > 0 {
			r.recordRevision(n.Name, st.SettingsRevision)
			if st.SettingsRevision != last || time.Since(recorded) > 2*time.Second {
				last, recorded = st.SettingsRevision, time.Now()
				r.history.Add(history.Op{
					Model: history.ModelSettings, Object: settingsObject, Action: history.See, Client: 100 + nodeIndex(r.site.Entries, n),
					Request: n.Name, Number: st.SettingsRevision, Call: call, Return: history.Now(),
				})
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
}

func nodeIndex(nodes []*localsite.Node, n *localsite.Node) int {
	for i, it := range nodes {
		if it == n {
			return i
		}
	}
	return len(nodes)
}

func (r *run) recordRevision(node string, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = append(r.observed, observation{node, revision, time.Now()})
}

// drain drains an engine through one control process and checks that it gets no new attempts once drainLimit has passed.
func (r *run) drain(ctx context.Context, op operation) {
	n := r.site.Engines[op.target]
	control := r.site.Controls[op.entry]
	rep, err := localsite.Operator(control).Drain(ctx, opsapi.DrainRequest{Target: n.Name, On: true, Operator: "prove"})
	defer r.undrain(n)
	if err != nil || !rep.Durable {
		r.countOutcome(op.kind, "not recorded")
		return
	}
	drainedAt := time.Now()
	time.Sleep(drainLimit)
	before, err := localsite.Stats(ctx, n)
	for err == nil && time.Since(drainedAt) < drainLimit+drainWatch {
		time.Sleep(drainPoll)
		now, nowErr := localsite.Stats(ctx, n)
		if nowErr != nil || now.Attempts < before.Attempts {
			r.countOutcome(op.kind, "target died")
			return
		}
		if now.Attempts > before.Attempts {
			r.checkLateAttempts(op, n.Name, drainedAt, now.Attempts-before.Attempts)
			return
		}
	}
	r.countOutcome(op.kind, "held")
}

// checkLateAttempts records a violation for attempts at a drained engine, unless an entry was frozen or had lost its control
// process within the last drainLimit: such an entry may learn of the drain up to drainLimit after that fault has ended.
func (r *run) checkLateAttempts(op operation, target string, drainedAt time.Time, n int) {
	recent := time.Now().Add(-drainLimit)
	for _, e := range r.site.Entries {
		if subject, kind, on := r.faultLog.FirstOverlap(recent, time.Now(), delaysDrains(e.Name)); on {
			r.countOutcome(op.kind, "late work beside "+kind+" of "+subjectKind(subject))
			return
		}
	}
	r.addViolation("%d new attempts at drained %s, %v after its drain was recorded", n, target, time.Since(drainedAt).Round(time.Millisecond))
}

// undrain retries until the end of the drain is recorded, since an engine left drained would distort the rest of the run.
func (r *run) undrain(n *localsite.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), readyLimit)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		c := r.site.Controls[i%len(r.site.Controls)]
		rep, err := localsite.Operator(c).Drain(ctx, opsapi.DrainRequest{Target: n.Name, Operator: "prove"})
		if err == nil && rep.Durable {
			return
		}
		time.Sleep(drainPoll)
	}
}
