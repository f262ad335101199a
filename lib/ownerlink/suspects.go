package ownerlink

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/suspect"
)

const (
	// judgeEvery is the period at which outcomes at plain targets are told and judged on a small site.
	judgeEvery = 300 * time.Millisecond
	// reportsMost bounds the reports a second that one that judges gets for a service, but for a burst of reportsBurst of each instance.
	// Where many instances have few requests each, all that they see is told at once.
	reportsMost  = 200
	reportsBurst = 3
	// repeatEvery is how often a verdict that holds on is told again. It outlives one that is lost.
	repeatEvery = suspect.VerdictTTL * 2 / 3
)

var suspectsTold = metrics.NewCounter(`anvilwick_owner_suspects_told_total`)

// plainOutcomes counts how this instance's requests ended at plain targets, and judges those of the services that it ranks for.
type plainOutcomes struct {
	mu    sync.Mutex
	of    map[string]map[string]*suspect.Count // by service, target
	fresh map[string]bool                      // services with outcomes that are not told yet
	judge *suspect.Detector
	told  map[string]time.Time // suspects, when they were last told
	tells *rate.Limiter        // of this instance's counts
	wake  chan struct{}        // there is something to tell or to judge
}

func newPlainOutcomes() plainOutcomes {
	return plainOutcomes{
		of: make(map[string]map[string]*suspect.Count), fresh: make(map[string]bool), judge: suspect.NewDetector(),
		told: make(map[string]time.Time), tells: rate.NewLimiter(rate.Every(judgeEvery), reportsBurst), wake: make(chan struct{}, 1),
	}
}

func (p *plainOutcomes) saw(service, target string, o fleet.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.of[service] == nil {
		p.of[service] = make(map[string]*suspect.Count)
	}
	c := p.of[service][target]
	if c == nil {
		c = &suspect.Count{Target: target}
		p.of[service][target] = c
	}
	switch o {
	case fleet.Served:
		c.Served++
	case fleet.Failed, fleet.Unreachable:
		c.Failed++
	default:
		return
	}
	p.fresh[service] = true
	notify(p.wake)
}

// busy reports whether there is something to tell or to judge.
func (p *plainOutcomes) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.fresh)+len(p.told) > 0 || p.judge.Active()
}

// take returns the counts that are to be told, and forgets targets that are gone.
func (p *plainOutcomes) take(gone func(target string) bool) map[string][]suspect.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]suspect.Count)
	for service := range p.fresh {
		for target, c := range p.of[service] {
			if gone(target) {
				delete(p.of[service], target)
				continue
			}
			out[service] = append(out[service], *c)
		}
	}
	clear(p.fresh)
	return out
}

// due returns the verdicts that are to be told now.
func (p *plainOutcomes) due(now time.Time) []suspect.Verdict {
	verdicts := p.judge.Verdicts(now)
	out := verdicts[:0]
	for _, v := range verdicts {
		if now.Sub(p.told[v.Target]) >= repeatEvery {
			p.told[v.Target] = now
			out = append(out, v)
		}
	}
	for target, at := range p.told {
		if now.Sub(at) > 2*suspect.VerdictTTL {
			delete(p.told, target)
		}
	}
	return out
}

// RecordPlainOutcome counts how a request of this instance ended at a target that nobody owns.
func (l *Link) RecordPlainOutcome(service, target string, o fleet.Outcome) {
	l.plain.saw(service, target, o)
}

// judge tells outcomes to those that judge, and verdicts to all. It rests while there is nothing to tell or to judge.
func (l *Link) judge(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.plain.wake:
		}
		for busy := true; busy; busy = l.plain.busy() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(judgeEvery):
			}
			l.judgeOnce(time.Now())
		}
	}
}

func (l *Link) judgeOnce(now time.Time) {
	l.plain.tells.SetLimitAt(now, rate.Every(l.reportEvery()))
	if l.plain.tells.AllowN(now, 1) {
		for service, counts := range l.plain.take(l.Fleet.IsLeaving) {
			l.tellCounts(service, counts)
		}
	}
	l.tellSuspects(now)
}

// reportEvery is how often this instance tells its counts when it always has some.
func (l *Link) reportEvery() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(judgeEvery, time.Duration(len(l.named))*time.Second/reportsMost)
}

func (l *Link) tellCounts(service string, counts []suspect.Count) {
	slices.SortFunc(counts, func(a, b suspect.Count) int { return int(b.Failed) - int(a.Failed) })
	counts = counts[:min(countsMax, len(counts))]
	d := l.own()
	body := &ownerpb.Counts{Service: service}
	for _, c := range counts {
		body.Counts = append(body.Counts, &ownerpb.Outcomes{Target: c.Target, Served: c.Served, Failed: c.Failed})
	}
	d.Body = &ownerpb.Datagram_Counts{Counts: body}
	for _, name := range suspect.Ranked(service, l.able()) {
		if name == l.Self.Name {
			l.handleCounts(d, body)
			continue
		}
		l.send(l.addrOf(name), d)
	}
}

// countsMax bounds the targets that one datagram names: those that have failed most.
const countsMax = 128

func (l *Link) handleCounts(d *ownerpb.Datagram, body *ownerpb.Counts) {
	counts := make([]suspect.Count, 0, len(body.Counts))
	for _, c := range body.Counts {
		counts = append(counts, suspect.Count{Target: c.Target, Served: c.Served, Failed: c.Failed})
	}
	l.plain.mu.Lock()
	defer l.plain.mu.Unlock()
	l.plain.judge.Observe(time.Now(), body.Service, d.Instance, d.Incarnation, counts)
	notify(l.plain.wake)
}

// tellSuspects tells all instances of targets that fail. They are few, and seldom.
func (l *Link) tellSuspects(now time.Time) {
	l.plain.mu.Lock()
	verdicts := l.plain.due(now)
	l.plain.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	suspectsTold.Inc()
	body := new(ownerpb.Suspects)
	for _, v := range verdicts[:min(countsMax, len(verdicts))] {
		body.Suspects = append(body.Suspects, &ownerpb.Suspect{Target: v.Target, Permille: uint32(permille * v.Share)})
	}
	l.handleSuspects(body)
	d := l.own()
	d.Body = &ownerpb.Datagram_Suspects{Suspects: body}
	l.tellAll(d)
}

func (l *Link) handleSuspects(body *ownerpb.Suspects) {
	now := time.Now()
	for _, s := range body.Suspects {
		if l.Fleet.Suspect(s.Target, float64(min(s.Permille, permille))/permille, now.Add(suspect.VerdictTTL)) && l.OnSuspected != nil {
			l.OnSuspected(s.Target, s.Permille)
		}
	}
}
