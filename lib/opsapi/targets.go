package opsapi

import (
	"cmp"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/settings"
)

// SilentAfter is the age of the last report from which a target is shown as silent.
const SilentAfter = 10 * time.Second

// TargetView is a process's knowledge of targets beyond the settings.
type TargetView struct {
	Report   func(target string) (*meshpb.TargetReport, time.Duration) // last report and its age; nil: none
	Draining func(target string) bool                                  // drained by an operator
}

// TargetsOf returns every target of snap, sorted by service and name; none if snap is nil.
func TargetsOf(snap *settings.Snapshot, v TargetView) []Target {
	out := []Target{}
	if snap == nil {
		return out
	}
	for _, svc := range snap.Services {
		for i := range svc.Targets {
			out = append(out, v.target(svc.Name, &svc.Targets[i]))
		}
	}
	slices.SortFunc(out, func(a, b Target) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func (v TargetView) target(service string, t *settings.Target) Target {
	out := Target{Service: service, Name: t.Name, Addr: t.Addr, FailureDomain: t.FailureDomain, State: TargetSilent}
	r, age := v.Report(t.Name)
	if r != nil {
		out.Running = int(r.GetRunning())
		out.KVUsed = int(r.GetKvUsed())
		out.KVTotal = int(r.GetKvTotal())
		out.Watts = r.GetWatts()
		out.Model = r.GetModel()
		out.ModelVersion = r.GetModelVersion()
		out.Fence = r.GetFence()
		out.ReportAgeMS = age.Milliseconds()
	}
	switch {
	case t.Draining || v.Draining(t.Name):
		out.State = TargetDraining
	case r != nil && r.GetLeaving():
		out.State = TargetLeaving
	case r != nil && age < SilentAfter:
		out.State = TargetLive
	}
	return out
}

// QueuesOf returns the shards described by digests.
func QueuesOf(digests []*meshpb.ShardDigest) []Queue {
	out := []Queue{}
	for _, d := range digests {
		out = append(out, Queue{
			Service: d.GetService(),
			Shard:   int(d.GetShard()),
			Queued:  int(d.GetQueued()),
			Running: int(d.GetRunning()),
			WaitMS:  int64(d.GetExpectedWaitMs()),
		})
	}
	return out
}
