package replay

import (
	"maps"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/admit"
	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
)

// Times of lib/ownerlink, which does I/O and can't run in virtual time.
const (
	attemptTimeout = 50 * time.Millisecond
	maxAttempts    = 3
	queuedTimeout  = 200 * time.Millisecond
	decideInterval = 10 * time.Millisecond

	outcomeRetention = 4 * owner.ReportInterval
)

// coordinator is an instance's state for the shards that it may own.
type coordinator struct {
	*owner.Coordinator
	seq          uint64
	lastGrants   map[string]uint64 // highest serial of the answers received, by instance
	reportedRuns bool              // the last reports contained runs

	outcomes       map[string]*targetOutcomes
	prefillSamples []owner.PrefillSample
	paces          map[string]*observedPace // by engine
	pacesReported  time.Duration            // time of the last regular report of paces
}

type targetOutcomes struct {
	owner.Outcomes
	changed time.Duration
}

// pendingRequest is a stream's placement request that has not been answered.
type pendingRequest struct {
	key          owner.Key
	shard        *owner.Shard
	attemptsLeft int    // attempts left with the current candidate
	candidate    string // current candidate
	queued       bool   // the candidate has queued the request
	answered     bool
}

// ownerDecider implements the strategy in which the owner of a shard decides for all instances.
type ownerDecider struct {
	s         *site
	layout    *owner.Layout
	instances []owner.Instance
	byName    map[string]*instance
	lastID    uint64
}

func newOwnerDecider(s *site) *ownerDecider {
	return &ownerDecider{s: s, byName: make(map[string]*instance)}
}

// engineListChanged recomputes the shard layout. Failed instances stay in it.
func (o *ownerDecider) engineListChanged() {
	s := o.s
	if o.instances == nil {
		for i, in := range s.instances {
			in.coordinator = &coordinator{
				Coordinator: owner.NewCoordinator(in.name, in.fleet, in.prefillRates, s.clock()),
				lastGrants:  make(map[string]uint64), outcomes: make(map[string]*targetOutcomes), paces: make(map[string]*observedPace),
			}
			in.coordinator.SetRandom(s.decisionRNG)
			if s.policy.NoForecast {
				in.coordinator.DisableForecast()
			}
			capacity := uint32(1)
			if i < 3*s.pattern.Domains {
				capacity = 16
			}
			o.instances = append(o.instances, owner.Instance{Name: in.name, Domain: in.domain, Capacity: capacity})
			o.byName[in.name] = in
		}
	}
	if len(s.instances) > 0 {
		in := s.instances[0].fleet
		o.layout = owner.NewLayout(in.Engines(fleet.Ready), o.instances)
	}
}

// firstRanked lists the instances that rank first as owner of some shard.
func (s *site) firstRanked() []*instance {
	o, ok := s.decider.(*ownerDecider)
	if !ok {
		// Other strategies have no layout; compute it so that the same instances fail under every policy.
		o = newOwnerDecider(s)
		o.engineListChanged()
	}
	var out []*instance
	for _, sh := range o.layout.All() {
		if in := o.byName[sh.Ranked[0].Name]; !slices.Contains(out, in) {
			out = append(out, in)
		}
	}
	return out
}

func (o *ownerDecider) decide(r *stream) bool {
	switch p := r.request; {
	case p == nil:
		o.startRequest(r)
	case p.answered:
		return true
	default:
		o.retryRequest(r, p)
	}
	return false
}

func (o *ownerDecider) startRequest(r *stream) {
	o.lastID++
	p := &pendingRequest{
		key:   owner.Key{Instance: r.instance.name, Incarnation: 1, ID: o.lastID},
		shard: o.layout.HomeShard(service, r.instance.domain, r.instance.name),
	}
	r.request = p
	o.queryCandidate(r, p, o.queryOrder(r, p)[0].Name)
}

func (o *ownerDecider) queryOrder(r *stream, p *pendingRequest) []owner.Instance {
	return r.instance.coordinator.QueryOrder(o.s.clock(), p.shard)
}

func (o *ownerDecider) queryCandidate(r *stream, p *pendingRequest, to string) {
	p.candidate, p.attemptsLeft, p.queued = to, maxAttempts, false
	o.sendRequest(r, p)
}

// retryRequest resends the request, or sends it to the next candidate once the attempts are used up.
func (o *ownerDecider) retryRequest(r *stream, p *pendingRequest) {
	if p.attemptsLeft > 0 {
		o.sendRequest(r, p)
		return
	}
	r.instance.coordinator.Suspect(o.s.clock(), p.candidate)
	if next := o.queryOrder(r, p)[0].Name; next != p.candidate {
		o.queryCandidate(r, p, next)
		return
	}
	p.answered = true // no candidate is left; the product would decide locally
	o.s.refuse(r, time.Second)
}

func (o *ownerDecider) sendRequest(r *stream, p *pendingRequest) {
	p.attemptsLeft--
	r.next = o.s.now + attemptTimeout
	if p.queued {
		r.next = o.s.now + queuedTimeout
	}
	req := owner.PlaceRequest{Key: p.key, Run: r.id, Fingerprint: r.id, Stream: o.s.admitted(r)}
	o.s.sendMessage(messageDelay, func() { o.handleRequest(p.candidate, p.shard, r, p, req) })
}

// handleRequest processes a placement request that arrives at an instance.
func (o *ownerDecider) handleRequest(to string, sh *owner.Shard, r *stream, p *pendingRequest, req owner.PlaceRequest) {
	in := o.byName[to]
	if in.failed || r.request != p {
		return
	}
	if !o.s.policy.NoForwarding {
		o.dispose(in, r, p, in.coordinator.Handle(o.s.clock(), sh, req))
		return
	}
	answer, ok := in.coordinator.Place(o.s.clock(), sh, req)
	if !ok {
		answer = owner.Answer{Key: req.Key, Action: admit.Wait}
	}
	o.sendAnswer(in, r, p, answer)
}

// dispose sends the answer to a request or forwards the request.
func (o *ownerDecider) dispose(in *instance, r *stream, p *pendingRequest, disposition owner.Disposition) {
	if disposition.Forward {
		o.s.sendMessage(messageDelay, func() { o.handleRequest(disposition.To.Name, disposition.Shard, r, p, disposition.Request) })
		return
	}
	o.sendAnswer(in, r, p, disposition.Answer)
}

func (o *ownerDecider) sendAnswer(in *instance, r *stream, p *pendingRequest, answer owner.Answer) {
	o.s.sendMessage(messageDelay, func() { o.receiveAnswer(in.name, r, p, answer) })
}

// receiveAnswer processes an answer that arrives at the requesting instance.
func (o *ownerDecider) receiveAnswer(from string, r *stream, p *pendingRequest, answer owner.Answer) {
	if r.instance.failed || r.request != p || p.answered {
		return
	}
	d := r.instance.coordinator
	d.ClearSuspect(from)
	d.lastGrants[from] = max(d.lastGrants[from], answer.Serial)
	if answer.Action == admit.Wait {
		p.queued, p.attemptsLeft = true, maxAttempts
		r.next = o.s.now + queuedTimeout
		return
	}
	p.answered = true
	target, _ := r.instance.fleet.Info(answer.Target)
	target.ID = answer.Target
	o.s.apply(r, admit.Decision{Action: answer.Action, Target: target, RetryAfter: answer.After})
	r.unread = answer.Estimate.Load.Unread
}

func (o *ownerDecider) streamSent(r *stream) { o.s.scheduleUpdate(r.instance) }

func (o *ownerDecider) streamEnded(r *stream, out fleet.Outcome) {
	d := r.instance.coordinator
	c := d.outcomes[r.engine.ID]
	if c == nil {
		c = &targetOutcomes{Outcomes: owner.Outcomes{Target: r.engine.ID}}
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

func (o *ownerDecider) firstEvent(r *stream) {
	d := r.instance.coordinator
	o.recordSlowdown(r)
	d.prefillSamples = append(d.prefillSamples, owner.PrefillSample{
		Service: service, Target: r.engine.ID, Unread: r.unread, Took: o.s.now - r.sent,
	})
}

func (o *ownerDecider) step() {
	s := o.s
	for _, in := range s.instances {
		if s.now%decideInterval == 0 && in.coordinator.HasWaiting() {
			o.decideWaiting(in)
		}
		if s.now%owner.ForwardInterval == 0 && in.coordinator.HasWaiting() && !s.policy.NoForwarding {
			o.forwardWaiting(in)
		}
		if s.now%owner.HeartbeatInterval == 0 {
			o.sendHeartbeats(in)
		}
		if s.now >= in.nextUpdate {
			in.nextUpdate = s.now + owner.ReportInterval
			in.coordinator.Tick(s.clock())
			o.sendReports(in)
		}
	}
}

func (o *ownerDecider) decideWaiting(in *instance) {
	for _, answer := range in.coordinator.DecideWaiting(o.s.clock()) {
		if r := o.streamFor(answer.Key); r != nil {
			o.sendAnswer(in, r, r.request, answer)
		}
	}
}

func (o *ownerDecider) forwardWaiting(in *instance) {
	for _, disposition := range in.coordinator.ForwardWaiting(o.s.clock()) {
		if r := o.streamFor(disposition.Request.Key); r != nil {
			o.dispose(in, r, r.request, disposition)
		}
	}
}

// streamFor returns the waiting stream of a placement request, or nil if it no longer waits.
func (o *ownerDecider) streamFor(k owner.Key) *stream {
	for _, r := range o.byName[k.Instance].waiting {
		if r.request != nil && r.request.key == k {
			return r
		}
	}
	return nil
}

func (o *ownerDecider) sendHeartbeats(in *instance) {
	now := o.s.clock()
	to := make(map[string]bool)
	heartbeat := owner.Heartbeat{Instance: in.name, Incarnation: 1, Fills: make(map[string]owner.Fill)}
	for _, sh := range o.layout.All() {
		if !sh.IsCandidate(in.name) {
			continue
		}
		addNames(to, sh)
		if at, ok := in.coordinator.ActingOwner(now, sh); !ok || at.Name != in.name {
			continue
		}
		heartbeat.Fills[sh.Key] = in.coordinator.UpdateFill(now, sh)
		for _, n := range sh.Neighbours() {
			addNames(to, n)
		}
	}
	delete(to, in.name)
	heartbeat.Cold, _ = in.coordinator.State(now)
	for _, name := range slices.Sorted(maps.Keys(to)) {
		o.s.sendMessage(messageDelay, func() { o.byName[name].coordinator.ReceiveHeartbeat(o.s.clock(), heartbeat) })
	}
}

func addNames(to map[string]bool, sh *owner.Shard) {
	for _, in := range sh.Ranked {
		to[in.Name] = true
	}
}

// sendReports sends an instance's runs and outcomes to the first two candidates of each shard.
func (o *ownerDecider) sendReports(in *instance) {
	d := in.coordinator
	var runs []owner.Run
	for _, r := range sorted(in.runs) {
		runs = append(runs, owner.Run{
			ID: r.id, Target: r.engine.ID, Tokens: r.prompt + r.emitted, Expected: max(0, r.load.Tokens-r.prompt-r.emitted),
			Unread: r.load.Unread, Remaining: r.size().Remaining,
		})
	}
	shardOf := o.shardOf(in)
	reports := owner.ByShard(shardOf, runs, nil)
	paces := o.takePaces(in, shardOf)
	d.seq++
	for _, sh := range o.layout.All() {
		rep, has := reports[sh.Key]
		for _, target := range slices.Sorted(maps.Keys(d.outcomes)) {
			c := d.outcomes[target]
			if shardOf(target) == sh && o.s.now-c.changed < outcomeRetention {
				rep.Outcomes = append(rep.Outcomes, c.Outcomes)
				has = true
			}
		}
		if len(paces[sh.Key]) > 0 {
			rep.Paces, has = paces[sh.Key], true
		}
		if !has && !d.reportedRuns {
			continue
		}
		rep.PrefillSamples = d.prefillSamples
		rep.Shard, rep.Instance, rep.Incarnation, rep.Seq = sh.Key, in.name, 1, d.seq
		o.sendReport(in, sh, rep)
	}
	d.reportedRuns = len(runs) > 0
	d.prefillSamples = nil
}

// shardOf returns a function that maps engines to shards as the instance knows them.
func (o *ownerDecider) shardOf(in *instance) func(engine string) *owner.Shard {
	return func(engine string) *owner.Shard {
		t, known := in.fleet.Info(engine)
		if !known {
			return nil
		}
		return o.layout.ShardOf(t)
	}
}

func (o *ownerDecider) sendReport(in *instance, sh *owner.Shard, rep owner.Report) {
	to := sh.Ranked[:min(2, len(sh.Ranked))]
	if o.s.policy.ColdStandby {
		to = to[:1]
		if at, ok := o.byName[sh.Ranked[1].Name].coordinator.ActingOwner(o.s.clock(), sh); ok {
			to = []owner.Instance{at}
		}
	}
	for _, c := range to {
		other := o.byName[c.Name]
		rep := rep
		rep.LastGrant = in.coordinator.lastGrants[c.Name]
		if other == in {
			in.coordinator.Report(o.s.clock(), rep)
			continue
		}
		o.s.sendMessage(messageDelay, func() {
			if !other.failed {
				other.coordinator.Report(o.s.clock(), rep)
			}
		})
	}
}
