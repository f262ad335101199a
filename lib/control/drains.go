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

// drainPage is the maximum number of drains in one read.
const drainPage = 500

// Sources of a drain. A target gets new work again only when neither drains it.
const (
	byOperator  = "operator"
	byPlacement = "placement"
)

// ErrNoTarget reports a target that is not in the settings.
var ErrNoTarget = errorx.NewNamespace("control").NewType("no_target")

var errDrainLost = errors.New("the drain was not recorded: the lease has ended, or others write the same drain")

// drainRecord is the value at drain/{target}/{by}. An ended drain is also written as a record, since deletions are not listed.
type drainRecord struct {
	On       bool      `json:"on"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

func drainKey(target, by string) string { return platformapi.KeyDrain + target + "/" + by }

// watchDrains polls the recorded drains and sends each change to the entry. The next read starts after the last item seen
// rather than at the table's revision: a lagging replica could otherwise hide an item forever.
func (p *Process) watchDrains(ctx context.Context) {
	after := uint64(0)
	interval := func() time.Duration { return p.sitePollInterval(p.opts.DrainPoll, drainShare) }
	poll(ctx, interval, func(ctx context.Context) error {
		for more := true; more; {
			page, err := p.store.Range(ctx, platformapi.KeyDrain, after, drainPage)
			if err != nil {
				reportPollError(ctx, "drains", err)
				return err
			}
			for _, it := range page.Items {
				after = max(after, it.Rev)
				p.applyDrainItem(it)
			}
			more = page.More && len(page.Items) > 0
		}
		p.rewriteLostDrains(ctx)
		return nil
	})
}

// rewriteLostDrains rewrites operators' drains that the table has lost, for processes that read the table later.
func (p *Process) rewriteLostDrains(ctx context.Context) {
	for target, rec := range p.state.lostDrains(p.store.Era()) {
		err := p.recordOperatorDrain(ctx, target, rec)
		event := log.Warn().Str("event", "drain_written_again").Str("target", target).Bool("on", rec.On)
		if err != nil {
			event = event.Str("cause", err.Error())
		}
		event.Msg("")
	}
}

func (p *Process) applyDrainItem(it platformapi.Item) {
	target, by, ok := strings.Cut(strings.TrimPrefix(it.Key, platformapi.KeyDrain), "/")
	var rec drainRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil || !ok {
		log.Error().Str("event", "drain_unreadable").Str("key", it.Key).Msg("")
		return
	}
	p.applyDrain(target, by, rec, it.Rev)
}

// applyDrain applies a drain here and notifies the entry if the target's effective drain changed.
func (p *Process) applyDrain(target, by string, rec drainRecord, rev uint64) {
	changed := p.state.setDrain(target, by, drainState{on: rec.On, rev: rev, orderedAt: rec.Time, learnedAt: time.Now()})
	if !changed {
		return
	}
	effective := p.state.draining(target)
	log.Info().Str("event", "drain").Str("target", target).Str("by", by).Bool("on", rec.On).Bool("effective", effective).Msg("")
	d := &meshpb.Drain{Target: target, On: effective}
	p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Drain{Drain: d}})
}

// recordDrain writes a drain. It fails if a condition fails.
func (p *Process) recordDrain(ctx context.Context, target, by string, rec drainRecord, conds ...platformapi.Cond) error {
	res, err := p.writeDrain(ctx, target, by, rec, conds...)
	if err == nil && !res.Committed {
		err = errDrainLost
	}
	return err
}

// writeDrain writes a drain once and, when it is committed, applies it here.
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

// maxDrainAttempts bounds how often the write of an operator's drain is retried after concurrent writes.
const maxDrainAttempts = 4

// Drain executes an operator's request: here immediately, and through the table for all other instances. If the store is
// down, the drain applies to this instance only and the reply says so; the operator can send the request to every instance.
func (p *Process) Drain(ctx context.Context, r opsapi.DrainRequest) (opsapi.DrainReply, error) {
	if snap := p.Snapshot(); snap == nil || findTarget(snap, r.Target) == nil {
		return opsapi.DrainReply{}, ErrNoTarget.New("no target %q in the settings in force", r.Target)
	}
	rec := drainRecord{On: r.On, Operator: r.Operator, Time: time.Now().UTC()}
	p.applyDrain(r.Target, byOperator, rec, p.state.drainRev(r.Target, byOperator))
	if err := p.recordOperatorDrain(ctx, r.Target, rec); err != nil {
		return opsapi.DrainReply{Applied: true, Detail: notRecordedDetail(err)}, nil
	}
	return opsapi.DrainReply{Applied: true, Durable: true}, nil
}

func notRecordedDetail(err error) string {
	if platform.IsUnknown(err) {
		return "not known to be recorded in the table: " + err.Error()
	}
	return "not recorded in the table: " + err.Error()
}

// recordOperatorDrain writes an operator's drain, conditional on the revision that the table holds.
//
// A write can be delayed and arrive after its operator was told that its outcome is unknown, and after a newer drain was
// recorded. Without the condition the delayed write would win and restore a drain that was ended; with it, the delayed
// write fails because the newer one changed the revision.
func (p *Process) recordOperatorDrain(ctx context.Context, target string, rec drainRecord) error {
	cond := platformapi.Cond{Key: drainKey(target, byOperator), Rev: p.state.drainRev(target, byOperator)}
	for range maxDrainAttempts {
		res, err := p.writeDrain(ctx, target, byOperator, rec, cond)
		if platform.IsStaleEra(err) {
			it, _, getErr := p.store.Get(ctx, cond.Key)
			res.Failed, err = []platformapi.Item{it}, getErr
		}
		if err == nil && res.Committed {
			p.state.recordOrder(target, rec)
		}
		if err != nil || res.Committed {
			return err
		}
		for _, it := range res.Failed {
			cond.Rev = it.Rev
		}
	}
	return errDrainLost
}
