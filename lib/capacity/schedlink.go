package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/member"
	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/placer"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/schedlink"
	"anvilwick.example/anvilwick/lib/shard"
)

// Placements is the measured cost of placement requests to another entry.
type Placements struct {
	Rate        float64       // generations a second, as measured
	UpBytes     float64       // to the owner, for each generation
	DownBytes   float64       // from the owner, for each generation
	CPUPerGen   time.Duration // of both entries together
	Generations int
}

// PlacementLoad is the load of placement requests.
type PlacementLoad struct {
	Rate     int           // generations a second
	Duration time.Duration // of the run
	Lifetime time.Duration // of a generation
	Prefixes int           // hashes of prompt prefixes in a request
	Progress time.Duration // between an entry's reports of progress
}

const capacityService = "service"

// fixedMembers is a membership view that never changes.
type fixedMembers struct{ view *member.View }

func (m fixedMembers) View() *member.View       { return m.view }
func (m fixedMembers) Changed() <-chan struct{} { return nil }
func (m fixedMembers) Digests() []member.Digest { return nil }

// MeasurePlacements runs one entry that owns no shard and one owner over loopback. The policy grants placements at once, so
// only the cost of the exchange is measured.
func MeasurePlacements(ctx context.Context, load PlacementLoad) (Placements, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var members []member.Member
	var nodes []*mesh.Node
	for _, name := range []string{"a", "b"} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return Placements{}, err
		}
		node, err := mesh.New(mesh.Options{Self: mesh.Identity{Instance: name, Incarnation: 1}, Plaintext: true})
		if err != nil {
			return Placements{}, err
		}
		defer node.Close()
		nodes = append(nodes, node)
		members = append(members, member.Member{Instance: name, Incarnation: 1, MeshAddr: ln.Addr().String()})
		go node.Serve(ln)
	}
	var links []*schedlink.Link
	for i, node := range nodes {
		links = append(links, newPlacementLink(ctx, node, fixedMembers{&member.View{Self: members[i], Members: members}}, load.Progress))
	}
	id := shard.ID{Service: capacityService}
	owner := shard.Assign([]shard.ID{id}, members)[id]
	requester := 0
	if owner.Instance == members[0].Instance {
		requester = 1
	}
	return requestPlacements(ctx, links[requester], nodes[requester], load)
}

func newPlacementLink(ctx context.Context, node *mesh.Node, members fixedMembers, progress time.Duration) *schedlink.Link {
	host := schedlink.NewHost(ctx, schedlink.HostOptions{
		Self:      node.Self().Instance,
		NewPolicy: func(string) sched.Policy { return placer.NewLeastLoaded() },
		Poll:      func(context.Context, string, placer.Feed) func([]string) { return func([]string) {} },
	})
	node.Handle(meshpb.StreamKind_STREAM_SCHED, host.Serve)
	l := schedlink.NewLink(ctx, schedlink.LinkOptions{Self: node.Self().Instance, Node: node, Members: members, Host: host})
	var targets []sched.TargetSpec
	for i := range 28 {
		targets = append(targets, sched.TargetSpec{Name: fmt.Sprint("t", i)})
	}
	l.Apply(schedlink.Site{ProgressEvery: progress, Services: []schedlink.Service{{Name: capacityService, Targets: targets}}})
	go l.Run(ctx)
	return l
}

// requestPlacements submits at the load's rate, reports progress as an entry does, and ends each generation after its lifetime.
func requestPlacements(ctx context.Context, l *schedlink.Link, node *mesh.Node, load PlacementLoad) (Placements, error) {
	total := int(float64(load.Rate) * load.Duration.Seconds())
	var ended atomic.Int64
	sent0, recv0 := node.Bytes()
	cpu0, from := processTime(), time.Now()
	tick := time.NewTicker(time.Second / time.Duration(load.Rate))
	defer tick.Stop()
	for i := range total {
		<-tick.C
		go runGeneration(l, ids.From(1, uint64(i)), load, &ended)
	}
	for end := time.Now().Add(load.Lifetime + 5*time.Second); ended.Load() < int64(total); time.Sleep(time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return Placements{}, errors.New("generations did not end in time")
		}
	}
	took := time.Since(from)
	sent, recv := node.Bytes()
	return Placements{
		Rate:        float64(total) / took.Seconds(),
		UpBytes:     float64(sent-sent0) / float64(total),
		DownBytes:   float64(recv-recv0) / float64(total),
		CPUPerGen:   (processTime() - cpu0) / time.Duration(total),
		Generations: total,
	}, nil
}

func runGeneration(l *schedlink.Link, g ids.Generation, load PlacementLoad, ended *atomic.Int64) {
	granted := make(chan struct{}, 1)
	prefixes := make([]uint64, load.Prefixes)
	for i := range prefixes {
		prefixes[i] = uint64(i+1) * 0x9e3779b97f4a7c15
	}
	r := sched.Request{Gen: g, Workspace: "workspace", Class: "urgent", Attempt: 1, PromptTokens: 700, Prefixes: prefixes, Fingerprint: 1 << 60}
	l.Submit(capacityService, r, func(sched.Action) { granted <- struct{}{} })
	<-granted
	tick := time.NewTicker(load.Progress)
	defer tick.Stop()
	tokens := 0
	for end := time.Now().Add(load.Lifetime); time.Now().Before(end); {
		<-tick.C
		tokens += 2
		l.Progress(capacityService, g, 1, tokens)
	}
	l.End(capacityService, g, 1, tokens, sched.EndCompleted)
	ended.Add(1)
}
