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
	// judgeInterval is the period at which outcomes at plain targets are sent and judged on a small site.
	judgeInterval = 300 * time.Millisecond
	// maxReportRate bounds the reports a second that an instance which judges a service receives, apart from a burst of reportBurst from
	// each instance. Where many instances send few requests each, all outcomes are reported at once.
	maxReportRate = 200
	reportBurst   = 3
	// verdictResend is the period at which a verdict is repeated while it holds. It leaves time to make up for a lost one.
	verdictResend = suspect.VerdictTTL * 2 / 3
)

var suspectsAnnounced = metrics.NewCounter(`anvilwick_owner_suspects_told_total`)

// plainOutcomes counts the results of this instance's requests to plain targets, and judges those of the services assigned to it.
type plainOutcomes struct {
	mu          sync.Mutex
	counts      map[string]map[string]*suspect.Count // by service, then target
	unsent      map[string]bool                      // services with counts that were not sent yet
	judge       *suspect.Detector
	announced   map[string]time.Time // when each suspect was last announced
	sendLimiter *rate.Limiter        // limits the messages with this instance's counts
	slowdowns   *rate.Limiter        // limits the notices of slowdowns
	wake        chan struct{}        // there are counts to send or verdicts to reach
}

func newPlainOutcomes() plainOutcomes {
	return plainOutcomes{
		counts: make(map[string]map[string]*suspect.Count), unsent: make(map[string]bool), judge: suspect.NewDetector(),
		announced: make(map[string]time.Time), sendLimiter: rate.NewLimiter(rate.Every(judgeInterval), reportBurst),
		slowdowns: rate.NewLimiter(maxSlowdownRate, slowdownBurst), wake: make(chan struct{}, 1),
	}
}

func (p *plainOutcomes) record(service, target string, o fleet.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[service] == nil {
		p.counts[service] = make(map[string]*suspect.Count)
	}
	c := p.counts[service][target]
	if c == nil {
		c = &suspect.Count{Target: target}
		p.counts[service][target] = c
	}
	switch o {
	case fleet.Served:
		c.Served++
	case fleet.Failed, fleet.Unreachable:
		c.Failed++
	default:
		return
	}
	p.unsent[service] = true
	notify(p.wake)
}

// hasWork reports whether there are counts to send or verdicts to reach.
func (p *plainOutcomes) hasWork() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unsent)+len(p.announced) > 0 || p.judge.Active()
}

// takeUnsent returns the counts to be sent, and drops targets that are gone.
func (p *plainOutcomes) takeUnsent(gone func(target string) bool) map[string][]suspect.Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[string][]suspect.Count)
	for service := range p.unsent {
		for target, c := range p.counts[service] {
			if gone(target) {
				delete(p.counts[service], target)
				continue
			}
			out[service] = append(out[service], *c)
		}
	}
	clear(p.unsent)
	return out
}

// dueVerdicts returns the verdicts to be announced now.
func (p *plainOutcomes) dueVerdicts(now time.Time) []suspect.Verdict {
	verdicts := p.judge.Verdicts(now)
	out := verdicts[:0]
	for _, v := range verdicts {
		if now.Sub(p.announced[v.Target]) >= verdictResend {
			p.announced[v.Target] = now
			out = append(out, v)
		}
	}
	for target, at := range p.announced {
		if now.Sub(at) > 2*suspect.VerdictTTL {
			delete(p.announced, target)
		}
	}
	return out
}

// RecordPlainOutcome counts the result of this instance's request to a target without an owner.
func (l *Link) RecordPlainOutcome(service, target string, o fleet.Outcome) {
	l.plain.record(service, target, o)
}

// judgeLoop sends outcomes to the instances that judge, and verdicts to all. It blocks while there is nothing to send or judge.
func (l *Link) judgeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.plain.wake:
		}
		for hasWork := true; hasWork; hasWork = l.plain.hasWork() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(judgeInterval):
			}
			l.judgeOnce(time.Now())
		}
	}
}

func (l *Link) judgeOnce(now time.Time) {
	l.plain.sendLimiter.SetLimitAt(now, rate.Every(l.countsInterval()))
	if l.plain.sendLimiter.AllowN(now, 1) {
		for service, counts := range l.plain.takeUnsent(l.Fleet.IsLeaving) {
			l.sendCounts(service, counts)
		}
	}
	l.announceSuspects(now)
}

// countsInterval is the period at which this instance sends its counts when it always has some.
func (l *Link) countsInterval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(judgeInterval, time.Duration(len(l.addrByName))*time.Second/maxReportRate)
}

func (l *Link) sendCounts(service string, counts []suspect.Count) {
	slices.SortFunc(counts, func(a, b suspect.Count) int { return int(b.Failed) - int(a.Failed) })
	counts = counts[:min(maxCounts, len(counts))]
	d := l.newDatagram()
	body := &ownerpb.Counts{Service: service}
	for _, c := range counts {
		body.Counts = append(body.Counts, &ownerpb.Outcomes{Target: c.Target, Served: c.Served, Failed: c.Failed})
	}
	d.Body = &ownerpb.Datagram_Counts{Counts: body}
	for _, name := range suspect.Ranked(service, l.highCapacityNames()) {
		if name == l.Self.Name {
			l.handleCounts(d, body)
			continue
		}
		l.send(l.addrOf(name), d)
	}
}

// maxCounts bounds the targets in one datagram; those with the most failures are kept.
const maxCounts = 128

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

// announceSuspects informs all instances of targets that fail. Such messages are few and small.
func (l *Link) announceSuspects(now time.Time) {
	l.plain.mu.Lock()
	verdicts := l.plain.dueVerdicts(now)
	l.plain.mu.Unlock()
	if len(verdicts) == 0 {
		return
	}
	suspectsAnnounced.Inc()
	body := new(ownerpb.Suspects)
	for _, v := range verdicts[:min(maxCounts, len(verdicts))] {
		body.Suspects = append(body.Suspects, &ownerpb.Suspect{Target: v.Target, Permille: uint32(permille * v.Share)})
	}
	l.handleSuspects(body)
	l.broadcastSuspects(body)
}

func (l *Link) broadcastSuspects(body *ownerpb.Suspects) {
	d := l.newDatagram()
	d.Body = &ownerpb.Datagram_Suspects{Suspects: body}
	l.broadcast(d)
}

func (l *Link) handleSuspects(body *ownerpb.Suspects) {
	now := time.Now()
	l.applySlowed(now, body.Slowed)
	for _, s := range body.Suspects {
		if l.Fleet.Suspect(s.Target, float64(min(s.Permille, permille))/permille, now.Add(suspect.VerdictTTL)) && l.OnSuspected != nil {
			l.OnSuspected(s.Target, s.Permille)
		}
	}
}
