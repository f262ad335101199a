package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// cutFor is how long the machine is partitioned from all workers.
const cutFor = 6 * time.Second

// homeCase: a machine is partitioned from all workers. Requests of a route that may be served in one area only come to that machine, in that
// area. Their bodies must not be sent to a machine of another area.
func homeCase(rec *record, root string, trouble bool) (int, error) {
	zones := map[string]string{"n1": "north", "n2": "north", "s1": "south", "s2": "south"}
	s, err := newSite(rec, root, zones, []string{"n1", "n2", "s1", "s2", "n1", "n2", "s1", "s2"})
	if err != nil {
		return failed, err
	}
	defer s.close()
	s.publish(7, []string{"dispatch"}, []route{
		{name: "r-home", prefix: "/home/", kind: "non_idempotent", service: "dispatch", timeoutMs: 4000, attempts: 2, regions: []string{"north"}},
		{name: "r-any", prefix: "/any/", kind: "non_idempotent", service: "dispatch", timeoutMs: 4000, attempts: 2},
	})
	err = s.addWorkers("dispatch", 8, 16, []string{"n1", "n2", "s1", "s2"}, func(w *worker) {
		w.work = func(string) time.Duration { return 150 * time.Millisecond }
	})
	if err != nil {
		return failed, err
	}
	var mu sync.Mutex
	passed := make(map[string][]string) // machines over whose links an attempt passed
	links := make(map[string]*link)
	for _, m := range s.machines {
		l, err := newLink(s.storeIP, m.name, func(machine, id, path string) {
			mu.Lock()
			defer mu.Unlock()
			passed[id] = append(passed[id], machine)
			rec.add("attempt %s %s passes over the link of %s", id, path, machine)
		})
		if err != nil {
			return failed, err
		}
		links[m.name] = l
		m.env = []string{"ANVILWICK_GATEWAY_TARGET_PROXY=" + l.addr}
	}
	if err := s.startMachines(); err != nil {
		return failed, err
	}
	time.Sleep(stableWindow + time.Second)

	at := s.machines[0]
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var answered atomic.Int32
	for i := range 8 {
		wg.Go(func() {
			c := consumer{addr: at.front()}
			defer c.close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{id: fmt.Sprintf("home-%d-%d", i, n), host: host, path: "/home/1", deadline: 3 * time.Second, key: apiKey, body: []byte("personal data of a consumer in north")}
				o := c.do(q)
				if o.status == 200 {
					answered.Add(1)
				}
				rec.add("request %s at %s: status=%d err=%v", q.id, at.name, o.status, o.err)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.say("%s is partitioned from all workers for %s", at.name, cutFor)
		links[at.name].setCut(true)
	}
	time.Sleep(cutFor)
	links[at.name].setCut(false)
	rec.say("the partition has ended")
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()

	abroad, total := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, machines := range passed {
		total++
		for _, m := range machines {
			if strings.HasPrefix(m, "front-s") {
				abroad++
				rec.add("HOME: the body of %s, a request with the home north that came to %s, was sent to %s in south", id, at.name, m)
			}
		}
	}
	for _, a := range s.arrivals() {
		if strings.Contains(a.worker, "-s") {
			rec.add("worker %s ran %s", a.worker, a.id)
		}
	}
	rec.say("requests with the home north sent to workers: %d, answered with success: %d; bodies sent to a machine in south: %d", total, answered.Load(), abroad)
	if abroad > 0 {
		rec.say("HOME broken")
		return broken, nil
	}
	return held, nil
}
