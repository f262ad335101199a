// Package placer is the interface between an entry, which holds the callers' connections, and the component that decides where generations
// run.
//
// Runner drives one sched.Policy, the soft state of one shard, in real time. Local serves every service from Runners in this process. A
// remote implementation sends the same calls to the shard's owner; losing the owner costs performance but breaks no guarantee, because the
// entry itself numbers attempts and checks every frame.
package placer

import (
	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/sched"
)

// Notify receives the decisions on one generation. It may be called from any goroutine, in the order in which the decisions were made, and
// must return immediately without calling back into the Placer.
type Notify func(sched.Action)

// Placer finds targets for the generations of a service.
//
// For one generation the caller calls Submit, Progress any number of times, and End; then possibly Submit again with the next attempt. End
// of a queued attempt withdraws it. After End or ActRefuse, Notify is not called until the next Submit; a decision already in flight may
// still arrive and carries its attempt number.
type Placer interface {
	// Now returns the time on the clock of sched.Request.Deadline.
	Now() sched.Time
	// Submit requests a target. Exactly one ActGrant or ActRefuse follows, then possibly ActPreempt.
	Submit(service string, r sched.Request, notify Notify)
	// Progress reports how many tokens of the generation were delivered. It may be delayed and batched.
	Progress(service string, g ids.Generation, attempt uint32, tokens int)
	// End reports that an attempt has ended.
	End(service string, g ids.Generation, attempt uint32, tokens int, reason sched.EndReason)
}

// Feed receives updates of targets and settings for a deciding component. Runner implements it.
type Feed interface {
	SetTargets(targets []sched.TargetSpec)
	SetPolicy(f sched.PolicyFunc)
	Report(r sched.Report)
	TargetGone(target string)
	CacheSnapshot(target string, prefixes []uint64)
	CacheStored(target string, prefix uint64, stored bool)
}
