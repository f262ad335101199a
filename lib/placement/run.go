package placement

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/invariant"
	"anvilwick.example/anvilwick/lib/lease"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// Tick is the interval between plans.
const Tick = time.Second

// Store is the part of the platform client that placement uses.
type Store interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	StartTransfer(ctx context.Context, model, version string) (bool, time.Duration, error)
}

// Environment connects Run to the settings, the engines and the store.
type Environment struct {
	Store Store
	// Services returns the state wanted by the current settings, with each target's latest report and drain time. Run fills in the
	// remaining fields of the targets.
	Services func() []Service
	// Order sends one order to an engine.
	Order func(ctx context.Context, target string, o engineapi.Order) error
	// Drain starts or ends keeping new work from a target.
	Drain func(ctx context.Context, target string, on bool) error
}

// errLeaseEnded is the error of a step whose lease has ended.
var errLeaseEnded = errorx.IllegalState.New("placement: lease ended before the step was complete")

// runner places models for one lease term.
type runner struct {
	env           Environment
	lease         *lease.Term
	term          Term
	intents       map[string]*intent   // by target
	lastOrders    map[string]lastOrder // by target
	transferAfter time.Time            // when the weight store accepts the next transfer
}

type lastOrder struct {
	sentAt time.Time
	state  State
}

type intent struct {
	Intent
	rev uint64
}

// Run places models until ctx ends. It is meant to be run under a lease: see lease.Run.
func Run(ctx context.Context, h *lease.Term, env Environment) {
	r := &runner{
		env:        env,
		lease:      h,
		term:       Term{Fence: h.Fence(), Since: time.Now()},
		intents:    map[string]*intent{},
		lastOrders: map[string]lastOrder{},
	}
	t := time.NewTicker(Tick)
	defer t.Stop()
	for {
		r.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// tick takes one step for each service. A failed step is planned again at the next tick.
func (r *runner) tick(ctx context.Context) {
	for _, s := range r.env.Services() {
		if err := r.addTermState(ctx, &s); err != nil {
			logStep(Step{Target: s.Name}, "read_intents", err)
			continue
		}
		step, ok := Plan(time.Now(), r.term, s)
		if !ok {
			continue
		}
		logStep(step, "step", r.execute(ctx, step))
	}
}

func logStep(s Step, event string, err error) {
	e := log.Info()
	if err != nil {
		e = log.Warn().Str("error", err.Error())
	}
	e.Str("event", "placement_"+event).Str("target", s.Target).Int("kind", int(s.Kind)).Str("model", s.Want.Model).
		Str("version", s.Want.Version).Msg("")
}

// addTermState fills in this term's state of a service. Each intent is read once per term, since nobody else can write it meanwhile.
func (r *runner) addTermState(ctx context.Context, s *Service) error {
	for i := range s.Targets {
		t := &s.Targets[i]
		in, err := r.intent(ctx, t.Name)
		if err != nil {
			return err
		}
		if in.rev != 0 {
			t.Intent = &in.Intent
		}
		t.OrderedAt, t.OrderedState = r.lastOrders[t.Name].sentAt, r.lastOrders[t.Name].state
	}
	return nil
}

func (r *runner) intent(ctx context.Context, target string) (*intent, error) {
	if in, ok := r.intents[target]; ok {
		return in, nil
	}
	it, found, err := r.env.Store.Get(ctx, platformapi.KeyIntent+target)
	if err != nil {
		return nil, err
	}
	in := &intent{rev: it.Rev}
	if found && json.Unmarshal(it.Value, &in.Intent) != nil {
		in.Intent = Intent{} // undecodable: make the change again
	}
	r.intents[target] = in
	return in, nil
}

func (r *runner) execute(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, min(OrderTimeout, max(0, r.lease.Remaining())))
	defer cancel()
	switch s.Kind {
	case WriteIntent:
		return r.writeIntent(ctx, s.Target, Intent{Want: s.Want, Fence: r.term.Fence})
	case CloseIntent:
		return r.writeIntent(ctx, s.Target, Intent{Want: s.Want, Fence: r.term.Fence, Done: true})
	case SendOrders:
		return r.sendOrders(ctx, s)
	}
	if !r.lease.Valid() {
		return errLeaseEnded
	}
	return r.env.Drain(ctx, s.Target, s.Kind == Drain)
}

// writeIntent writes an intent conditional on the lease, so that only the holder of the term can write it.
func (r *runner) writeIntent(ctx context.Context, target string, in Intent) error {
	value, err := json.Marshal(in)
	if err != nil {
		return err
	}
	key := platformapi.KeyIntent + target
	res, err := r.env.Store.Txn(ctx, platformapi.Txn{
		Conds: []platformapi.Cond{r.lease.Cond(), {Key: key, Rev: r.intents[target].rev}},
		Puts:  []platformapi.Put{{Key: key, Value: value}},
	})
	if err != nil || !res.Committed {
		delete(r.intents, target) // it may have been written, or the cached revision was stale: read it again
		return errorx.DecorateMany("placement: write intent of "+target, err, commitError(res))
	}
	r.intents[target] = &intent{Intent: in, rev: res.Rev}
	return nil
}

func commitError(res platformapi.TxnResult) error {
	if res.Committed {
		return nil
	}
	return errorx.IllegalState.New("%d transaction conditions failed", len(res.Failed))
}

// sendOrders sends the orders of a step once the weight store allows its transfer to start. The lease is checked before each order: after a
// pause of the process, ctx may not have ended yet.
func (r *runner) sendOrders(ctx context.Context, s Step) error {
	if err := r.checkOrder(s); err != nil {
		return err
	}
	if time.Now().Before(r.transferAfter) {
		return nil
	}
	ok, after, err := r.env.Store.StartTransfer(ctx, s.Want.Model, s.Want.Version)
	if err != nil {
		return err
	}
	if !ok {
		r.transferAfter = time.Now().Add(after)
		return nil
	}
	for i, o := range s.Orders {
		o.ID = s.Target + "/" + strconv.FormatUint(o.Fence, 10) + "/" + strconv.Itoa(i)
		if !r.lease.Valid() {
			return errLeaseEnded
		}
		r.lastOrders[s.Target] = lastOrder{time.Now(), s.Want}
		if err := r.env.Order(ctx, s.Target, o); err != nil {
			return err
		}
	}
	return nil
}

// checkOrder fails for orders that are not covered by an open intent of this term: if this holder died, no successor would know of them.
func (r *runner) checkOrder(s Step) error {
	in := r.intents[s.Target]
	ok := in != nil && !in.Done && in.Fence == r.term.Fence && in.Want.equal(s.Want)
	return invariant.Check(ok, "placement_order_without_intent", "%s", s.Target)
}
