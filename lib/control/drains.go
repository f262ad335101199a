package control

import (
	"context"
	"encoding/json"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// drainPage is how many drains one read may bring.
const drainPage = 500

// ErrNoTarget is for a target that is in no settings.
var ErrNoTarget = errorx.NewNamespace("control").NewType("no_target")

// drainRecord is the value at drain/{target}. Off is written as a record too, since deletions are not listed.
type drainRecord struct {
	On       bool      `json:"on"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// watchDrains polls the drains that operators recorded and sends each change to the entry. The next read starts after
// the last item seen and not after the table's revision: a replica that lags could else hide an item for ever.
func (p *Process) watchDrains(ctx context.Context) {
	after := uint64(0)
	every(ctx, p.opts.DrainPoll, func(ctx context.Context) {
		for more := true; more; {
			page, err := p.store.Range(ctx, platformapi.KeyDrain, after, drainPage)
			if err != nil {
				pollFailed(ctx, "drains", err)
				return
			}
			for _, it := range page.Items {
				after = max(after, it.Rev)
				p.takeDrain(it)
			}
			more = page.More && len(page.Items) > 0
		}
	})
}

func (p *Process) takeDrain(it platformapi.Item) {
	target := it.Key[len(platformapi.KeyDrain):]
	var rec drainRecord
	if err := json.Unmarshal(it.Value, &rec); err != nil {
		log.Error().Str("event", "drain_unreadable").Str("target", target).Err(err).Msg("")
		return
	}
	if p.tables.setDrain(target, drainState{on: rec.On, rev: it.Rev}) {
		p.sendDrain(target, rec.On)
	}
}

func (p *Process) sendDrain(target string, on bool) {
	log.Info().Str("event", "drain").Str("target", target).Bool("on", on).Msg("")
	d := &meshpb.Drain{Target: target, On: on}
	p.link.Set(&meshpb.LocalDown{Msg: &meshpb.LocalDown_Drain{Drain: d}})
}

// Drain carries out an operator's request: here at once, and in the table for all other instances. Without the store it
// holds at this instance alone, and the reply says so; the operator can ask every instance.
func (p *Process) Drain(ctx context.Context, r opsapi.DrainRequest) (opsapi.DrainReply, error) {
	if snap := p.Snapshot(); snap == nil || findTarget(snap, r.Target) == nil {
		return opsapi.DrainReply{}, ErrNoTarget.New("no target %q in the settings in force", r.Target)
	}
	p.sendDrain(r.Target, r.On)
	rec, err := json.Marshal(drainRecord{On: r.On, Operator: r.Operator, Time: time.Now().UTC()})
	if err != nil {
		return opsapi.DrainReply{Applied: true}, err
	}
	res, err := p.store.Txn(ctx, platformapi.Txn{
		OpID: ids.New().String(),
		Puts: []platformapi.Put{{Key: platformapi.KeyDrain + r.Target, Value: rec}},
	})
	if err != nil {
		p.tables.setDrain(r.Target, drainState{on: r.On, rev: p.tables.drainRev(r.Target)})
		return opsapi.DrainReply{Applied: true, Detail: "not recorded in the table: " + err.Error()}, nil
	}
	p.tables.setDrain(r.Target, drainState{on: r.On, rev: res.Rev})
	return opsapi.DrainReply{Applied: true, Durable: true}, nil
}
