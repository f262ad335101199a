package prove

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/history"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/settingsync"
)

const (
	probeTokens = 20
	probeLimit  = 15 * time.Second // for each entry to complete a request after the last fault
)

func isUnknown(err error) bool { return errorx.IsOfType(err, settingsync.Unknown) }

// checkRecovered checks that the site has recovered: every entry completes a request, and no engine still runs an attempt
// whose caller is gone.
func (r *run) checkRecovered(ctx context.Context) {
	for i, e := range r.site.Entries {
		limit, cancel := context.WithTimeout(ctx, probeLimit)
		err := proc.Until(limit, e.Name, func(ctx context.Context) error {
			_, err := r.client.Stream(ctx, caller.Call{
				Model: model, Prompt: fmt.Sprintf("probe %d [len=%d]", i, probeTokens), Class: requestClass, Entry: i,
			}, func(caller.Token) {})
			return err
		})
		cancel()
		if err != nil {
			r.addViolation("no service at %s after all faults ended: %v", e.Name, err)
		}
	}
	limit, cancel := context.WithTimeout(ctx, idleLimit)
	defer cancel()
	err := proc.Until(limit, "engines to be idle", func(ctx context.Context) error {
		n, err := r.site.StreamingEngine(ctx)
		if n != nil {
			return fmt.Errorf("%s still runs a stream", n.Name)
		}
		return err
	})
	if err != nil {
		r.addViolation("%v", err)
	}
}

// collectHistory adds to the history what only the services and the platform's table record.
func (r *run) collectHistory(ctx context.Context) {
	r.collectExecutions(ctx)
	r.collectDigests(ctx)
	r.checkInForce()
	for _, line := range r.watcher.Lines() {
		r.addViolation("process logged: %s", line)
	}
}

// collectExecutions records every execution of a booking. The services keep no times, so each spans the whole run.
func (r *run) collectExecutions(ctx context.Context) {
	for _, n := range r.site.Plains {
		counts, err := localsite.Executions(ctx, n)
		if err != nil {
			r.addViolation("prove itself: read executions of %s: %v", n.Name, err)
			continue
		}
		for id, count := range counts {
			r.addExecutions(id, count)
		}
	}
}

func (r *run) addExecutions(id string, count int) {
	var op, attempt int
	if _, err := fmt.Sscanf(id, "book-%d.%d", &op, &attempt); err != nil {
		return // a status call
	}
	for i := range count {
		r.history.Add(history.Op{
			Model: history.ModelClaim, Object: fmt.Sprintf("book-%d", op), Action: history.Execute, Client: -1 - i,
			Request: id, Value: id, Call: r.startedAt.UnixNano(), Return: history.Now(),
		})
	}
}

// collectDigests fills in the digest of each revision observed, read from the table, so that the history check can compare
// it with what was accepted.
func (r *run) collectDigests(ctx context.Context) {
	digests := map[uint64]string{}
	ops := r.history.Ops()
	for i, op := range ops {
		if op.Model != history.ModelSettings || op.Action != history.See {
			continue
		}
		if _, ok := digests[op.Number]; !ok {
			rec, err := settingsync.ReadRecord(ctx, r.site.Store, op.Number)
			if err != nil {
				r.addViolation("revision %d was in force at %s but is missing from the table: %v", op.Number, op.Request, err)
				continue
			}
			digests[op.Number] = rec.Digest
		}
		ops[i].Value = digests[op.Number]
	}
	r.history.Replace(append(ops, r.firstRevision(ctx)...))
}

// firstRevision returns the operation that committed the revision with which the site started.
func (r *run) firstRevision(ctx context.Context) []history.Op {
	rec, err := settingsync.ReadRecord(ctx, r.site.Store, localsite.Revision)
	if err != nil {
		r.addViolation("prove itself: read the first revision: %v", err)
		return nil
	}
	return []history.Op{{
		Model: history.ModelSettings, Object: settingsObject, Action: history.Apply, Outcome: history.Yes,
		Number: rec.Revision, Value: rec.Digest, Client: operators, Call: 1, Return: 2,
	}}
}

// checkInForce checks that each accepted revision was in force at each entry within inForceLimit, except where a fault
// delayed the update.
func (r *run) checkInForce() {
	r.mu.Lock()
	accepted, observed := r.accepted, r.observed
	r.mu.Unlock()
	for _, a := range accepted {
		for _, e := range r.site.Entries {
			due := a.at.Add(inForceLimit)
			if r.faultLog.Overlaps(a.at, due.Add(time.Second), delaysSettings(e.Name)) {
				continue
			}
			if err := checkRevision(observed, e.Name, a.revision, due); err != nil {
				r.addViolation("revision %d accepted: %v", a.revision, err)
			}
		}
	}
}

var errNotInForce = errors.New("not in force in time")

// checkRevision returns an error if the first observation after due shows an older revision.
func checkRevision(observed []observation, node string, revision uint64, due time.Time) error {
	for _, s := range observed {
		if s.node == node && s.at.After(due) {
			if s.revision < revision {
				return fmt.Errorf("%w: %s had %d in force %v after the limit", errNotInForce, node, s.revision, s.at.Sub(due).Round(time.Millisecond))
			}
			return nil
		}
	}
	return nil
}
