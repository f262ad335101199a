// Package platform is a small stand-in for the platform: a transactional table, an object store, a lagging instance
// list and a rate-limited weight store behind the HTTP interface of package platformapi, with faults to order.
//
// It keeps all in memory, in one process. Each transaction counts as one write however many keys it touches, up to
// MaxTxnKeys.
package platform

import (
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"anvilwick.example/anvilwick/lib/platformapi"
)

// Paths of the stand-in's own interface, for tests and operators of a trial site.
const (
	FaultPath     = "/standin/fault"      // POST Fault
	InstancesPath = "/standin/instances/" // PUT {id} with an Instance, DELETE {id}
)

const (
	// MaxTxnKeys bounds the conditions, and the writes, of one transaction.
	MaxTxnKeys = 128
	maxBody    = 4 << 20
)

// Config sets limits and lags. Zero values take the defaults.
type Config struct {
	WritesPerSec  float64       // default 300
	ReadsPerSec   float64       // default 2000
	ListLag       time.Duration // default 0
	WeightsPerSec float64       // transfers that may start a second; default 1
	Seed          uint64        // of the draws of faults
	AnswerDelay   time.Duration // service time of every request
	Unlimited     bool          // lifts both limits, for tests that measure something else
}

func (c *Config) setDefaults() {
	if c.WritesPerSec == 0 {
		c.WritesPerSec = 300
	}
	if c.ReadsPerSec == 0 {
		c.ReadsPerSec = 2000
	}
	if c.WeightsPerSec == 0 {
		c.WeightsPerSec = 1
	}
}

// Server is the stand-in. Serve Handler, or use Transport to reach it without a network.
type Server struct {
	cfg       Config
	table     *table
	faults    *faults
	instances *instances
	writes    *rate.Limiter
	reads     *rate.Limiter
	weights   *rate.Limiter
	objMu     sync.Mutex
	objects   map[string][]byte
}

// New returns a stand-in with an empty table.
func New(cfg Config) *Server {
	cfg.setDefaults()
	s := &Server{
		cfg:       cfg,
		table:     newTable(),
		faults:    newFaults(cfg.Seed),
		instances: &instances{},
		writes:    limiter(cfg.WritesPerSec),
		reads:     limiter(cfg.ReadsPerSec),
		weights:   rate.NewLimiter(rate.Limit(cfg.WeightsPerSec), 1),
		objects:   map[string][]byte{},
	}
	if cfg.Unlimited {
		s.writes, s.reads = rate.NewLimiter(rate.Inf, 1), rate.NewLimiter(rate.Inf, 1)
	}
	return s
}

// limiter allows bursts of a tenth of a second.
func limiter(perSec float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSec), max(1, int(perSec/10)))
}

// SetFault orders a fault; it reports false for an unknown kind.
func (s *Server) SetFault(f Fault) bool {
	if f.Kind == FaultRestore {
		s.table.restore(time.Now().Add(-time.Duration(f.DelayMS) * time.Millisecond))
		return true
	}
	return s.faults.set(f, time.Now())
}

// PutInstance adds or replaces an instance on the list.
func (s *Server) PutInstance(in platformapi.Instance) { s.instances.put(in, time.Now()) }

// RemoveInstance takes an instance off the list.
func (s *Server) RemoveInstance(id string) { s.instances.remove(id, time.Now()) }

// Item returns the newest state of a key, past all faults and limits.
func (s *Server) Item(key string) (platformapi.Item, bool) {
	it, _, ok := s.table.get(key, time.Time{})
	return it, ok
}

// Handler serves the platform's interface and the stand-in's own.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformapi.PathTxn, s.met(s.writes, true, s.txn))
	mux.HandleFunc("GET "+platformapi.PathOp+"{id}", s.met(s.reads, false, s.op))
	mux.HandleFunc("GET "+platformapi.PathGet, s.met(s.reads, false, s.get))
	mux.HandleFunc("GET "+platformapi.PathRange, s.met(s.reads, false, s.scan))
	mux.HandleFunc(platformapi.PathObjects+"{name...}", s.met(s.reads, false, s.object))
	mux.HandleFunc("GET "+platformapi.PathInstances, s.met(s.reads, false, s.list))
	mux.HandleFunc("GET "+platformapi.PathWeights+"{model}/{version}", s.met(nil, false, s.weight))
	mux.HandleFunc("POST "+FaultPath, s.fault)
	mux.HandleFunc("PUT "+InstancesPath+"{id}", s.putInstance)
	mux.HandleFunc("DELETE "+InstancesPath+"{id}", s.deleteInstance)
	return mux
}

// met wraps a handler with limits and faults. The answer is made in memory first: what a slow or lost answer hides
// has taken effect all the same.
func (s *Server) met(lim *rate.Limiter, write bool, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if _, hit := s.faults.meets(FaultOutage, write, now); hit {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if lim != nil && !lim.Allow() {
			refuseLater(w, time.Second)
			return
		}
		time.Sleep(s.cfg.AnswerDelay)
		if d, hit := s.faults.meets(FaultSlow, write, now); hit {
			time.Sleep(d)
		}
		if _, hit := s.faults.meets(FaultLoseAnswer, write, now); hit {
			h(&discard{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

func refuseLater(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	http.Error(w, "over the limit", http.StatusTooManyRequests)
}

// discard takes an answer that nobody gets.
type discard struct{ header http.Header }

func (d *discard) Header() http.Header         { return d.header }
func (d *discard) Write(b []byte) (int, error) { return len(b), nil }
func (d *discard) WriteHeader(int)             {}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the sender has gone: nothing is left to tell
}

// asOf is the moment that a read of the table sees; zero means now.
func (s *Server) asOf() time.Time {
	now := time.Now()
	if d, hit := s.faults.meets(FaultStaleReads, false, now); hit {
		return now.Add(-d)
	}
	return time.Time{}
}
