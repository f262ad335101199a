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
	probeLimit  = 15 * time.Second // for each entry to serve again after the last fault
)

func isUnknown(err error) bool { return errorx.IsOfType(err, settingsync.Unknown) }

// settle checks that the site is whole again: each entry gives a whole answer, and no engine still runs an attempt that
// nobody waits for.
func (r *run) settle(ctx context.Context) {
	for i, e := range r.site.Entries {
		limit, cancel := context.WithTimeout(ctx, probeLimit)
		err := proc.Until(limit, e.Name, func(ctx context.Context) error {
			_, err := r.client.Stream(ctx, caller.Call{
				Model: model, Prompt: fmt.Sprintf("probe %d [len=%d]", i, probeTokens), Class: classOfAll, Entry: i,
			}, func(caller.Token) {})
			return err
		})
		cancel()
		if err != nil {
			r.violated("no service at %s after all faults ended: %v", e.Name, err)
		}
	}
	limit, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	err := proc.Until(limit, "engines to be idle", func(ctx context.Context) error {
		n, err := r.site.StreamingEngine(ctx)
		if n != nil {
			return fmt.Errorf("%s still runs a stream", n.Name)
		}
		return err
	})
	if err != nil {
		r.violated("%v", err)
	}
}

// collect adds to the history what only the services and the table know.
func (r *run) collect(ctx context.Context) {
	r.collectExecutions(ctx)
	r.collectDigests(ctx)
	r.checkInForce()
	for _, line := range r.watcher.Lines() {
		r.violated("process says: %s", line)
	}
}

// collectExecutions records every run of a booking. When it ran is not known, only that it was within the run.
func (r *run) collectExecutions(ctx context.Context) {
	for _, n := range r.site.Plains {
		counts, err := localsite.Executions(ctx, n)
		if err != nil {
			r.violated("the tool: executions of %s: %v", n.Name, err)
			continue
		}
		for id, count := range counts {
			r.executed(id, count)
		}
	}
}

func (r *run) executed(id string, count int) {
	var op, try int
	if _, err := fmt.Sscanf(id, "book-%d.%d", &op, &try); err != nil {
		return // a status call
	}
	for i := range count {
		r.log.Add(history.Op{
			Model: history.ModelClaim, Object: fmt.Sprintf("book-%d", op), Action: history.Execute, Client: -1 - i,
			Request: id, Value: id, Call: r.began.UnixNano(), Return: history.Now(),
		})
	}
}

// collectDigests fills in the digest of each revision seen, from the table, and compares what was accepted.
func (r *run) collectDigests(ctx context.Context) {
	digests := map[uint64]string{}
	ops := r.log.Ops()
	for i, op := range ops {
		if op.Model != history.ModelSettings || op.Action != history.See {
			continue
		}
		if _, ok := digests[op.Number]; !ok {
			rec, err := settingsync.ReadRecord(ctx, r.site.Store, op.Number)
			if err != nil {
				r.violated("revision %d was in force at %s and is not in the table: %v", op.Number, op.Request, err)
				continue
			}
			digests[op.Number] = rec.Digest
		}
		ops[i].Value = digests[op.Number]
	}
	r.log.Replace(append(ops, r.firstRevision(ctx)...))
}

// firstRevision is the one that the site started with.
func (r *run) firstRevision(ctx context.Context) []history.Op {
	rec, err := settingsync.ReadRecord(ctx, r.site.Store, localsite.Revision)
	if err != nil {
		r.violated("the tool: first revision: %v", err)
		return nil
	}
	return []history.Op{{
		Model: history.ModelSettings, Object: settingsObject, Action: history.Apply, Outcome: history.Yes,
		Number: rec.Revision, Value: rec.Digest, Client: operators, Call: 1, Return: 2,
	}}
}

// checkInForce checks that each accepted revision was in force at each entry within the limit, where no fault kept the
// news away.
func (r *run) checkInForce() {
	r.mu.Lock()
	accepted, seen := r.accepted, r.seen
	r.mu.Unlock()
	for _, a := range accepted {
		for _, e := range r.site.Entries {
			due := a.at.Add(inForceLimit)
			if r.down.Overlaps(a.at, due.Add(time.Second), delaysNews(e.Name)) {
				continue
			}
			if err := behind(seen, e.Name, a.revision, due); err != nil {
				r.violated("revision %d accepted: %v", a.revision, err)
			}
		}
	}
}

var errBehind = errors.New("not in force in time")

// behind returns an error when the first look after due found an older revision.
func behind(seen []sighting, node string, revision uint64, due time.Time) error {
	for _, s := range seen {
		if s.node == node && s.at.After(due) {
			if s.revision < revision {
				return fmt.Errorf("%w: %s had %d in force %v after the limit", errBehind, node, s.revision, s.at.Sub(due).Round(time.Millisecond))
			}
			return nil
		}
	}
	return nil
}
