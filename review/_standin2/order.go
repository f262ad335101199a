package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	storeDownFor = 4500 * time.Millisecond
	upgradeGap   = time.Second            // between two workers of the release
	upgradeDown  = 400 * time.Millisecond // of each worker
)

// orderCase: the workers of a service are upgraded one after the other, each under the id that it had, while the store is down for a moment.
func orderCase(rec *record, root string, trouble bool) (int, error) {
	zones := []string{"z1", "z2", "z3"}
	s, err := newSite(rec, root, map[string]string{"z1": "r1", "z2": "r1", "z3": "r1"}, zones)
	if err != nil {
		return failed, err
	}
	defer s.close()
	s.publish(7, []string{"planner"}, []route{
		{name: "r-gen", prefix: "/gen/", kind: "streaming", service: "planner", timeoutMs: 39000, attempts: 3, resume: true},
	})
	if err := s.addWorkers("planner", 9, 64, zones, func(w *worker) { w.keepsID = true }); err != nil {
		return failed, err
	}
	if err := s.startMachines(); err != nil {
		return failed, err
	}
	time.Sleep(stableWindow + time.Second)

	var mu sync.Mutex
	mixed, whole, others := 0, 0, 0
	var wg sync.WaitGroup
	for i := range 36 {
		wg.Go(func() {
			m := s.machines[i%len(s.machines)]
			c := consumer{addr: m.front()}
			defer c.close()
			q := request{
				id: fmt.Sprintf("gen-%d", i), host: host, path: "/gen/1", deadline: 39 * time.Second, key: apiKey, body: []byte(fmt.Sprintf("prompt %d", i)),
				headers: fmt.Sprintf("Model: m\r\nToken-Usage: 400,%d\r\nPrompt-Prefix: %x:300,%x:100\r\n", 4*streamEvents, 0x5c1e+i, 0xe440+i),
			}
			o := c.do(q)
			versions := versionsIn(o.body)
			rec.add("stream %s at %s: status=%d err=%v versions=%v", q.id, m.name, o.status, o.err, versions)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(versions) > 1:
				mixed++
			case o.status == 200 && o.err == nil:
				whole++
			default:
				others++
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		rec.say("the store is down for %s", storeDownFor)
		s.store.setDown(true)
		time.AfterFunc(storeDownFor, func() {
			s.store.setDown(false)
			rec.say("the store is back")
		})
	}
	time.Sleep(300 * time.Millisecond)
	for _, w := range s.workers[:4] {
		rec.say("worker %s is upgraded from v1 to v2", w.id)
		w.restartAs("v2", upgradeDown)
		time.Sleep(upgradeGap)
	}
	wg.Wait()
	rec.say("streams with events of one version, complete: %d; not complete: %d; with events of two versions: %d", whole, others, mixed)
	if mixed > 2 {
		rec.say("ORDER broken: more than two")
		return broken, nil
	}
	return held, nil
}

// versionsIn lists the versions of software that the events of a stream name, in order.
func versionsIn(body string) []string {
	var out []string
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		f := strings.Fields(data)
		if v := f[len(f)-1]; len(out) == 0 || out[len(out)-1] != v {
			out = append(out, v)
		}
	}
	return out
}
