package member_test

import (
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/member"
)

// Two instances exchange heartbeats by hand: the caller provides the transport and the clock.
func ExampleTable() {
	tableOf := func(name string) *member.Table {
		self := member.Member{Instance: name, Incarnation: 1, MeshAddr: name + ":7000"}
		return member.NewTable(0, member.Config{Self: self, Interval: time.Second})
	}
	a, b := tableOf("a"), tableOf("b")
	exchange := func(now time.Duration) {
		for _, o := range a.Tick(now) {
			if reply := b.HandleHeartbeat(now, o.Heartbeat); reply != nil {
				a.HandleHeartbeat(now, reply)
			}
		}
	}

	// a learns of b from the platform's list; b learns of a from the first heartbeat.
	a.SetInstances(0, []member.Member{b.Self()})
	exchange(1 * time.Second)
	for _, m := range b.View().Members {
		fmt.Println("b knows", m.Instance, m.State)
	}

	// b announces that it is leaving, in its reply to the next heartbeat.
	b.Leave()
	exchange(2 * time.Second)
	m, _ := a.Get("b")
	fmt.Println("b takes work:", m.AcceptsWork())

	// b stops without further messages: it becomes suspect, then dead.
	for now := 3 * time.Second; now < 13*time.Second; now += time.Second {
		a.Tick(now)
	}
	m, _ = a.Get("b")
	fmt.Println("b is", m.State)

	// Output:
	// b knows a live
	// b knows b live
	// b takes work: false
	// b is dead
}
