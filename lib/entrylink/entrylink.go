// Package entrylink is the entry's end of the local link: it turns what the control process sends into settings in
// force, drains, power shares and the instance list, and reports the entry's state and its targets' back.
//
// The entry needs none of it from one moment to the next: while the control process is away, what was sent last holds.
package entrylink

import (
	"context"
	"sync"
	"time"

	"anvilwick.example/anvilwick/lib/engineapi"
	"anvilwick.example/anvilwick/lib/locallink"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/settings"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// DefaultInterval is the time between reports to the control process.
const DefaultInterval = time.Second

const sourceControl = "control"

// Options connect a Link to its entry. Functions are called one at a time; a nil one is left out.
type Options struct {
	Instance string
	Sync     *settingsync.Sync // holds the settings of this process; the caller runs it
	Apply    func(*settings.Snapshot)
	View     func(*meshpb.View)
	Power    func(share *meshpb.PowerShare)
	Status   func() *meshpb.EntryStatus
	Interval time.Duration // default DefaultInterval
}

// Link is the entry's end.
type Link struct {
	opts Options

	told    chan struct{} // closed once the control process has sent its drains, and the settings after them
	tell    sync.Once
	mu      sync.Mutex
	drains  map[string]bool
	reports map[string]taken
	changed chan struct{}
}

// taken is a target's report with the time at which it was true.
type taken struct {
	rep *engineapi.LoadReport
	at  time.Time
}

// New returns a Link that was told nothing yet.
func New(o Options) *Link {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Link{
		opts:    o,
		told:    make(chan struct{}),
		drains:  map[string]bool{},
		reports: map[string]taken{},
		changed: make(chan struct{}, 1),
	}
}

// Server returns the link's server, to be set as a node's handler.
func (l *Link) Server() *locallink.Server {
	return &locallink.Server{Instance: l.opts.Instance, Down: l.Down, Up: l.Up, Interval: l.opts.Interval}
}

// Down takes one message of the control process.
func (l *Link) Down(m *meshpb.LocalDown) {
	switch m := m.GetMsg().(type) {
	case *meshpb.LocalDown_Settings:
		l.opts.Sync.Learn(m.Settings, sourceControl)
		l.tell.Do(func() { close(l.told) })
	case *meshpb.LocalDown_View:
		if l.opts.View != nil {
			l.opts.View(m.View)
		}
	case *meshpb.LocalDown_Power:
		if l.opts.Power != nil {
			l.opts.Power(m.Power)
		}
	case *meshpb.LocalDown_Drain:
		l.setDrain(m.Drain.GetTarget(), m.Drain.GetOn())
	}
}

func (l *Link) setDrain(target string, on bool) {
	l.mu.Lock()
	if on {
		l.drains[target] = true
	} else {
		delete(l.drains, target)
	}
	l.mu.Unlock()
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// drainWait bounds how long a new entry waits to be told of drains. It leaves room in the three seconds after which a
// leaving target gets nothing new.
const drainWait = 2 * time.Second

// awaitDrains waits until the control process has told of drains. Peers give a new entry its settings at once, and drains
// come from the control process alone: without the wait, targets that were drained long ago would get new work. A control
// process that is dead or cut off delays the entry by drainWait and no longer.
func (l *Link) awaitDrains(ctx context.Context) {
	t := time.NewTimer(drainWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-l.told:
	case <-t.C:
	}
}

// Run brings each revision, and each change of drains, into force until ctx is done.
func (l *Link) Run(ctx context.Context) {
	l.awaitDrains(ctx)
	for {
		updated := l.opts.Sync.Updated()
		if held := l.opts.Sync.Current(); held != nil {
			l.opts.Apply(l.overlay(held.Snapshot))
		}
		select {
		case <-ctx.Done():
			return
		case <-updated:
		case <-l.changed:
		}
	}
}

// overlay returns snap with operators' drains put on its targets; snap itself is shared and stays as it is.
func (l *Link) overlay(snap *settings.Snapshot) *settings.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.drains) == 0 {
		return snap
	}
	out := *snap
	out.Services = make(map[string]*settings.Service, len(snap.Services))
	for name, svc := range snap.Services {
		out.Services[name] = drained(svc, l.drains)
	}
	return &out
}

func drained(svc *settings.Service, drains map[string]bool) *settings.Service {
	out := *svc
	out.Targets = append([]settings.Target(nil), svc.Targets...)
	for i := range out.Targets {
		t := &out.Targets[i]
		t.Draining = t.Draining || drains[t.Name]
	}
	return &out
}

// Report takes a target's load report, to be passed on.
func (l *Link) Report(target string, rep *engineapi.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[target] = taken{rep, time.Now().Add(-time.Duration(rep.AgeMS) * time.Millisecond)}
}

// Up returns the messages of one round.
func (l *Link) Up() []*meshpb.LocalUp {
	var msgs []*meshpb.LocalUp
	if l.opts.Status != nil {
		msgs = append(msgs, &meshpb.LocalUp{Msg: &meshpb.LocalUp_Status{Status: l.opts.Status()}})
	}
	return append(msgs, &meshpb.LocalUp{Msg: &meshpb.LocalUp_Reports{Reports: l.targetReports(time.Now())}})
}

// forgetAfter is how long the last report of a target is passed on.
const forgetAfter = time.Minute

func (l *Link) targetReports(now time.Time) *meshpb.TargetReports {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &meshpb.TargetReports{}
	for name, t := range l.reports {
		age := now.Sub(t.at)
		if age > forgetAfter {
			delete(l.reports, name)
			continue
		}
		out.Targets = append(out.Targets, t.message(name, age))
	}
	return out
}

func (t taken) message(name string, age time.Duration) *meshpb.TargetReport {
	return &meshpb.TargetReport{
		Target:       name,
		Watts:        t.rep.Watts,
		Running:      uint32(t.rep.Running),
		KvUsed:       uint64(t.rep.KVUsed),
		KvTotal:      uint64(t.rep.KVTotal),
		Model:        t.rep.Model,
		ModelVersion: t.rep.ModelVersion,
		Fence:        t.rep.Fence,
		Leaving:      t.rep.Leaving,
		AgeMs:        age.Milliseconds(),
	}
}

// LastReport returns a target's last report and its age; nil when there is none.
func (l *Link) LastReport(target string) (*meshpb.TargetReport, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.reports[target]
	if !ok {
		return nil, 0
	}
	age := time.Since(t.at)
	return t.message(target, age), age
}
