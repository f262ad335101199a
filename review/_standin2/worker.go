package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which workers write their entries; an entry is removed after three intervals of silence.
const heartbeat = 1200 * time.Millisecond

// arrival is a request that a worker began to run.
type arrival struct {
	at             time.Time
	worker, id     string
	path, body     string
	tenant, secret string // headers Tenant and X-Api-Key
}

// worker is a stand-in of a plain service's worker. Each start is a new boot with a new id at the same address.
type worker struct {
	store         *store
	rec           *record
	name          string
	service, zone string
	addr          string
	slots         int
	work          func(path string) time.Duration
	crashes       func(body string) bool // whether the worker crashes when it begins to run such a request
	backAfter     time.Duration          // after a crash
	onRun         func(arrival)
	software      string // version of its software
	keepsID       bool   // a start is a new boot under the same id, and the worker says when it was started (born)

	mu      sync.Mutex
	boot    int
	born    int64
	id      string
	ln      net.Listener
	conns   map[net.Conn]bool
	stop    context.CancelFunc
	seq     int
	running atomic.Int32
	down    bool
}

func (w *worker) start(ip string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.addr
	if at == "" {
		at = ip + ":0"
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return err
	}
	w.addr = ln.Addr().String()
	w.boot++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.boot)
	if w.keepsID {
		w.id = "i-" + w.name
	}
	w.born = time.Now().UnixMilli()
	w.ln, w.conns, w.seq, w.down = ln, make(map[net.Conn]bool), 0, false
	w.running.Store(0)
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	boot := w.boot
	srv := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(boot, rw, r) })}
	srv.ConnState = func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.boot != boot || w.down:
			reset(c)
		case s == http.StateNew:
			w.conns[c] = true
		case s == http.StateClosed || s == http.StateHijacked:
			delete(w.conns, c)
		}
	}
	go func() { _ = srv.Serve(ln) }()
	go w.beat(ctx, w.id)
	return nil
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// beat writes the worker's entry until the boot ends.
func (w *worker) beat(ctx context.Context, id string) {
	for {
		w.mu.Lock()
		w.seq++
		entry := map[string]any{
			"Service": w.service, "Address": w.addr, "Zone": w.zone, "Version": w.software, "Slots": w.slots, "State": "ready",
			"ColdRemainingMs": 0, "Sequence": w.seq,
		}
		if w.keepsID {
			entry["born"] = w.born
		}
		w.mu.Unlock()
		for !w.store.tryPut("servers", id, entry) {
			select { // a worker tries again soon while the store is down
			case <-ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
		select {
		case <-ctx.Done():
			if !w.keepsID {
				time.AfterFunc(3*heartbeat, func() { w.store.remove("servers", id) })
			}
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the boot at once: the listener closes and all channels are reset. The worker is back after some seconds.
func (w *worker) crash(boot int) {
	w.mu.Lock()
	if w.boot != boot || w.down {
		w.mu.Unlock()
		return
	}
	w.down = true
	w.stop()
	_ = w.ln.Close()
	for c := range w.conns {
		reset(c)
	}
	w.mu.Unlock()
	w.rec.add("worker %s crashed with %d requests running", w.id, w.running.Load())
	time.AfterFunc(w.backAfter, func() {
		if err := w.start(""); err != nil {
			w.rec.say("worker %s can't start again: %v", w.name, err)
			return
		}
		w.rec.add("worker %s is back as %s", w.name, w.id)
	})
}

func (w *worker) serve(boot int, rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	h := rw.Header()
	switch r.URL.Path {
	case "/health":
		h.Set("Instance-Id", id)
		return
	case "/api/report":
		w.report(rw)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	h.Set("Attempt-Id", attempt)
	h.Set("Keep-Alive", "timeout=20")
	if attempt == "" {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := int(w.running.Add(1))
	defer w.running.Add(-1)
	if n > 2*w.slots {
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := string(b)
	short := body
	if len(short) > 40 {
		short = fmt.Sprintf("%d bytes", len(body))
	}
	w.onRun(arrival{at: time.Now(), worker: id, id: attempt, path: r.URL.Path, body: short, tenant: r.Header.Get("Tenant"), secret: r.Header.Get("X-Api-Key")})
	if w.crashes != nil && w.crashes(body) {
		time.Sleep(20 * time.Millisecond)
		w.crash(boot)
		return
	}
	if strings.HasPrefix(r.URL.Path, "/gen/") {
		w.stream(rw, r, id, attempt)
		return
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(w.work(r.URL.Path)):
	}
	h.Set("Response-Seal", fmt.Sprintf("seal-%s-%s", id, attempt))
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", n, w.slots))
	fmt.Fprintf(rw, "run by %s: %s", id, attempt)
}

// Streams of the stand-in: their number of events and the pause before each.
const (
	streamEvents = 160
	streamPause  = 50 * time.Millisecond
)

// stream answers with numbered events, after Last-Event-Id if there is one. Each event names the worker and the version of its software.
func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id, attempt string) {
	w.mu.Lock()
	software, born := w.software, w.born
	w.mu.Unlock()
	first := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = n + 1
		w.rec.add("worker %s (%s, born %d) goes on with %s after event %d", id, software, born, attempt, n)
	}
	h := rw.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Response-Seal", fmt.Sprintf("seal-%s-%s", id, attempt))
	h.Set("Weight-Versions", "1")
	out := http.NewResponseController(rw)
	for n := first; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(streamPause):
		}
		fmt.Fprintf(rw, "id: %d\ndata: %s %s %s\n\n", n, attempt, id, software)
		if out.Flush() != nil {
			return
		}
	}
}

// report answers a poll of an engine.
func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	running := w.running.Load()
	fmt.Fprintf(rw, `{"Stage":"both","State":"ready","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":0,"Waiting":0,`+
		`"Running":%d,"KvUsed":%d,"KvTotal":%d,"Handles":0,"born":%d}`, running, 500*running, engineTokens, w.born)
}

// restartAs stops the worker at once and starts it again after some time with another version of its software.
func (w *worker) restartAs(software string, down time.Duration) {
	w.mu.Lock()
	boot := w.boot
	w.software, w.backAfter = software, down
	w.mu.Unlock()
	w.crash(boot)
}
