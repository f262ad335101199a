package replay

import (
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
)

// Times of lib/ownerlink, which does I/O and can't be played here.
const (
	tryTimeout = 50 * time.Millisecond
	tries      = 3
	waitAgain  = 200 * time.Millisecond
	stepEvery  = 10 * time.Millisecond

	outcomesTold = 4 * owner.ReportInterval
)

// desk is what an instance has for the shards that it may own.
type desk struct {
	*owner.Coordinator
	seq  uint64
	seen map[string]uint64
	told bool // its last reports were not empty

	outcomes map[string]*outcomes
	readings []owner.PrefillSample
}

type outcomes struct {
	owner.Outcomes
	changed time.Duration
}

// asking is a stream's ask under way.
type asking struct {
	key      owner.Key
	shard    *owner.Shard
	left     int // tries left of the candidate asked
	to       string
	waits    bool
	answered bool
}

// owned is the way in which owners decide for all.
type owned struct {
	s      *site
	layout *owner.Layout
	all    []owner.Instance
	byName map[string]*instance
	lastID uint64
}

func newOwned(s *site) *owned { return &owned{s: s, byName: make(map[string]*instance)} }

// listed lays the shards out anew. Instances that are gone stay listed.
func (o *owned) listed() {
	s := o.s
	if o.all == nil {
		for i, in := range s.instances {
			in.desk = &desk{
				Coordinator: owner.NewCoordinator(in.name, in.fleet, in.reading, s.clock()),
				seen:        make(map[string]uint64), outcomes: make(map[string]*outcomes),
			}
			in.desk.SetRandom(s.chance)
			capacity := uint32(1)
			if i < 3*s.load.Domains {
				capacity = 16
			}
			o.all = append(o.all, owner.Instance{Name: in.name, Domain: in.domain, Capacity: capacity})
			o.byName[in.name] = in
		}
	}
	if len(s.instances) > 0 {
		in := s.instances[0].fleet
		o.layout = owner.NewLayout(in.Engines(fleet.Ready), o.all)
	}
}

// firstInRank lists the instances that rank first to own a shard.
func (s *site) firstInRank() []*instance {
	o, ok := s.way.(*owned)
	if !ok {
		// The same instances under each policy.
		o = newOwned(s)
		o.listed()
	}
	var out []*instance
	for _, sh := range o.layout.All() {
		if in := o.byName[sh.Ranked[0].Name]; !slices.Contains(out, in) {
			out = append(out, in)
		}
	}
	return out
}

func (o *owned) decide(r *stream) bool {
	switch a := r.asked; {
	case a == nil:
		o.ask(r)
	case a.answered:
		return true
	default:
		o.askAgain(r, a)
	}
	return false
}

func (o *owned) ask(r *stream) {
	o.lastID++
	a := &asking{
		key:   owner.Key{Instance: r.inst.name, Incarnation: 1, ID: o.lastID},
		shard: o.layout.HomeShard(service, r.inst.domain, r.inst.name),
	}
	r.asked = a
	o.turnTo(r, a, o.order(r, a)[0].Name)
}

func (o *owned) order(r *stream, a *asking) []owner.Instance {
	return r.inst.desk.QueryOrder(o.s.clock(), a.shard)
}

func (o *owned) turnTo(r *stream, a *asking, to string) {
	a.to, a.left, a.waits = to, tries, false
	o.sendAsk(r, a)
}

// askAgain sends the ask again, or to the next candidate.
func (o *owned) askAgain(r *stream, a *asking) {
	if a.left > 0 {
		o.sendAsk(r, a)
		return
	}
	r.inst.desk.Suspect(o.s.clock(), a.to)
	if next := o.order(r, a)[0].Name; next != a.to {
		o.turnTo(r, a, next)
		return
	}
	a.answered = true // nobody is left to ask; the product would decide alone
	o.s.turnAway(r, time.Second)
}

func (o *owned) sendAsk(r *stream, a *asking) {
	a.left--
	r.next = o.s.now + tryTimeout
	if a.waits {
		r.next = o.s.now + waitAgain
	}
	ask := owner.PlaceRequest{Key: a.key, Run: r.id, Fingerprint: r.id, Stream: r.admitted()}
	o.s.tell(hop, func() { o.handle(a.to, a.shard, r, a, ask) })
}

// handle is an ask reaching an instance.
func (o *owned) handle(at string, sh *owner.Shard, r *stream, a *asking, ask owner.PlaceRequest) {
	in := o.byName[at]
	if in.gone || r.asked != a {
		return
	}
	if !o.s.pol.Stay {
		o.dispose(in, r, a, in.desk.Handle(o.s.clock(), sh, ask))
		return
	}
	answer, ok := in.desk.Place(o.s.clock(), sh, ask)
	if !ok {
		answer = owner.Answer{Key: ask.Key, Action: admit.Wait}
	}
	o.answer(in, r, a, answer)
}

// dispose answers an ask or passes it on.
func (o *owned) dispose(in *instance, r *stream, a *asking, rep owner.Disposition) {
	if rep.Forward {
		o.s.tell(hop, func() { o.handle(rep.To.Name, rep.Shard, r, a, rep.Request) })
		return
	}
	o.answer(in, r, a, rep.Answer)
}

func (o *owned) answer(in *instance, r *stream, a *asking, answer owner.Answer) {
	o.s.tell(hop, func() { o.take(in.name, r, a, answer) })
}

// take is an answer reaching the instance that asked.
func (o *owned) take(from string, r *stream, a *asking, answer owner.Answer) {
	if r.inst.gone || r.asked != a || a.answered {
		return
	}
	d := r.inst.desk
	d.ClearSuspect(from)
	d.seen[from] = max(d.seen[from], answer.Serial)
	if answer.Action == admit.Wait {
		a.waits, a.left = true, tries
		r.next = o.s.now + waitAgain
		return
	}
	a.answered = true
	target, _ := r.inst.fleet.Info(answer.Target)
	target.ID = answer.Target
	o.s.settle(r, admit.Decision{Action: answer.Action, Target: target, RetryAfter: answer.After})
	r.unread = answer.Estimate.Load.Unread
}

func (o *owned) sent(r *stream) { o.s.changed(r.inst) }

func (o *owned) ended(r *stream, out fleet.Outcome) {
	d := r.inst.desk
	c := d.outcomes[r.engine.ID]
	if c == nil {
		c = &outcomes{Outcomes: owner.Outcomes{Target: r.engine.ID}}
		d.outcomes[r.engine.ID] = c
	}
	c.changed = o.s.now
	switch out {
	case fleet.Served:
		c.Served++
	case fleet.Failed:
		c.Failed++
	}
}

func (o *owned) read(r *stream) {
	d := r.inst.desk
	d.readings = append(d.readings, owner.PrefillSample{Service: service, Unread: r.unread, Took: o.s.now - r.sent})
}

func (o *owned) step() {
	s := o.s
	for _, in := range s.instances {
		if s.now%stepEvery == 0 && in.desk.HasWaiting() {
			o.decideWaiting(in)
		}
		if s.now%owner.ForwardInterval == 0 && in.desk.HasWaiting() && !s.pol.Stay {
			o.passWaiting(in)
		}
		if s.now%owner.HeartbeatInterval == 0 {
			o.beat(in)
		}
		if s.now >= in.changed {
			in.changed = s.now + owner.ReportInterval
			in.desk.Tick(s.clock())
			o.report(in)
		}
	}
}

func (o *owned) decideWaiting(in *instance) {
	for _, answer := range in.desk.DecideWaiting(o.s.clock()) {
		if r := o.asker(answer.Key); r != nil {
			o.answer(in, r, r.asked, answer)
		}
	}
}

func (o *owned) passWaiting(in *instance) {
	for _, rep := range in.desk.ForwardWaiting(o.s.clock()) {
		if r := o.asker(rep.Request.Key); r != nil {
			o.dispose(in, r, r.asked, rep)
		}
	}
}

// asker returns the stream that an ask is for; nil when it has gone.
func (o *owned) asker(k owner.Key) *stream {
	for _, r := range o.byName[k.Instance].waiting {
		if r.asked != nil && r.asked.key == k {
			return r
		}
	}
	return nil
}

func (o *owned) beat(in *instance) {
	now := o.s.clock()
	to := make(map[string]bool)
	b := owner.Heartbeat{Instance: in.name, Incarnation: 1, Fills: make(map[string]owner.Fill)}
	for _, sh := range o.layout.All() {
		if !sh.IsCandidate(in.name) {
			continue
		}
		addNames(to, sh)
		if at, ok := in.desk.ActingOwner(now, sh); !ok || at.Name != in.name {
			continue
		}
		b.Fills[sh.Key] = in.desk.UpdateFill(now, sh)
		for _, n := range sh.Neighbours() {
			addNames(to, n)
		}
	}
	delete(to, in.name)
	b.Cold, _ = in.desk.State(now)
	for _, name := range slices.Sorted(maps.Keys(to)) {
		o.s.tell(hop, func() { o.byName[name].desk.ReceiveHeartbeat(o.s.clock(), b) })
	}
}

func addNames(to map[string]bool, sh *owner.Shard) {
	for _, in := range sh.Ranked {
		to[in.Name] = true
	}
}

// report tells the first two candidates of each shard what an instance has there.
func (o *owned) report(in *instance) {
	d := in.desk
	var runs []owner.Run
	for _, r := range sorted(in.runs) {
		runs = append(runs, owner.Run{
			ID: r.id, Target: r.engine.ID, Tokens: r.prompt + r.made, Expected: max(0, r.load.Tokens-r.prompt-r.made),
			Unread: r.load.Unread, Remaining: r.size().Remaining,
		})
	}
	shardOf := o.shardOf(in)
	reports := owner.ByShard(shardOf, runs, nil)
	d.seq++
	for _, sh := range o.layout.All() {
		rep, has := reports[sh.Key]
		for _, target := range slices.Sorted(maps.Keys(d.outcomes)) {
			c := d.outcomes[target]
			if shardOf(target) == sh && o.s.now-c.changed < outcomesTold {
				rep.Outcomes = append(rep.Outcomes, c.Outcomes)
				has = true
			}
		}
		if !has && !d.told {
			continue
		}
		rep.PrefillSamples = d.readings
		rep.Shard, rep.Instance, rep.Incarnation, rep.Seq = sh.Key, in.name, 1, d.seq
		o.sendReport(in, sh, rep)
	}
	d.told = len(runs) > 0
	d.readings = nil
}

// shardOf returns what tells an instance the shards of engines.
func (o *owned) shardOf(in *instance) func(engine string) *owner.Shard {
	return func(engine string) *owner.Shard {
		t, known := in.fleet.Info(engine)
		if !known {
			return nil
		}
		return o.layout.ShardOf(t)
	}
}

func (o *owned) sendReport(in *instance, sh *owner.Shard, rep owner.Report) {
	to := sh.Ranked[:min(2, len(sh.Ranked))]
	if o.s.pol.Forget {
		to = to[:1]
		if at, ok := o.byName[sh.Ranked[1].Name].desk.ActingOwner(o.s.clock(), sh); ok {
			to = []owner.Instance{at}
		}
	}
	for _, c := range to {
		other := o.byName[c.Name]
		rep := rep
		rep.LastGrant = in.desk.seen[c.Name]
		if other == in {
			in.desk.Report(o.s.clock(), rep)
			continue
		}
		o.s.tell(hop, func() {
			if !other.gone {
				other.desk.Report(o.s.clock(), rep)
			}
		})
	}
}
