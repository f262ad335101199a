package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"anvilwick.example/anvilwick/platform/standin"
)

const (
	cutTime       = 5 * time.Second // for_s
	cutPause      = 2 * time.Second
	addedRoutes   = 10
	asked         = 60   // requests on the added routes, and on the first ones
	minAsked      = 20   // requests from which the rule counts
	addedShare    = 0.25 // of the share of the first routes that is served
	askPause      = 100 * time.Millisecond
	plainDeadline = 1500 * time.Millisecond
)

// playLapse: each worker of a service is partitioned from the store until its entry lapses, and is back. Then the operator adds routes to the service.
// CONFIG.
func playLapse(s *site, trouble bool) (bool, error) {
	route := func(name, service string) map[string]any {
		return map[string]any{
			"Name": name, "Host": host, "Prefix": "/" + name + "/", "Kind": "idempotent", "TimeoutMs": plainDeadline.Milliseconds(), "TargetLatencyMs": 100,
			"Priority": 2, "Service": service, "MaxAttempts": 2, "Public": false,
		}
	}
	services := []map[string]any{
		{"Name": "dispatch", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
		{"Name": "ledger", "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "Tls": false},
	}
	routes := []map[string]any{route("first-d", "dispatch"), route("first-l", "ledger")}
	s.configure(routes, services)
	for i := range 6 {
		s.addWorker(fmt.Sprintf("i-%d", i+1), services[i/3]["Name"].(string), i, 6, "v1", func(w *standin.Worker) {
			w.Handler = func(rw http.ResponseWriter, r *http.Request) {
				s.add("worker %s runs %s %s (%s)", w.ID, r.Method, r.RequestURI, r.Header.Get("Attempt-Id"))
				w.Echo(rw, r)
			}
		})
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	before := s.ask("first-d", "first-l")
	s.add("before: %d of %d requests on the first routes are served", before, asked)
	for _, w := range s.workers[:3] {
		if trouble {
			w.setCut(true)
		}
		time.Sleep(cutTime)
		if trouble {
			w.setCut(false)
		}
		time.Sleep(cutPause)
	}
	time.Sleep(stableWindow)
	var added []string
	for i := range addedRoutes {
		added = append(added, fmt.Sprintf("added-%d", i+1))
		routes = append(routes, route(added[i], "dispatch"))
	}
	s.configure(routes, services)
	time.Sleep(stableWindow)
	for _, row := range s.store.Rows("servers") {
		s.add("store: servers/%s is %s", row.Key, row.Value)
	}
	onAdded, onFirst := s.ask(added...), s.ask("first-d", "first-l")
	s.add("judged: of %d requests on the added routes %d are served, of %d on the first ones %d", asked, onAdded, asked, onFirst)
	if before < asked*9/10 || asked < minAsked {
		return false, fmt.Errorf("the site did not serve before")
	}
	return float64(onAdded) < addedShare*float64(onFirst), nil
}

// ask sends requests on routes in turn, at machines in turn, and returns how many are served.
func (s *site) ask(routes ...string) (served int) {
	for i := range asked {
		g, name := s.gateways[i%len(s.gateways)], routes[i%len(routes)]
		status, err := s.askOnce(g, "/"+name+"/"+fmt.Sprint(i))
		s.add("consumer: GET /%s/%d sent to %s: status %d, error %v", name, i, g.name, status, err)
		if status == http.StatusOK {
			served++
		}
		time.Sleep(askPause)
	}
	return served
}

func (s *site) askOnce(g *gateway, path string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), plainDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.front()+path, nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	s.mu.Lock()
	s.asked++
	id := fmt.Sprintf("q-%d", s.asked)
	s.mu.Unlock()
	for name, value := range map[string]string{"Attempt-Id": id, "X-Api-Key": key, "Deadline-Ms": fmt.Sprint(plainDeadline.Milliseconds())} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
