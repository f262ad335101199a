package limit

import (
	"fmt"
	"testing"
	"time"
)

// bigNode returns an instance of a site of the target size: 430 instances and 480 workspaces with three classes, all in use
// here.
func bigNode(b *testing.B) (*Node, []Key) {
	b.Helper()
	n := NewNode(simBase, DefaultConfig, "entry-000", 1, func(Key) Limit { return Limit{Concurrency: 1000} })
	var members []string
	for i := range 430 {
		members = append(members, fmt.Sprintf("entry-%03d", i))
	}
	n.SetView(simBase, members)
	var keys []Key
	for w := range 480 {
		for c := range 3 {
			key := Key{Workspace: fmt.Sprint("workspace-", w), Class: fmt.Sprint("class-", c)}
			n.Acquire(simBase, key)
			keys = append(keys, key)
		}
	}
	return n, keys
}

func BenchmarkTick430(b *testing.B) {
	n, _ := bigNode(b)
	now := simBase
	for b.Loop() {
		now = now.Add(DefaultConfig.Interval)
		n.Tick(now)
	}
}

func BenchmarkRequestMore430(b *testing.B) {
	n, keys := bigNode(b)
	now := simBase
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		n.RequestMore(now, keys[i%len(keys)])
	}
}
