// Package placer is the seam between an entry, which holds callers, and whoever decides where generations run.
//
// Runner drives one sched.Policy, the soft state of one shard, in real time. Local serves every service from Runners in
// this process. A remote implementation sends the same calls to the shard's owner; losing it costs speed, never a
// promise, because the entry itself numbers attempts and checks every frame.
package placer

import (
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

// Notify receives the decisions on one generation. It is called from any goroutine, in the order in which the decisions
// were made, and must return at once without calling back into the Placer.
type Notify func(sched.Action)

// Placer finds targets for the generations of a service.
//
// For one generation the caller's order is Submit, any number of Progress, End; then perhaps Submit again with the
// next attempt. End of an attempt still queued withdraws it. After End, or after ActRefuse, Notify is not called
// until the next Submit; a decision already on its way may still arrive, and carries its attempt number.
type Placer interface {
	// Now is the clock that sched.Request.Deadline is given on.
	Now() sched.Time
	// Submit asks for a place. Exactly one of ActGrant and ActRefuse follows, then possibly ActPreempt.
	Submit(service string, r sched.Request, notify Notify)
	// Progress tells how many tokens of the generation were delivered. It may be delayed and grouped.
	Progress(service string, g ids.Generation, attempt uint32, tokens int)
	// End tells that an attempt is over.
	End(service string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason)
}

// Feed is what a decider must be told about targets and settings, besides requests. Runner implements it.
type Feed interface {
	SetTargets(targets []sched.TargetSpec)
	SetPolicy(f sched.PolicyFunc)
	Report(r sched.Report)
	TargetGone(target string)
	CacheSnapshot(target string, prefixes []uint64)
	CacheStored(target string, prefix uint64, stored bool)
}
