package control

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// drainPage is how many drains one read may bring.
const drainPage = 500

// Who drains a target. It has new work again only when neither does.
const (
	byOperator  = "operator"
	byPlacement = "placement"
)

// ErrNoTarget is for a target that is in no settings.
var ErrNoTarget = errorx.NewNamespace("control").NewType("no_target")

var errDrainLost = errors.New("the drain was not recorded: the lease has ended, or others write the same drain")

// drainRecord is the value at drain/{target}/{by}. Off is written as a record too, since deletions are not listed.
type drainRecord struct {
	On       bool      `json:"on"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

func drainKey(target, by string) string { return platformapi.KeyDrain + target + "/" + by }

// watchDrains polls the drains that are recorded and sends each change to the entry. The next read starts after the last
// item seen and not after the table's revision: a replica that lags could else hide an item for ever.
func (p *Process) watchDrains(ctx context.Context) {
	after := uint64(0)
	interval := func() time.Duration { return p.pollEvery(p.opts.DrainPoll, drainShare) }
	poll(ctx, interval, func(ctx context.Context) error {
		for more := true; more; {
			page, err := p.store.Range(ctx, platformapi.KeyDrain, after, drainPage)
			if err != nil {
				pollFailed(ctx, "drains", err)
				return err
			}
			for _, it := range page.Items {
				after = max(after, it.Rev)
				p.readDrain(it)
			}
			more = page.More && len(page.Items) > 0
		}
		p.drainAgain(ctx)
		return nil
	})
}

// drainAgain writes operators' drains again that the table has lost. Whoever reads the table later would else not know of them.
func (p *Process) drainAgain(ctx context.Context) {
	for target, rec := range p.tables.lostDrains(p.store.Era()) {
		err := p.recordOperators(ctx, target, rec)
		at := log.Warn().Str("event", "drain_written_again").Str("target", target).Bool("on", rec.On)
		if err != nil {
			at = at.Str("cause", err.Error())
		}
		at.Msg("")
	}
}

func (p *Process) readDrain(it platformapi.Item) {
	target, by, ok := strings.Cut(strings.TrimPrefix(it.Key, platformapi.KeyDrain), "/")
	var rec drainRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil || !ok {
		log.Error().Str("event", "drain_unreadable").Str("key", it.Key).Msg("")
		return
	}
	p.applyDrain(target, by, rec, it.Rev)
}

// applyDrain puts a drain in force here and tells the entry when that changes anything for it.
func (p *Process) applyDrain(target, by string, rec drainRecord, rev uint64) {
	changed := p.tables.setDrain(target, by, drainState{on: rec.On, rev: rev, made: rec.Time, since: time.Now()})
	if !changed {
		return
	}
	effective := p.tables.draining(target)
	log.Info().Str("event", "drain").Str("target", target).Str("by", by).Bool("on", rec.On).Bool("effective", effective).Msg("")
	d := &meshpb.Drain{Target: target, On: effective}
	p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Drain{Drain: d}})
}

// recordDrain writes a drain, unless a condition fails.
func (p *Process) recordDrain(ctx context.Context, target, by string, rec drainRecord, conds ...platformapi.Cond) error {
	res, err := p.writeDrain(ctx, target, by, rec, conds...)
	if err == nil && !res.Committed {
		err = errDrainLost
	}
	return err
}

// writeDrain writes a drain once and puts it in force here when the table has it.
func (p *Process) writeDrain(ctx context.Context, target, by string, rec drainRecord, conds ...platformapi.Cond) (platformapi.TxnResult, error) {
	value, err := json.Marshal(rec)
	if err != nil {
		return platformapi.TxnResult{}, err
	}
	res, err := p.store.Txn(ctx, platformapi.Txn{
		OpID:  ids.New().String(),
		Conds: conds,
		Puts:  []platformapi.Put{{Key: drainKey(target, by), Value: value}},
	})
	if err == nil && res.Committed {
		p.applyDrain(target, by, rec, res.Rev)
	}
	return res, err
}

// drainTries bounds how often an operator's drain is written over those of others.
const drainTries = 4

// Drain carries out an operator's request: here at once, and in the table for all other instances. Without the store it
// holds at this instance alone, and the reply says so; the operator can ask every instance.
func (p *Process) Drain(ctx context.Context, r opsapi.DrainRequest) (opsapi.DrainReply, error) {
	if snap := p.Snapshot(); snap == nil || findTarget(snap, r.Target) == nil {
		return opsapi.DrainReply{}, ErrNoTarget.New("no target %q in the settings in force", r.Target)
	}
	rec := drainRecord{On: r.On, Operator: r.Operator, Time: time.Now().UTC()}
	p.applyDrain(r.Target, byOperator, rec, p.tables.drainRev(r.Target, byOperator))
	if err := p.recordOperators(ctx, r.Target, rec); err != nil {
		return opsapi.DrainReply{Applied: true, Detail: notRecorded(err)}, nil
	}
	return opsapi.DrainReply{Applied: true, Durable: true}, nil
}

func notRecorded(err error) string {
	if platform.IsUnknown(err) {
		return "not known to be recorded in the table: " + err.Error()
	}
	return "not recorded in the table: " + err.Error()
}

// recordOperators writes an operator's drain over the revision that stands in the table.
//
// A write can be held up on its way and arrive after its operator was told that it isn't known to be recorded, and after
// a newer one was. Without the condition it would win then, and bring back a drain that somebody ended. With it the
// late one finds the newer in its way.
func (p *Process) recordOperators(ctx context.Context, target string, rec drainRecord) error {
	over := platformapi.Cond{Key: drainKey(target, byOperator), Rev: p.tables.drainRev(target, byOperator)}
	for range drainTries {
		res, err := p.writeDrain(ctx, target, byOperator, rec, over)
		if platform.IsStaleEra(err) {
			it, _, failed := p.store.Get(ctx, over.Key)
			res.Failed, err = []platformapi.Item{it}, failed
		}
		if err == nil && res.Committed {
			p.tables.noteOrdered(target, rec)
		}
		if err != nil || res.Committed {
			return err
		}
		for _, it := range res.Failed {
			over.Rev = it.Rev
		}
	}
	return errDrainLost
}
