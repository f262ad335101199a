package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	crashEngines = 12
	crashDelay   = 60 * time.Millisecond // from the arrival of a request with the part until its engine crashes
	crashDown    = 3 * time.Second       // until the engine is back
	badPart      = "bad5"
	badPause     = time.Second           // between two requests with the part
	soundPause   = 60 * time.Millisecond // between two sound ones
	soundEvents  = 60
	documents    = 20 // parts that sound requests share
	crashBudget  = 20 * time.Second
	quietSpan    = 10 * time.Second // before the first request with the part
	crashSpan    = 30 * time.Second // in which such requests come

	// Later than stableWindow after crash firstCrashes, maxLate requests with the part may reach engines.
	firstCrashes = 5
	maxLate      = 3
)

// crashSite is the engines of the case and what they have seen.
type crashSite struct {
	*site
	mu      sync.Mutex
	crashes []time.Time
	reached int // requests with the part that reached engines
	late    int // of those, later than the rule allows
}

// crashEngine is an engine that a part of a prompt crashes when it begins to write the answer.
type crashEngine struct {
	c     *crashSite
	n     int
	addr  string
	entry *worker

	mu    sync.Mutex
	boot  int
	ln    net.Listener
	conns map[net.Conn]bool
	down  bool
}

// start starts a new boot with an id of its own at the same address.
func (e *crashEngine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.addr, e.ln, e.conns, e.down = ln.Addr().String(), ln, make(map[net.Conn]bool), false
	e.boot++
	boot := e.boot
	e.mu.Unlock()
	e.entry = e.c.list(fmt.Sprintf("i-%d-%d", e.n, boot), e.addr, "engine", e.n, 64, "v1")
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns[c] = true
			e.mu.Unlock()
			go e.serve(c, boot)
		}
	}()
	return nil
}

// crash ends the process: its connections are reset, new ones are refused, and it reports to the store no more.
func (e *crashEngine) crash(boot int) {
	e.mu.Lock()
	if e.down || e.boot != boot {
		e.mu.Unlock()
		return
	}
	e.down = true
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	entry := e.entry
	e.mu.Unlock()
	entry.mu.Lock()
	entry.cut = true
	entry.mu.Unlock()
	e.c.mu.Lock()
	e.c.crashes = append(e.c.crashes, time.Now())
	n := len(e.c.crashes)
	e.c.mu.Unlock()
	e.c.add("trouble: crash %d, of %s; it is back in %v", n, entry.id, crashDown)
	time.AfterFunc(crashDown, func() {
		select {
		case <-e.c.stop:
			return
		default:
		}
		if err := e.start(); err != nil {
			e.c.add("engine %d is not back: %v", e.n, err)
		}
	})
}

func (e *crashEngine) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.Close()
	}
}

// serve answers one request of a connection.
func (e *crashEngine) serve(c net.Conn, boot int) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.conns, c)
	}()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if strings.HasPrefix(req.URL.Path, "/api/") {
		_, _ = c.Write(answer(http.StatusOK, "", map[string]any{"Stage": "both", "State": "ready", "Busy": false, "Sequence": 1}))
		return
	}
	id := req.Header.Get("Attempt-Id")
	if want := req.Header.Get("Expect-Instance"); want != e.entry.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return
	}
	if strings.Contains(req.Header.Get("Prompt-Prefix"), badPart+":") {
		e.c.recordReached(e.entry.id, id)
		time.Sleep(crashDelay)
		e.crash(boot)
		return
	}
	last, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	e.c.add("%s: runs %s from event %d on", e.entry.id, id, last+1)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.entry.id)
	for n := last + 1; n <= soundEvents; n++ {
		time.Sleep(eventPause)
		event := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
}

func (c *crashSite) recordReached(engine, id string) {
	c.mu.Lock()
	c.reached++
	isLate := len(c.crashes) >= firstCrashes && time.Since(c.crashes[firstCrashes-1]) > stableWindow
	if isLate {
		c.late++
	}
	c.mu.Unlock()
	c.add("%s: request %s with the part reaches it (late by the rule: %t)", engine, id, isLate)
}

// tally counts sound streams.
type tally struct {
	mu                    sync.Mutex
	sent, begun, complete int
}

func (t *tally) count(a *attempt) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.events > 0 {
		t.begun++
	}
	if a.complete && a.events == soundEvents {
		t.complete++
	}
}

func (t *tally) String() string {
	return fmt.Sprintf("%d sent, %d begun, %d complete, %d cut off", t.sent, t.begun, t.complete, t.begun-t.complete)
}

// playCrash: requests with one part of a prompt crash each engine that begins to write the answer, among sound streams. BUDGET.
func playCrash(s *site, trouble bool) (bool, error) {
	c := &crashSite{site: s}
	engine := map[string]any{
		"Slots": 64, "KvCapacity": 500000, "KvBytes": kvBytes, "LinkMbps": linkMbps, "Moves": true, "Backups": false, "Stride": tokensPerEvent, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []map[string]any{{"Name": "m"}},
	}
	s.configure([]map[string]any{{
		"Name": "short", "Host": host, "Prefix": "/short/", "Kind": "streaming", "TimeoutMs": crashBudget.Milliseconds(), "TargetLatencyMs": 1500,
		"Priority": 0, "Service": "engine", "MaxAttempts": 2, "Public": false, "SessionAffinity": true, "StreamResume": true, "GapAimMs": 180,
	}}, []map[string]any{{"Name": "engine", "HealthPath": "/health", "MaxConnections": 432, "Protocol": "h1", "Tls": false, "Engine": engine}})
	for i := range crashEngines {
		e := &crashEngine{c: c, n: i + 1, addr: "127.0.0.1:0"}
		if err := e.start(); err != nil {
			return false, err
		}
		defer e.close()
	}
	if err := s.startGateways(3); err != nil {
		return false, err
	}
	time.Sleep(stableWindow + 500*time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), quietSpan+crashSpan)
	defer cancel()
	var work sync.WaitGroup
	var before, during tally
	began := time.Now()
	work.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			work.Go(func() {
				t := &before
				if time.Since(began) > quietSpan {
					t = &during
				}
				name := fmt.Sprintf("s%04d", i)
				a := c.send(i, name, fmt.Sprintf("d%x", i%documents+1))
				t.count(a)
				s.add("consumer: sound stream %s sent to %s: status %d, ends after event %d of %d, error %v", name, a.at.name, a.status, a.events, soundEvents, a.err)
			})
			time.Sleep(soundPause)
		}
	})
	time.Sleep(quietSpan)
	s.add("sound streams: %d begun before the first request with the part", before.sent)
	for i := 0; trouble && ctx.Err() == nil; i++ {
		work.Go(func() {
			name := fmt.Sprintf("b%04d", i)
			a := c.send(i, name, badPart)
			s.add("consumer: request %s with the part sent to %s: status %d, error %v", name, a.at.name, a.status, a.err)
		})
		time.Sleep(badPause)
	}
	work.Wait()
	for _, g := range s.gateways {
		for _, line := range g.logLines("segments_convicted", 5) {
			s.add("log of %s: %s", g.name, line)
		}
	}
	s.add("sound streams sent before the first crash: %s; later: %s", &before, &during)
	s.add("judged: %d crashes; %d requests with the part reached engines, %d of them later than %v after crash %d (%d are allowed)",
		len(c.crashes), c.reached, c.late, stableWindow, firstCrashes, maxLate)
	if before.complete == 0 {
		return false, fmt.Errorf("no sound stream was served before")
	}
	return c.late > maxLate, nil
}

// send sends a stream whose prompt has a part that others have, too. No two requests are alike.
func (c *crashSite) send(i int, name, part string) *attempt {
	headers := map[string]string{"Prompt-Prefix": fmt.Sprintf("f0:79,%s:321,%x:100", part, 1<<20+i)}
	return c.stream(context.Background(), c.gateways[i%len(c.gateways)], "/short/"+name, "a-"+name, crashBudget, headers)
}
