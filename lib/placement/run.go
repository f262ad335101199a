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

// Tick is the time between two plans.
const Tick = time.Second

// Store is the part of the platform's client that placement uses.
type Store interface {
	Txn(ctx context.Context, txn platformapi.Txn) (platformapi.TxnResult, error)
	Get(ctx context.Context, key string) (platformapi.Item, bool, error)
	StartTransfer(ctx context.Context, model, version string) (bool, time.Duration, error)
}

// Environment is how Run sees and reaches what is outside.
type Environment struct {
	Store Store
	// Services returns what the settings in force want, with each target's newest Report and Drained. Run fills in
	// Intent and Ordered.
	Services func() []Service
	// Order gives one order to an engine.
	Order func(ctx context.Context, target string, o engineapi.Order) error
	// Drain keeps new work from a target, or lets it have it again.
	Drain func(ctx context.Context, target string, on bool) error
}

// errLost ends a step whose lease has ended.
var errLost = errorx.IllegalState.New("placement: the lease has ended")

// runner is one term.
type runner struct {
	site    Environment
	held    *lease.Held
	term    Term
	intents map[string]*intent // by target
	ordered map[string]order   // the last of each target
	notYet  time.Time          // the weight store's time to come back
}

type order struct {
	at   time.Time
	want State
}

type intent struct {
	Intent
	rev uint64
}

// Run places models until ctx ends. It is the work of a lease: see lease.Run.
func Run(ctx context.Context, h *lease.Held, site Environment) {
	r := &runner{
		site:    site,
		held:    h,
		term:    Term{Fence: h.Fence(), Since: time.Now()},
		intents: map[string]*intent{},
		ordered: map[string]order{},
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

// tick takes one step for each service. A step that fails is planned again at the next tick.
func (r *runner) tick(ctx context.Context) {
	for _, s := range r.site.Services() {
		if err := r.fill(ctx, &s); err != nil {
			logStep(Step{Target: s.Name}, "read_intents", err)
			continue
		}
		step, ok := Plan(time.Now(), r.term, s)
		if !ok {
			continue
		}
		logStep(step, "step", r.take(ctx, step))
	}
}

func logStep(s Step, what string, err error) {
	e := log.Info()
	if err != nil {
		e = log.Warn().Str("error", err.Error())
	}
	e.Str("event", "placement_"+what).Str("target", s.Target).Int("kind", int(s.Kind)).Str("model", s.Want.Model).
		Str("version", s.Want.Version).Msg("")
}

// fill adds this term's knowledge to a service. Each intent is read once in a term: nobody else can write it then.
func (r *runner) fill(ctx context.Context, s *Service) error {
	for i := range s.Targets {
		t := &s.Targets[i]
		in, err := r.intent(ctx, t.Name)
		if err != nil {
			return err
		}
		if in.rev != 0 {
			t.Intent = &in.Intent
		}
		t.OrderedAt, t.OrderedState = r.ordered[t.Name].at, r.ordered[t.Name].want
	}
	return nil
}

func (r *runner) intent(ctx context.Context, target string) (*intent, error) {
	if in, ok := r.intents[target]; ok {
		return in, nil
	}
	it, found, err := r.site.Store.Get(ctx, platformapi.KeyIntent+target)
	if err != nil {
		return nil, err
	}
	in := &intent{rev: it.Rev}
	if found && json.Unmarshal(it.Value, &in.Intent) != nil {
		in.Intent = Intent{} // unreadable: a change to be made again
	}
	r.intents[target] = in
	return in, nil
}

func (r *runner) take(ctx context.Context, s Step) error {
	ctx, cancel := context.WithTimeout(ctx, min(OrderTimeout, max(0, r.held.Left())))
	defer cancel()
	switch s.Kind {
	case WriteIntent:
		return r.write(ctx, s.Target, Intent{Want: s.Want, Fence: r.term.Fence})
	case CloseIntent:
		return r.write(ctx, s.Target, Intent{Want: s.Want, Fence: r.term.Fence, Done: true})
	case SendOrders:
		return r.order(ctx, s)
	}
	if !r.held.Valid() {
		return errLost
	}
	return r.site.Drain(ctx, s.Target, s.Kind == Drain)
}

// write puts an intent under the lease's condition, so that only the holder of the term can.
func (r *runner) write(ctx context.Context, target string, in Intent) error {
	value, err := json.Marshal(in)
	if err != nil {
		return err
	}
	key := platformapi.KeyIntent + target
	res, err := r.site.Store.Txn(ctx, platformapi.Txn{
		Conds: []platformapi.Cond{r.held.Cond(), {Key: key, Rev: r.intents[target].rev}},
		Puts:  []platformapi.Put{{Key: key, Value: value}},
	})
	if err != nil || !res.Committed {
		delete(r.intents, target) // it may have been written, or an old read was in the way: read it again
		return errorx.DecorateMany("intent of "+target, err, notCommitted(res))
	}
	r.intents[target] = &intent{Intent: in, rev: res.Rev}
	return nil
}

func notCommitted(res platformapi.TxnResult) error {
	if res.Committed {
		return nil
	}
	return errorx.IllegalState.New("%d conditions did not hold", len(res.Failed))
}

// order gives the orders of a step, once the weight store lets its transfer start. Valid is asked before each: after
// a pause, ctx may not have ended yet.
func (r *runner) order(ctx context.Context, s Step) error {
	if err := r.mayOrder(s); err != nil {
		return err
	}
	if time.Now().Before(r.notYet) {
		return nil
	}
	ok, after, err := r.site.Store.StartTransfer(ctx, s.Want.Model, s.Want.Version)
	if err != nil {
		return err
	}
	if !ok {
		r.notYet = time.Now().Add(after)
		return nil
	}
	for i, o := range s.Orders {
		o.ID = s.Target + "/" + strconv.FormatUint(o.Fence, 10) + "/" + strconv.Itoa(i)
		if !r.held.Valid() {
			return errLost
		}
		r.ordered[s.Target] = order{time.Now(), s.Want}
		if err := r.site.Order(ctx, s.Target, o); err != nil {
			return err
		}
	}
	return nil
}

// mayOrder stops orders that no open intent of this term covers: after this holder's death nobody would know of them.
func (r *runner) mayOrder(s Step) error {
	in := r.intents[s.Target]
	ok := in != nil && !in.Done && in.Fence == r.term.Fence && in.Want.equal(s.Want)
	return invariant.Check(ok, "placement_order_without_intent", "%s", s.Target)
}
