package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"anvilwick.example/anvilwick/platform/standin"
)

const (
	streams       = 24
	minTakenUp    = 12  // streams taken up again from which the rule counts
	goingShare    = 0.5 // of the share of new streams that begin
	eventsOfOne   = 200
	eventPause    = 100 * time.Millisecond
	budget        = 39 * time.Second // the consumer's time budget
	restartPause  = 500 * time.Millisecond
	takeUpAfter   = 4500 * time.Millisecond // after the channel broke; all machines are in touch again then
	secondTry     = time.Second             // between the consumer's tries
	triesOfOne    = 2
	minNewStreams = 12
)

// taken is a stream over the consumer's attempts.
type taken struct {
	name  string
	first *attempt
	tries []*attempt
}

// goesOn reports whether an attempt at a machine in touch brought further events.
func (t *taken) goesOn() bool {
	for _, a := range t.tries {
		if a.inTouch && a.status == 200 && a.events > t.first.events {
			return true
		}
	}
	return false
}

func (t *taken) counts() bool {
	for _, a := range t.tries {
		if a.inTouch {
			return true
		}
	}
	return false
}

// playStreams: streams begin while a service has one software version, a second version is added, all machines' processes are killed at once, and the
// consumers take their streams up again once the machines are in touch. LOST.
func playStreams(s *site, trouble bool) (bool, error) {
	engine := map[string]any{
		"Slots": 64, "KvCapacity": 500000, "KvBytes": 18432.0, "LinkMbps": 2700.0, "Moves": true, "Backups": true, "Stride": 4, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []map[string]any{{"Name": "m"}},
	}
	s.configure([]map[string]any{{
		"Name": "short", "Host": host, "Prefix": "/short/", "Kind": "streaming", "TimeoutMs": budget.Milliseconds(), "TargetLatencyMs": 1500,
		"Priority": 0, "Service": "engine", "MaxAttempts": 2, "Public": false, "SessionAffinity": true, "StreamResume": true, "GapAimMs": 180,
	}}, []map[string]any{{"Name": "engine", "HealthPath": "/health", "MaxConnections": 432, "Protocol": "h1", "Tls": false, "Engine": engine}})
	edit := func(w *standin.Worker) {
		w.Events, w.EventInterval = eventsOfOne, eventPause
		w.Handler = w.Stream
	}
	for i := range 3 {
		s.addWorker(fmt.Sprintf("i-old-%d", i+1), "engine", i, 64, "v1", edit)
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)

	ctx, dropAll := context.WithCancel(context.Background())
	defer dropAll()
	began := time.Now()
	all := s.beginStreams(ctx, began)
	time.Sleep(2 * time.Second)
	for i := range 2 {
		s.addWorker(fmt.Sprintf("i-new-%d", i+1), "engine", i, 64, "v2", edit)
	}
	time.Sleep(3 * time.Second)
	if trouble {
		s.killAll()
		time.Sleep(restartPause)
		for _, g := range s.gateways {
			if err := g.start(s.seeds(), false); err != nil {
				return false, err
			}
		}
	} else {
		s.add("consumers: all channels are closed, to be taken up again")
		dropAll()
	}
	broke := time.Now()
	for _, t := range all.wait() {
		s.add("consumer: stream %s of %s broke after event %d (version %s)", t.name, t.first.at.name, t.first.events, t.first.version)
	}
	if err := s.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(broke.Add(takeUpAfter)))
	fresh := s.takeUp(all.list, began)
	return s.judgeStreams(all.list, fresh)
}

func (s *site) seeds() string {
	var out []string
	for _, g := range s.gateways {
		out = append(out, fmt.Sprintf("%q", g.ip+":8748"))
	}
	return strings.Join(out, ",")
}

func (s *site) killAll() {
	s.add("trouble: the processes of all machines are killed (SIGKILL)")
	var work sync.WaitGroup
	for _, g := range s.gateways {
		work.Go(g.kill)
	}
	work.Wait()
}

// streamSet are streams that run at the same time.
type streamSet struct {
	list []*taken
	work sync.WaitGroup
}

func (c *streamSet) wait() []*taken {
	c.work.Wait()
	return c.list
}

func (s *site) beginStreams(ctx context.Context, began time.Time) *streamSet {
	c := new(streamSet)
	for i := range streams {
		t := &taken{name: fmt.Sprintf("s%02d", i)}
		c.list = append(c.list, t)
		c.work.Go(func() {
			t.first = s.stream(ctx, s.gateways[i%len(s.gateways)], "/short/"+t.name, "a-"+t.name, time.Until(began.Add(budget)), nil, nil)
		})
	}
	s.add("consumers: %d streams are begun", streams)
	return c
}

// takeUp takes all streams up again, each at another machine than before, and begins new ones.
func (s *site) takeUp(list []*taken, began time.Time) []*attempt {
	var work sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	for i, t := range list {
		work.Go(func() {
			for n := range triesOfOne {
				at := s.gateways[(i+1+n)%len(s.gateways)]
				headers := map[string]string{"Resumes": t.first.id, "Last-Event-Id": fmt.Sprint(t.first.events)}
				a := s.stream(ctx, at, "/short/"+t.name, fmt.Sprintf("b%d-%s", n, t.name), time.Until(began.Add(budget)), headers, nil)
				t.tries = append(t.tries, a)
				s.add("consumer: stream %s is taken up at %s (in touch %t): status %d, events %d to %d of version %s", t.name, at.name, a.inTouch, a.status,
					t.first.events+1, a.events, a.version)
				if a.status == 200 {
					return
				}
				time.Sleep(secondTry)
			}
		})
	}
	fresh := make([]*attempt, streams)
	for i := range fresh {
		work.Go(func() {
			at := s.gateways[i%len(s.gateways)]
			name := fmt.Sprintf("n%02d", i)
			fresh[i] = s.stream(ctx, at, "/short/"+name, "a-"+name, 20*time.Second, nil, nil)
			s.add("consumer: new stream %s at %s (in touch %t): status %d, %d events of version %s", name, at.name, fresh[i].inTouch, fresh[i].status, fresh[i].events, fresh[i].version)
		})
	}
	work.Wait()
	return fresh
}

// judgeStreams applies the rule as written.
func (s *site) judgeStreams(list []*taken, fresh []*attempt) (bool, error) {
	taken, going, mixed := 0, 0, 0
	for _, t := range list {
		if t.first.events == 0 || t.first.version != "v1" || t.first.events >= eventsOfOne {
			return false, fmt.Errorf("stream %s did not run at v1 when it broke: %+v", t.name, t.first)
		}
		if !t.counts() {
			continue
		}
		taken++
		if t.goesOn() {
			going++
		}
		for _, a := range t.tries {
			if a.events > 0 && a.version != t.first.version {
				mixed++
			}
		}
	}
	begun, of := 0, 0
	for _, a := range fresh {
		if a.inTouch {
			of++
			if a.events > 0 {
				begun++
			}
		}
	}
	if taken < minTakenUp || of < minNewStreams {
		return false, fmt.Errorf("only %d streams were taken up and %d begun at machines in touch", taken, of)
	}
	for _, g := range s.gateways {
		for _, line := range g.logLines("stream_unknown", 1) {
			s.add("log of %s: %s", g.name, line)
		}
	}
	goingPart, begunPart := float64(going)/float64(taken), float64(begun)/float64(of)
	s.add("judged: of %d streams taken up %d go on (%.2f); of %d new ones %d begin (%.2f); %d joined from two versions", taken, going, goingPart, of, begun, begunPart, mixed)
	return goingPart < goingShare*begunPart, nil
}
