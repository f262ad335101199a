package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/owner"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

func TestParseLoad(t *testing.T) {
	for value, want := range map[string]load{
		"":               {},
		"3,1,8":          {running: 3, waiting: 1, known: true},
		" 3 , 1 ":        {running: 3, waiting: 1, known: true},
		"3,1,8,100":      {running: 3, waiting: 1, known: true, slowdown: 1},
		"3,1,8,250":      {running: 3, waiting: 1, known: true, slowdown: 2.5},
		"3,1,8, 95 ,x":   {running: 3, waiting: 1, known: true, slowdown: 0.95},
		"3,1,8,":         {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3,1,8,0":        {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3,1,8,-100":     {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3,1,8,1e9":      {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3,1,8,NaN":      {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3,1,8,Inf":      {running: 3, waiting: 1, known: true, fault: slowdownFault},
		"3":              {fault: loadMalformed},
		"3,":             {fault: loadMalformed},
		"-3,1,8,100":     {fault: loadMalformed},
		"3,1000000000,8": {fault: loadMalformed},
		"x,y,z,100":      {fault: loadMalformed},
	} {
		must.Eq(t, want, parseLoad(value), must.Sprint(value))
	}
}

// paceOwners collects the paces reported to owners.
type paceOwners struct {
	Owners
	paces     []owner.Pace
	announced []owner.Pace // slowdowns announced to all instances
}

func (o *paceOwners) RecordPace(p owner.Pace) { o.paces = append(o.paces, p) }

// A target's load header is torn for a while. Neither a choice nor an owner may use it; its valid figures are used as before.
func TestTornLoadHeaderIsIgnored(t *testing.T) {
	g := newTestGateway()
	owners := new(paceOwners)
	g.Owners = owners
	target := fleet.Info{ID: "t", Service: "s"}
	g.Fleet.Apply(time.Now(), []fleet.Info{target}, nil, 0)
	respond := func(value string) {
		g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Load": {value}}}, time.Now())
	}
	respond("3,1,8,150")
	for _, torn := range []string{"", "3", "3,1,8", "3,1,8,", "3,1,8,-5", "3,1,8,999999999", "x"} {
		respond(torn)
	}
	respond("3,1,8,100")
	must.Eq(t, []owner.Pace{{Target: "t", Slowdown: 1.5}, {Target: "t", Slowdown: 1}}, owners.paces)
}

// A target repeats its fault with each response. Only the first is logged. Targets of services without a slowdown have no fault.
func TestLoadFaultIsLoggedOnceForEachTarget(t *testing.T) {
	var m loadHeaders
	judge := func(target, value string) (string, bool) { return m.judge(fleet.Info{ID: target}, parseLoad(value)) }
	fault, first := judge("plain", "3,1,8")
	must.Eq(t, "", fault)
	must.False(t, first)
	_, _ = judge("a", "3,1,8,100")
	for i, value := range []string{"3,1,8", "3,1,8,x", ""} {
		fault, first = judge("a", value)
		must.NotEq(t, "", fault)
		must.Eq(t, i == 0, first)
	}
	fault, first = judge("b", "3,1,8,x")
	must.Eq(t, slowdownFault, fault)
	must.True(t, first)
	for i := range 2 * maxLoadHeaders {
		_, _ = judge(string(rune(i)), "x")
	}
	must.LessEq(t, maxLoadHeaders, len(m.byTarget))
}

// A target that named slowdowns is replaced by one of the same name that names none, as targets of most services do. That is no fault.
func TestNewIncarnationNeedNotNameSlowdowns(t *testing.T) {
	var m loadHeaders
	_, _ = m.judge(fleet.Info{ID: "a", Born: 1}, parseLoad("3,1,8,100"))
	fault, first := m.judge(fleet.Info{ID: "a", Born: 2}, parseLoad("3,1,8"))
	must.Eq(t, "", fault)
	must.False(t, first)
}

func (o *paceOwners) AnnounceSlowdown(t fleet.Info, factor float64) {
	o.announced = append(o.announced, owner.Pace{Target: t.ID, Slowdown: factor})
}

// A plain target is slowed down, and so is an engine. Peers choose among plain targets for themselves and must be informed, once.
func TestSlowdownOfPlainTargetIsAnnounced(t *testing.T) {
	g := newTestGateway()
	owners := new(paceOwners)
	g.Owners = owners
	g.Fleet.SetSpecs(map[string]fleet.Spec{"plain": {}, "engine": {KVTokens: 1000}})
	list := []fleet.Info{{ID: "p", Service: "plain"}, {ID: "e", Service: "engine"}}
	g.Fleet.Apply(time.Now(), list, nil, 0)
	for _, value := range []string{"3,1,6,100", "3,1,6,250", "3,1,6,250"} {
		for _, target := range list {
			g.ReadNotices(target, &wirehttp.Response{Status: 200, Header: http.Header{"Load": {value}}}, time.Now())
		}
	}
	must.Eq(t, []owner.Pace{{Target: "p", Slowdown: 2.5}}, owners.announced)
}
