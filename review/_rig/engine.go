package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The engines' figures: memory and links as in Kelburn's site file.
const (
	kvBytes        = 18432.0 // of a token
	linkMbps       = 2700.0
	copySetup      = 5 * time.Millisecond
	promptTokens   = 500
	tokensPerEvent = 4
)

// The dose of garble (extra, late).
const (
	doubledOf = 0.6  // share of the engines that are faulty
	doubled   = 0.03 // part of their answers that they give twice
)

// memory is the copied memory of a run.
type memory struct {
	run    string // Attempt-Id of the request whose memory it is
	events int
	at     string // address of the engine that holds it
}

// memories are the copies at all engines, by the source's address and the handle, and the engines' links.
type memories struct {
	mu     sync.Mutex
	byKey  map[string]*memory
	freeAt map[string]time.Time // of the link of an engine, by its address

	answers int // of faulty engines to control calls
	twice   int // of these, given twice
}

// transfer waits until tokens have been sent from one engine to another, behind the transfers under way on both links.
func (m *memories) transfer(from, to string, tokens int) {
	time.Sleep(copySetup)
	took := time.Duration(float64(tokens) * kvBytes * 8 / linkMbps * 1e3)
	m.mu.Lock()
	start := time.Now()
	for _, addr := range []string{from, to} {
		if at := m.freeAt[addr]; at.After(start) {
			start = at
		}
	}
	end := start.Add(took)
	m.freeAt[from], m.freeAt[to] = end, end
	m.mu.Unlock()
	time.Sleep(time.Until(end))
}

// engineServer is a model engine that speaks on raw connections, so that it can give an answer twice.
type engineServer struct {
	site     *site
	id, addr string
	copies   *memories
	events   int

	mu      sync.Mutex
	runs    map[string]*run
	handles int
	garbles bool // it gives some answers twice now
}

// run is one execution of a stream.
type run struct {
	events int
	stop   chan struct{}
	done   chan struct{}
	handle string
	copied int // tokens that the copy has
}

func newEngineServer(s *site, id string, copies *memories, events int) (*engineServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engineServer{site: s, id: id, addr: ln.Addr().String(), copies: copies, events: events, runs: make(map[string]*run)}
	go func() {
		<-s.stop
		_ = ln.Close()
	}()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e, nil
}

// serve answers the requests of one connection, one after the other. An extra answer is sent at the point where the next one is expected.
func (e *engineServer) serve(c net.Conn) {
	defer c.Close()
	rd := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		var body bytes.Buffer
		if _, err := body.ReadFrom(req.Body); err != nil {
			return
		}
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		if !strings.HasPrefix(req.URL.Path, "/api/") {
			if !e.stream(c, rd, req) {
				return
			}
			continue
		}
		reply := e.control(req, body.Bytes())
		if _, err := c.Write(reply); err != nil {
			return
		}
		if e.givesTwice() {
			extra = reply
			e.site.add("trouble: %s will give its answer to %s %s a second time: %q", e.id, req.Method, req.URL.Path, reply)
		}
	}
}

// givesTwice draws whether an answer is given twice. The share of such answers never exceeds doubled.
func (e *engineServer) givesTwice() bool {
	e.mu.Lock()
	garbles := e.garbles
	e.mu.Unlock()
	if !garbles {
		return false
	}
	m := e.copies
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answers++
	if float64(m.twice+1) > doubled*float64(m.answers) || rand.IntN(2) == 0 {
		return false
	}
	m.twice++
	return true
}

func (e *engineServer) garble(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.garbles = on
}

// answer returns an answer to a control call. It names the request that the call is about, if any.
func answer(status int, id string, body any) []byte {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	out := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		out = fmt.Appendf(out, "Attempt-Id: %s\r\n", id)
	}
	return fmt.Appendf(out, "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(b), b)
}

// control answers a control call.
func (e *engineServer) control(req *http.Request, body []byte) []byte {
	switch {
	case req.URL.Path == "/api/report":
		return answer(200, "", map[string]any{"Stage": "both", "State": "ready", "Busy": false, "Sequence": 1, "Waiting": 0, "Running": 0, "KvUsed": 0, "KvTotal": 500000, "Handles": 0})
	case strings.HasPrefix(req.URL.Path, "/api/kv-handle/"):
		e.copies.mu.Lock()
		defer e.copies.mu.Unlock()
		delete(e.copies.byKey, e.addr+"/"+strings.TrimPrefix(req.URL.Path, "/api/kv-handle/"))
		return answer(200, "", map[string]any{})
	case req.URL.Path == "/api/kv-move":
		return e.move(body)
	}
	return answer(404, "", nil)
}

// move copies a run's memory to another engine, and stops the run first if the last part is asked for.
func (e *engineServer) move(body []byte) []byte {
	var m struct {
		ID   string `json:"Id"`
		To   string
		Last bool
	}
	if json.Unmarshal(body, &m) != nil {
		return answer(400, "", nil)
	}
	e.mu.Lock()
	r := e.runs[m.ID]
	if r == nil {
		e.mu.Unlock()
		return answer(404, m.ID, nil)
	}
	if r.handle == "" {
		e.handles++
		r.handle = fmt.Sprintf("h%d", e.handles)
	}
	handle := r.handle
	if m.Last {
		delete(e.runs, m.ID)
	}
	e.mu.Unlock()
	if m.Last {
		close(r.stop)
		<-r.done
	}
	e.mu.Lock()
	events, missing := r.events, promptTokens+tokensPerEvent*r.events-r.copied
	r.copied += missing
	e.mu.Unlock()
	e.copies.transfer(e.addr, m.To, missing)
	e.copies.mu.Lock()
	defer e.copies.mu.Unlock()
	e.copies.byKey[e.addr+"/"+handle] = &memory{run: m.ID, events: events, at: m.To}
	if m.Last {
		e.site.add("%s: run of %s is stopped after event %d, its memory is copied to %s as %s", e.id, m.ID, events, m.To, handle)
	}
	return answer(200, m.ID, map[string]any{"Handle": handle, "CreateRevision": events})
}

// take uses a copy once.
func (m *memories) take(key, at string) *memory {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.byKey[key]
	if c == nil || c.at != at && !strings.HasPrefix(key, at+"/") {
		return nil
	}
	delete(m.byKey, key)
	return c
}

// stream runs a request. It reports whether the connection may carry another one.
func (e *engineServer) stream(c net.Conn, rd *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get("Attempt-Id")
	head := fmt.Sprintf("Attempt-Id: %s\r\n", id)
	if want := req.Header.Get("Expect-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", head)
		return err == nil
	}
	from, of := req.Header.Get("Kv-From"), id
	if from != "" {
		copied := e.copies.take(from, e.addr)
		if copied == nil {
			e.site.add("%s: rejects %s from %s: there is no such copy", e.id, id, from)
			_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", head)
			return err == nil
		}
		of = copied.run
		e.site.ranFrom(e.id, id, from, copied)
	}
	last := 0
	if v := req.Header.Get("Last-Event-Id"); v != "" {
		last, _ = strconv.Atoi(v)
	}
	e.site.add("%s: runs %s from event %d on", e.id, id, last+1)
	r := &run{events: last, stop: make(chan struct{}), done: make(chan struct{})}
	e.mu.Lock()
	e.runs[id] = r
	e.mu.Unlock()
	defer close(r.done)
	left := make(chan struct{})
	go func() {
		_, _ = rd.Peek(1)
		close(left)
	}()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sResponse-Seal: seal-%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n", head, e.id)
	for n := last + 1; n <= e.events; n++ {
		select {
		case <-r.stop:
			return false // the stream is closed without its end
		case <-left:
			e.forget(id, r)
			return false
		case <-time.After(eventPause):
		}
		event := fmt.Sprintf("id: %d\ndata: %d of %s\n\n", n, n, of)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.forget(id, r)
			return false
		}
		e.mu.Lock()
		r.events = n
		e.mu.Unlock()
	}
	e.forget(id, r)
	_, _ = fmt.Fprint(c, "0\r\n\r\n")
	return false
}

func (e *engineServer) forget(id string, r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[id] == r {
		delete(e.runs, id)
	}
}
