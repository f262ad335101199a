package sched

// Stats counts an Owner's decisions, for metrics and for the bench.
type Stats struct {
	Grants        uint64
	Refusals      uint64
	MovedFull     uint64 // preempted before an engine's memory ran out
	MovedUrgent   uint64 // preempted to free capacity for urgent work
	MovedPower    uint64 // preempted to get under the power cap
	MovedEvacuate uint64 // preempted because the target is gone, leaving or silent
}

// Stats returns the counts so far.
func (o *Owner) Stats() Stats { return o.stats }
