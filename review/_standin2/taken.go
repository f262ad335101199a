package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	takenStreams = 24
	restartDelay = 500 * time.Millisecond
	// resumeAfter is when the consumers take their streams up, after the processes were started again: all machines are in touch then. Consumers
	// wait for four times the objective, which is 1.8 s, before they abandon a stream.
	resumeAfter = 4 * time.Second
)

// takenCase: streams begin while a service has one version of its software, workers of a second one are added, and all processes are killed at
// the same moment. The consumers take their streams up.
func takenCase(rec *record, root string, trouble bool) (int, error) {
	zones := []string{"z1", "z2", "z3"}
	s, err := newSite(rec, root, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}, zones)
	if err != nil {
		return failed, err
	}
	defer s.close()
	s.publish(7, []string{"planner"}, []route{
		{name: "r-gen", prefix: "/gen/", kind: "streaming", service: "planner", timeoutMs: 39000, attempts: 3, resume: true},
	})
	if err := s.addWorkers("planner", 4, 64, zones, func(*worker) {}); err != nil {
		return failed, err
	}
	if err := s.startMachines(); err != nil {
		return failed, err
	}
	time.Sleep(stableWindow + time.Second)

	var streams []*taken
	var wg sync.WaitGroup
	for i := range takenStreams {
		t := &taken{site: s, machine: i % len(s.machines), id: fmt.Sprintf("gen-%d", i), cut: make(chan struct{})}
		streams = append(streams, t)
		wg.Go(func() { t.read(t.machine, t.id, 0) })
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	rec.say("two workers of version v2 are added")
	err = s.addWorkers("planner-new", 2, 64, zones, func(w *worker) { w.service, w.software = "planner", "v2" })
	if err != nil {
		return failed, err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		rec.say("all processes are killed")
		for _, m := range s.machines {
			m.kill()
		}
		time.Sleep(restartDelay)
		if err := s.startMachines(); err != nil {
			return failed, err
		}
	} else {
		rec.say("the consumers close their channels")
		for _, t := range streams {
			close(t.cut)
		}
	}
	wg.Wait()
	time.Sleep(resumeAfter)
	rec.say("the consumers take their streams up, and as many new ones begin")
	var mu sync.Mutex
	goOn, begin := 0, 0
	for i, t := range streams {
		wg.Go(func() {
			ok := false
			for try := range 2 { // consumers retry, each time at another machine
				if ok = t.read((t.machine+1+try)%len(s.machines), fmt.Sprintf("%s-again-%d", t.id, try+1), t.last); ok {
					break
				}
				time.Sleep(time.Second)
			}
			mu.Lock()
			defer mu.Unlock()
			if ok {
				goOn++
			}
		})
		fresh := &taken{site: s, id: fmt.Sprintf("new-%d", i), cut: make(chan struct{})}
		wg.Go(func() {
			ok := fresh.read(i%len(s.machines), fresh.id, 0)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				begin++
			}
		})
	}
	wg.Wait()
	for _, m := range s.machines {
		rec.add("machine %s in touch: %t", m.name, m.inTouch(time.Now()))
	}
	rec.say("streams taken up: %d, of which go on: %d; new streams: %d, of which begin: %d; workers of v1 that serve: 4", takenStreams, goOn, takenStreams, begin)
	if 2*goOn < begin {
		rec.say("LOST broken: under half of the share of new streams")
		return broken, nil
	}
	return held, nil
}

// taken is a consumer's stream over its attempts.
type taken struct {
	site    *site
	machine int
	id      string // of the attempt that brought the first event
	last    int    // number of the last event
	cut     chan struct{}
}

// read makes one attempt and reads its events; ok says that there was one. With after it takes the stream up after that event.
func (t *taken) read(machine int, id string, after int) (ok bool) {
	m := t.site.machines[machine]
	c := consumer{addr: m.front()}
	defer c.close()
	if c.connect() != nil {
		return false
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-t.cut:
			if after == 0 {
				_ = c.conn.Close()
			}
		case <-done:
		}
	}()
	head := fmt.Sprintf("POST /gen/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 20000\r\nX-Api-Key: %s\r\nModel: m\r\nToken-Usage: 400,%d\r\nPrompt-Prefix: 5c1e:300,%x:100\r\n",
		host, id, apiKey, 4*streamEvents, 0xe440+len(t.id))
	if after > 0 {
		head += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", after, t.id)
	}
	body := "prompt of " + t.id
	if _, err := fmt.Fprintf(c.conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body); err != nil {
		return false
	}
	resp, err := http.ReadResponse(c.rd, &http.Request{Method: http.MethodPost})
	if err != nil {
		t.site.rec.add("attempt %s at %s after event %d: no answer: %v", id, m.name, after, err)
		return false
	}
	first := t.last
	rd := bufio.NewReader(resp.Body)
	for err == nil {
		var line string
		if line, err = rd.ReadString('\n'); err == nil && strings.HasPrefix(line, "id: ") {
			_, _ = fmt.Sscanf(line, "id: %d", &t.last)
		}
	}
	if err == io.EOF {
		err = nil
	}
	t.site.rec.add("attempt %s at %s after event %d: status=%d events %d to %d, end: %v", id, m.name, after, resp.StatusCode, first+1, t.last, err)
	return resp.StatusCode == http.StatusOK && t.last > first
}
