package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadBytes = 4194304 // MaxBodyBytes of the desired state
	uplink      = 2 << 20 // bytes a second of an uploading consumer
	quietUpload = 1024    // bytes of an upload without the trouble
)

// uploads is the number of consumers that upload at the same time to one machine.
func uploads() int {
	if n, err := strconv.Atoi(os.Getenv("UPLOADS")); err == nil {
		return n
	}
	return 24
}

// memoryCase: many consumers send bodies of the permitted size to one machine at the same time. The platform kills a process that exceeds its
// memory. Requests of other consumers that the process had passed on to sound workers end without an answer.
func memoryCase(rec *record, root string, trouble bool) (int, error) {
	s, err := newSite(rec, root, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}, []string{"z1", "z2", "z3"})
	if err != nil {
		return failed, err
	}
	defer s.close()
	s.publish(7, []string{"dispatch"}, []route{
		{name: "r-ping", prefix: "/ping/", kind: "non_idempotent", service: "dispatch", timeoutMs: 4000, attempts: 2},
		{name: "r-file", prefix: "/file/", kind: "non_idempotent", service: "dispatch", timeoutMs: 20000, attempts: 2},
	})
	err = s.addWorkers("dispatch", 6, 16, []string{"z1", "z2", "z3"}, func(w *worker) {
		w.work = func(path string) time.Duration {
			if path == "/ping/1" {
				return 400 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
	})
	if err != nil {
		return failed, err
	}
	if err := s.startMachines(); err != nil {
		return failed, err
	}
	time.Sleep(stableWindow + time.Second)

	busy := s.machines[0]
	var lost, answered atomic.Int32
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 12 {
		wg.Go(func() { pingLoop(s, busy, i, stop, &lost, &answered) })
	}
	watched := make(chan struct{})
	var peak float64
	var kills int
	go func() {
		defer close(watched)
		kills = enforceMemory(s, busy, stop, &peak)
	}()
	time.Sleep(3 * time.Second)

	size := uploadBytes
	if !trouble {
		size = quietUpload
	}
	n := uploads()
	rec.say("%d consumers each send one body of %d bytes to %s; memory before: %.0f MiB", n, size, busy.name, busy.memoryMB())
	var up sync.WaitGroup
	for i := range n {
		up.Go(func() {
			c := consumer{addr: busy.front()}
			defer c.close()
			q := request{id: fmt.Sprintf("up-%d", i), host: host, path: "/file/1", deadline: 15 * time.Second, key: apiKey, body: make([]byte, size), uplink: uplink}
			o := c.do(q)
			rec.add("upload %s: status=%d err=%v", q.id, o.status, o.err)
		})
	}
	up.Wait()
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	<-watched
	rec.say("peak memory of %s: %.0f MiB of %d; ended by the platform for its memory: %d times", busy.name, peak, memoryLimitMB, kills)
	rec.say("pings answered: %d; passed on from a kept channel to a sound worker and closed without an answer: %d", answered.Load(), lost.Load())
	if lost.Load() > 3 {
		rec.say("LOST broken: more than three")
		return broken, nil
	}
	return held, nil
}

// pingLoop sends pings over a kept channel until stop is closed, and counts those that a sound worker ran and whose channel ended without an answer.
func pingLoop(s *site, m *machine, i int, stop <-chan struct{}, lost, answered *atomic.Int32) {
	c := consumer{addr: m.front()}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		q := request{id: fmt.Sprintf("ping-%d-%d", i, n), host: host, path: "/ping/1", deadline: 4 * time.Second, key: apiKey}
		inTouch := m.inTouch(time.Now())
		o := c.do(q)
		s.rec.add("ping %s: status=%d kept=%t written=%t err=%v", q.id, o.status, o.kept, o.written, o.err)
		switch {
		case o.status != 0:
			answered.Add(1)
		case o.kept && o.written && inTouch && wasRun(s, q.id):
			lost.Add(1)
		}
		if o.status == 0 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}

func wasRun(s *site, id string) bool {
	for _, a := range s.arrivals() {
		if a.id == id {
			return true
		}
	}
	return false
}

// enforceMemory acts as the platform: it kills a process that exceeds its memory, and starts it again after a short delay.
func enforceMemory(s *site, m *machine, stop <-chan struct{}, peak *float64) (kills int) {
	for {
		select {
		case <-stop:
			return kills
		case <-time.After(10 * time.Millisecond):
		}
		used := m.memoryMB()
		*peak = max(*peak, used)
		if used <= memoryLimitMB || !m.isRunning() {
			continue
		}
		s.rec.say("machine %s: %.0f MiB exceed its memory of %d: killed by the platform", m.name, used, memoryLimitMB)
		kills++
		m.mu.Lock()
		_ = m.cmd.Process.Signal(syscall.SIGKILL) // counts as ended by itself
		m.mu.Unlock()
		<-m.ended()
		time.Sleep(500 * time.Millisecond)
		if err := m.start(); err != nil {
			s.rec.say("%v", err)
			return kills
		}
	}
}
