// Package platform is a small stand-in for the platform: a transactional table, an object store, a lagging instance
// list and a rate-limited weight store behind the HTTP interface of package platformapi, with fault injection.
//
// It keeps all data in the memory of one process. A transaction counts as one write however many keys it touches, up to
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

// Paths of the stand-in's own interface, for tests and for operators of a test site.
const (
	FaultPath     = "/standin/fault"      // POST Fault
	InstancesPath = "/standin/instances/" // PUT {id} with an Instance, DELETE {id}
)

const (
	// MaxTxnKeys bounds the conditions, and separately the writes, of one transaction.
	MaxTxnKeys = 128
	maxBody    = 4 << 20
)

// Config sets rate limits and lags. Zero values take the defaults.
type Config struct {
	WritesPerSec  float64       // default 300
	ReadsPerSec   float64       // default 2000
	ListLag       time.Duration // default 0
	WeightsPerSec float64       // weight transfers that may start per second; default 1
	Seed          uint64        // of the random source for faults
	AnswerDelay   time.Duration // service time of every request
	Unlimited     bool          // lifts the read and write limits, for tests of other behaviour
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

// Server is the stand-in. Serve Handler over HTTP, or use Transport to reach it without a network.
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

// limiter allows bursts of a tenth of a second's requests.
func limiter(perSec float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSec), max(1, int(perSec/10)))
}

// SetFault injects a fault and reports whether its kind is known.
func (s *Server) SetFault(f Fault) bool {
	if f.Kind == FaultRestore {
		s.table.restore(time.Now().Add(-time.Duration(f.DelayMS) * time.Millisecond))
		return true
	}
	return s.faults.set(f, time.Now())
}

// PutInstance adds or replaces an instance on the list.
func (s *Server) PutInstance(in platformapi.Instance) { s.instances.put(in, time.Now()) }

// RemoveInstance deletes an instance from the list.
func (s *Server) RemoveInstance(id string) { s.instances.remove(id, time.Now()) }

// Item returns the newest state of a key, bypassing all faults and limits.
func (s *Server) Item(key string) (platformapi.Item, bool) {
	it, _, ok := s.table.get(key, time.Time{})
	return it, ok
}

// Handler serves the platform's interface and the stand-in's own paths.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platformapi.PathTxn, s.withLimitAndFaults(s.writes, true, s.txn))
	mux.HandleFunc("GET "+platformapi.PathOp+"{id}", s.withLimitAndFaults(s.reads, false, s.op))
	mux.HandleFunc("GET "+platformapi.PathGet, s.withLimitAndFaults(s.reads, false, s.get))
	mux.HandleFunc("GET "+platformapi.PathRange, s.withLimitAndFaults(s.reads, false, s.scan))
	mux.HandleFunc(platformapi.PathObjects+"{name...}", s.withLimitAndFaults(s.reads, false, s.object))
	mux.HandleFunc("GET "+platformapi.PathInstances, s.withLimitAndFaults(s.reads, false, s.list))
	mux.HandleFunc("GET "+platformapi.PathWeights+"{model}/{version}", s.withLimitAndFaults(nil, false, s.weight))
	mux.HandleFunc("POST "+FaultPath, s.fault)
	mux.HandleFunc("PUT "+InstancesPath+"{id}", s.putInstance)
	mux.HandleFunc("DELETE "+InstancesPath+"{id}", s.deleteInstance)
	return mux
}

// withLimitAndFaults wraps a handler with a rate limit and faults. With FaultSlow or FaultLoseAnswer the request still takes effect, even
// if the client never gets the answer.
func (s *Server) withLimitAndFaults(lim *rate.Limiter, write bool, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		now := time.Now()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
		if err != nil {
			http.Error(w, "body too large", http.StatusRequestEntityTooLarge)
			return
		}
		r.Body = io.NopCloser(strings.NewReader(string(body)))
		if _, hit := s.faults.hit(FaultOutage, write, now); hit {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if lim != nil && !lim.Allow() {
			writeRateLimited(w, time.Second)
			return
		}
		time.Sleep(s.cfg.AnswerDelay)
		if d, hit := s.faults.hit(FaultSlow, write, now); hit {
			time.Sleep(d)
		}
		if _, hit := s.faults.hit(FaultLoseAnswer, write, now); hit {
			h(&discardWriter{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

func writeRateLimited(w http.ResponseWriter, after time.Duration) {
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	http.Error(w, "over the limit", http.StatusTooManyRequests)
}

// discardWriter is a ResponseWriter for an answer that is lost.
type discardWriter struct{ header http.Header }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardWriter) WriteHeader(int)             {}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the client has disconnected
}

// asOf returns the time whose state a table read sees; zero means the newest.
func (s *Server) asOf() time.Time {
	now := time.Now()
	if d, hit := s.faults.hit(FaultStaleReads, false, now); hit {
		return now.Add(-d)
	}
	return time.Time{}
}
