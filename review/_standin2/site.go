package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Figures of the small deployment.
const (
	stableWindow  = 3 * time.Second
	grace         = 8 * time.Second
	memoryLimitMB = 134
	host          = "ficu95.example"
	apiKey        = "xd9dnn2ctnfzs989anu6"
	engineTokens  = 34545
)

// site is a small deployment: a store, workers and machines.
type site struct {
	rec      *record
	root     string
	dir      string // temporary
	zones    map[string]string
	store    *store
	workers  []*worker
	machines []*machine
	storeIP  string

	mu   sync.Mutex
	runs []arrival
}

// newSite prepares a deployment with a machine in each of the given zones.
func newSite(rec *record, root string, zones map[string]string, machineZones []string) (*site, error) {
	prefix, err := loopback(len(machineZones))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	s := &site{rec: rec, root: root, dir: dir, zones: zones, storeIP: prefix + "250"}
	if s.store, err = newStore(s.storeIP); err != nil {
		return nil, err
	}
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	logs, err := os.Create(filepath.Join(dir, "machines.log"))
	if err != nil {
		return nil, err
	}
	for i, zone := range machineZones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", prefix, 10+i), zone: zone, command: command, root: root, log: logs, rec: rec, site: s}
		m.settings = filepath.Join(dir, m.name+".toml")
		s.machines = append(s.machines, m)
	}
	return s, nil
}

// addWorkers starts workers of a service, in the given zones in turn.
func (s *site) addWorkers(service string, count, slots int, zones []string, edit func(*worker)) error {
	for i := range count {
		w := &worker{
			store: s.store, rec: s.rec, name: fmt.Sprintf("%s-%d", service, i+1), service: service, zone: zones[i%len(zones)], slots: slots, software: "v1",
			work: func(string) time.Duration { return 20 * time.Millisecond }, backAfter: 3 * time.Second,
		}
		w.onRun = func(a arrival) {
			s.rec.add("worker %s runs %s %s body=%q tenant=%q", a.worker, a.id, a.path, a.body, a.tenant)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.runs = append(s.runs, a)
		}
		edit(w)
		if err := w.start(s.storeIP); err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	return nil
}

// arrivals returns what the workers have begun to run.
func (s *site) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.runs...)
}

// route describes a route of the first desired state.
type route struct {
	name, prefix, kind, service string
	timeoutMs, attempts         int
	regions                     []string
	resume                      bool
}

// publish writes the desired state.
func (s *site) publish(version int, services []string, routes []route) {
	var list, svcs []map[string]any
	for _, r := range routes {
		x := map[string]any{
			"Name": r.name, "Host": host, "Prefix": r.prefix, "Kind": r.kind, "TimeoutMs": r.timeoutMs, "TargetLatencyMs": 100, "Priority": 1,
			"Service": r.service, "MaxAttempts": r.attempts, "Public": false, "SessionAffinity": r.resume, "StreamResume": r.resume,
		}
		if r.kind == "streaming" {
			x["TargetLatencyMs"], x["GapAimMs"] = 1800, 180
		}
		if r.regions != nil {
			x["AllowedRegions"] = r.regions
		}
		list = append(list, x)
	}
	for _, name := range services {
		svc := map[string]any{"Name": name, "HealthPath": "/health", "MaxConnections": 432, "Protocol": "h1", "Tls": false}
		if name == "planner" {
			svc["Engine"] = map[string]any{
				"Slots": 64, "KvCapacity": engineTokens, "KvBytes": 18432, "LinkMbps": 2700.0, "Moves": false, "Backups": false, "Stride": 4,
				"most": 12, "PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []map[string]any{{"Name": "m"}},
			}
		}
		svcs = append(svcs, svc)
	}
	s.store.put("op", "config", map[string]any{
		"Version": version, "Routes": list, "Services": svcs,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "huka270", "ApiKeys": []string{apiKey}, "Priority": 1}},
	})
}

// startMachines starts all processes and waits until they are ready.
func (s *site) startMachines() error {
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes. With REVIEW_LOGS set, the temporary folder with their logs is kept.
func (s *site) close() {
	for _, m := range s.machines {
		m.kill()
	}
	if os.Getenv("REVIEW_LOGS") != "" {
		fmt.Println("logs:", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
