package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	poisonBody     = "this body crashes each worker that begins to run it"
	poisonInterval = 800 * time.Millisecond
	restartGap     = 5 * time.Second // between two machines of the rolling restart
)

// poisonCase: a request crashes each worker that begins to run it, and comes again at any machine. After the third crash the machines are
// stopped and started in turn.
func poisonCase(rec *record, root string, trouble bool) (int, error) {
	zones := []string{"z1", "z2", "z3"}
	s, err := newSite(rec, root, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}, []string{"z1", "z2", "z3", "z1", "z2", "z3", "z1"})
	if err != nil {
		return failed, err
	}
	defer s.close()
	s.publish(7, []string{"dispatch"}, []route{
		{name: "r-ping", prefix: "/ping/", kind: "non_idempotent", service: "dispatch", timeoutMs: 4000, attempts: 2},
		{name: "r-job", prefix: "/job/", kind: "non_idempotent", service: "dispatch", timeoutMs: 4000, attempts: 2},
	})
	var mu sync.Mutex
	var crashes []time.Time
	err = s.addWorkers("dispatch", 6, 16, zones, func(w *worker) {
		w.work = func(string) time.Duration { return 400 * time.Millisecond }
		w.crashes = func(body string) bool {
			if body != poisonBody {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			crashes = append(crashes, time.Now())
			return true
		}
	})
	if err != nil {
		return failed, err
	}
	if err := s.startMachines(); err != nil {
		return failed, err
	}
	time.Sleep(stableWindow + time.Second)

	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered, lost atomic.Int32
	for i := range 2 {
		wg.Go(func() { soundLoop(s, i, stop, &answered, &lost) })
	}
	sent := make(map[string]poisonSend)
	var sentMu sync.Mutex
	wg.Go(func() { poisonLoop(s, stop, &sentMu, sent) })

	third := func() (time.Time, bool) {
		mu.Lock()
		defer mu.Unlock()
		if len(crashes) < 3 {
			return time.Time{}, false
		}
		return crashes[2], true
	}
	for end := time.Now().Add(25 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if _, ok := third(); ok {
			break
		}
		if time.Now().After(end) {
			return failed, fmt.Errorf("no third crash")
		}
	}
	rec.say("the third worker has crashed")
	time.Sleep(stableWindow + 3*time.Second)
	if trouble {
		for _, m := range s.machines {
			if err := restart(m); err != nil {
				return failed, err
			}
			time.Sleep(restartGap)
		}
		rec.say("all machines have been stopped and started in turn")
	} else {
		time.Sleep(50 * time.Second)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	wg.Wait()

	at, _ := third()
	after := 0
	for _, a := range s.arrivals() {
		if a.path != "/job/1" {
			continue
		}
		sentMu.Lock()
		p := sent[a.id]
		sentMu.Unlock()
		counts := p.inTouch && a.at.Sub(at) > stableWindow
		rec.add("crash by %s from %s at +%.1f s after the third crash: in touch=%t, counted=%t", a.id, p.machine, a.at.Sub(at).Seconds(), p.inTouch, counts)
		if counts {
			after++
		}
	}
	rec.say("sound requests answered with success: %d; not: %d", answered.Load(), lost.Load())
	rec.say("crashes of workers: %d; by requests sent by machines in touch later than 3 s after the third: %d", len(crashes), after)
	if after > 3 {
		rec.say("BUDGET broken: more than three")
		return broken, nil
	}
	return held, nil
}

// restart stops a machine as the platform does, starts it again and waits until it is ready.
func restart(m *machine) error {
	m.rec.say("machine %s: SIGTERM", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-m.ended():
	case <-time.After(grace):
		m.signal(os.Kill)
		<-m.ended()
	}
	time.Sleep(300 * time.Millisecond)
	if err := m.start(); err != nil {
		return err
	}
	return m.awaitReady(10 * time.Second)
}

type poisonSend struct {
	machine string
	inTouch bool
}

// poisonLoop sends the request that crashes workers to each machine in rotation in turn.
func poisonLoop(s *site, stop <-chan struct{}, mu *sync.Mutex, sent map[string]poisonSend) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(poisonInterval):
		}
		m := s.machines[n%len(s.machines)]
		if !m.isRunning() || !m.isReady() {
			continue
		}
		q := request{id: fmt.Sprintf("job-%d", n), host: host, path: "/job/1", deadline: 3 * time.Second, key: apiKey, body: []byte(poisonBody)}
		mu.Lock()
		sent[q.id] = poisonSend{machine: m.name, inTouch: m.inTouch(time.Now())}
		mu.Unlock()
		c := consumer{addr: m.front()}
		o := c.do(q)
		c.close()
		s.rec.add("request %s at %s: status=%d err=%v", q.id, m.name, o.status, o.err)
	}
}

// soundLoop sends sound requests, which are not repeated, to machines in rotation.
func soundLoop(s *site, i int, stop <-chan struct{}, answered, lost *atomic.Int32) {
	var c consumer
	for n := 0; ; n++ {
		select {
		case <-stop:
			c.close()
			return
		default:
		}
		if m := s.machines[(i+n/5)%len(s.machines)]; c.addr != m.front() {
			c.close()
			c.addr = m.front()
		}
		q := request{id: fmt.Sprintf("ping-%d-%d", i, n), host: host, path: "/ping/1", deadline: 4 * time.Second, key: apiKey, body: []byte(fmt.Sprintf("ping %d of %d", n, i))}
		o := c.do(q)
		switch {
		case o.status == 200 && strings.HasSuffix(o.body, q.id):
			answered.Add(1)
		default:
			if wasRun(s, q.id) {
				lost.Add(1)
				s.rec.add("ping %s was running and is lost: status=%d err=%v", q.id, o.status, o.err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}
