// Package entrylink is the entry's end of the local link to the control process. It applies the settings, drains, power
// shares and instance list that the control process sends, and reports the state of the entry and its targets back.
//
// The entry does not depend on the link at run time: while the control process is unavailable, the last values received
// stay in effect.
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

// Options connects a Link to its entry. The callbacks are called one at a time; nil ones are skipped.
type Options struct {
	Instance string
	Sync     *settingsync.Sync // holds the process's settings; run by the caller
	Apply    func(*settings.Snapshot)
	View     func(*meshpb.View)
	Power    func(share *meshpb.PowerShare)
	Status   func() *meshpb.EntryStatus
	Interval time.Duration // default DefaultInterval
}

// Link is the entry's end of the local link.
type Link struct {
	opts Options

	drainsReceived chan struct{} // closed when the first settings arrive; the control process sends its drains before them
	drainsOnce     sync.Once
	mu             sync.Mutex
	drains         map[string]bool
	reports        map[string]timedReport
	changed        chan struct{}
}

// timedReport is a target's load report with the time at which it was measured.
type timedReport struct {
	report     *engineapi.LoadReport
	measuredAt time.Time
}

// New returns a Link that has received nothing yet.
func New(o Options) *Link {
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	return &Link{
		opts:           o,
		drainsReceived: make(chan struct{}),
		drains:         map[string]bool{},
		reports:        map[string]timedReport{},
		changed:        make(chan struct{}, 1),
	}
}

// Server returns the link's server, to be registered as a node's handler.
func (l *Link) Server() *locallink.Server {
	return &locallink.Server{Instance: l.opts.Instance, OnMessage: l.HandleDown, Reports: l.UpMessages, Interval: l.opts.Interval}
}

// HandleDown applies one message from the control process.
func (l *Link) HandleDown(m *meshpb.LocalDown) {
	switch m := m.GetMsg().(type) {
	case *meshpb.LocalDown_Settings:
		l.opts.Sync.Receive(m.Settings, sourceControl)
		l.drainsOnce.Do(func() { close(l.drainsReceived) })
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

// drainWait bounds how long a new entry waits for the control process's drains. It fits into the three seconds after which
// a draining target must receive no new work.
const drainWait = 2 * time.Second

// awaitDrains waits until the control process has sent its drains. Peers give a new entry its settings at once, but drains
// come only from the control process: without the wait, targets drained long ago would receive new work. A dead or
// partitioned control process delays the entry by at most drainWait.
func (l *Link) awaitDrains(ctx context.Context) {
	t := time.NewTimer(drainWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-l.drainsReceived:
	case <-t.C:
	}
}

// Run applies each settings revision and each change of drains until ctx is done.
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

// overlay returns snap with the operators' drains applied to its targets. snap itself is shared and not modified.
func (l *Link) overlay(snap *settings.Snapshot) *settings.Snapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.drains) == 0 {
		return snap
	}
	out := *snap
	out.Services = make(map[string]*settings.Service, len(snap.Services))
	for name, svc := range snap.Services {
		out.Services[name] = withDrains(svc, l.drains)
	}
	return &out
}

func withDrains(svc *settings.Service, drains map[string]bool) *settings.Service {
	out := *svc
	out.Targets = append([]settings.Target(nil), svc.Targets...)
	for i := range out.Targets {
		t := &out.Targets[i]
		t.Draining = t.Draining || drains[t.Name]
	}
	return &out
}

// Report stores a target's load report for the next round of reports.
func (l *Link) Report(target string, rep *engineapi.LoadReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[target] = timedReport{rep, time.Now().Add(-time.Duration(rep.AgeMS) * time.Millisecond)}
}

// UpMessages returns the messages of one reporting round.
func (l *Link) UpMessages() []*meshpb.LocalUp {
	var msgs []*meshpb.LocalUp
	if l.opts.Status != nil {
		msgs = append(msgs, &meshpb.LocalUp{Msg: &meshpb.LocalUp_Status{Status: l.opts.Status()}})
	}
	return append(msgs, &meshpb.LocalUp{Msg: &meshpb.LocalUp_Reports{Reports: l.targetReports(time.Now())}})
}

// reportRetention is how long the last report of a target is forwarded.
const reportRetention = time.Minute

func (l *Link) targetReports(now time.Time) *meshpb.TargetReports {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &meshpb.TargetReports{}
	for name, t := range l.reports {
		age := now.Sub(t.measuredAt)
		if age > reportRetention {
			delete(l.reports, name)
			continue
		}
		out.Targets = append(out.Targets, t.message(name, age))
	}
	return out
}

func (t timedReport) message(name string, age time.Duration) *meshpb.TargetReport {
	return &meshpb.TargetReport{
		Target:       name,
		Watts:        t.report.Watts,
		Running:      uint32(t.report.Running),
		KvUsed:       uint64(t.report.KVUsed),
		KvTotal:      uint64(t.report.KVTotal),
		Model:        t.report.Model,
		ModelVersion: t.report.ModelVersion,
		Fence:        t.report.Fence,
		Leaving:      t.report.Leaving,
		AgeMs:        age.Milliseconds(),
	}
}

// LastReport returns a target's last report and its age, or nil if there is none.
func (l *Link) LastReport(target string) (*meshpb.TargetReport, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.reports[target]
	if !ok {
		return nil, 0
	}
	age := time.Since(t.measuredAt)
	return t.message(target, age), age
}
