package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the store, and its removal.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Ver     int64  `json:"Ver"`
	Removed bool   `json:"Removed,omitempty"`
}

// store is a small stand-in of the platform's metadata store. It is sound: it loses nothing and always answers.
type store struct {
	addr  string
	start time.Time

	mu      sync.Mutex
	down    bool // every call is answered 503
	ver     int64
	rows    map[string]row // by table, part and key; removed rows stay
	changed chan struct{}
}

func newStore(ip string) (*store, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), start: time.Now(), rows: make(map[string]row), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/rows-get", s.get)
	mux.HandleFunc("GET /api/rows-feed", s.feed)
	mux.HandleFunc("POST /api/rows-tx", s.tx)
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isDown() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// setDown makes the store answer all calls, of all callers, with 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// tryPut is put for a caller that the store turns away while it is down.
func (s *store) tryPut(table, key string, value any) bool {
	if s.isDown() {
		return false
	}
	s.put(table, key, value)
	return true
}

func rowID(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// put writes a row on behalf of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.set(row{Table: table, Key: key, Value: b})
	s.wake()
}

// remove drops a row on behalf of the operator or of a worker.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.rows[rowID(table, "", key)]; !ok || old.Removed {
		return
	}
	s.ver++
	s.set(row{Table: table, Key: key, Removed: true})
	s.wake()
}

func (s *store) set(r row) {
	r.Ver = s.ver
	s.rows[rowID(r.Table, r.Part, r.Key)] = r
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) reply(w http.ResponseWriter, status int, body map[string]any) {
	body["NowMs"] = time.Since(s.start).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// maxRows is the number of rows in one answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	out := []row{}
	for _, x := range s.rows {
		if x.Removed || x.Table != q.Get("Table") || x.Part != q.Get("part") || x.Key < q.Get("From") {
			continue
		}
		if to := q.Get("To"); to != "" && x.Key >= to {
			continue
		}
		out = append(out, x)
	}
	ver := s.ver
	s.mu.Unlock()
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, http.StatusOK, map[string]any{"Rows": out, "MorePages": more, "Ver": ver})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("After"), 10, 64)
	if err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		out := []row{}
		for _, x := range s.rows {
			if x.Table == q.Get("Table") && x.Ver > after {
				out = append(out, x)
			}
		}
		ver, changed, down := s.ver, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(out) > 0 {
			slices.SortFunc(out, func(a, b row) int { return int(a.Ver - b.Ver) })
			s.reply(w, http.StatusOK, map[string]any{"Rows": out, "Ver": ver})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.reply(w, http.StatusOK, map[string]any{"Rows": out, "Ver": ver})
			return
		}
	}
}

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t struct{ Precondition, Writes, Remove []row }
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		s.reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range slices.Concat(t.Writes, t.Remove) {
		if x.Table == "op" || x.Table == "servers" {
			s.reply(w, http.StatusForbidden, map[string]any{})
			return
		}
	}
	var current []row
	failed := false
	for _, p := range t.Precondition {
		have := s.rows[rowID(p.Table, p.Part, p.Key)]
		if have.Removed {
			have = row{}
		}
		failed = failed || have.Ver != p.Ver
		if have.Ver != 0 {
			current = append(current, have)
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, map[string]any{"Rows": current, "Ver": s.ver})
		return
	}
	s.ver++
	for _, x := range t.Writes {
		x.Removed = false
		s.set(x)
	}
	for _, x := range t.Remove {
		if _, ok := s.rows[rowID(x.Table, x.Part, x.Key)]; ok {
			s.set(row{Table: x.Table, Part: x.Part, Key: x.Key, Removed: true})
		}
	}
	s.wake()
	s.reply(w, http.StatusOK, map[string]any{"Ver": s.ver})
}
