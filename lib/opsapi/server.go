package opsapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/callerconn"
)

const (
	maxBody      = 4 << 10
	maxHeader    = 8 << 10
	readTimeout  = 5 * time.Second
	writeTimeout = 10 * time.Second
	idleTimeout  = 30 * time.Second
)

// ErrBadHash is returned by ParseHash.
var ErrBadHash = errors.New("operator token hash must be 64 hexadecimal digits (SHA-256)")

// Hash is the SHA-256 of an operator's token; settings and logs never contain the token itself.
type Hash [sha256.Size]byte

// ParseHash parses 64 hexadecimal digits.
func ParseHash(s string) (Hash, error) {
	var h Hash
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != len(h) {
		return h, ErrBadHash
	}
	copy(h[:], b)
	return h, nil
}

// HashToken returns the hash of a token.
func HashToken(token string) Hash { return sha256.Sum256([]byte(token)) }

// Handler serves the interface. hashes are those of the valid operator tokens; without any, requests to paths that
// need a token are all rejected.
func Handler(hashes []Hash, src Source) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET "+PathReady, ready(src.Ready))
	mux.HandleFunc("GET "+PathMetrics, func(w http.ResponseWriter, _ *http.Request) { writeMetrics(w, src.Metrics) })
	ops := http.NewServeMux()
	if src.Status != nil {
		ops.HandleFunc("GET "+PathStatus, func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, src.Status()) })
	}
	if src.Targets != nil {
		ops.HandleFunc("GET "+PathTargets, func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, src.Targets()) })
	}
	if src.Queues != nil {
		ops.HandleFunc("GET "+PathQueues, func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, src.Queues()) })
	}
	if src.Drain != nil {
		ops.HandleFunc("POST "+PathDrain, drain(src))
	}
	mux.Handle("/ops/", authorised(hashes, ops))
	return mux
}

// Server returns a server for h with limits on all times and sizes.
func Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         callerconn.OnState,
	}
}

// writeMetrics writes the process's own set, then the process-wide metrics: processor time, memory, links.
func writeMetrics(w io.Writer, own func(io.Writer)) {
	if own != nil {
		own(w)
	}
	metrics.WritePrometheus(w, true)
}

func ready(f func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if f != nil {
			if err := f(); err != nil {
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
				return
			}
		}
		_, _ = io.WriteString(w, "ready\n")
	}
}

func drain(src Source) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var req DrainRequest
		dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&req); err != nil {
			reply(w, http.StatusBadRequest, ErrorReply{Error: "body is no drain request: " + err.Error()})
			return
		}
		if req.Target == "" || req.Operator == "" {
			reply(w, http.StatusBadRequest, ErrorReply{Error: "target and operator must be given"})
			return
		}
		rep, err := src.Drain(r.Context(), req)
		if err != nil {
			reply(w, http.StatusServiceUnavailable, ErrorReply{Error: err.Error()})
			return
		}
		reply(w, http.StatusOK, rep)
	}
}

func authorised(hashes []Hash, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !allowed(hashes, r.Header.Get("Authorization")) {
			w.Header().Set("WWW-Authenticate", `Bearer realm="anvilwick operators"`)
			reply(w, http.StatusUnauthorized, ErrorReply{Error: "an operator's bearer token is needed"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// allowed compares every hash even after a match, so that its duration reveals nothing about which one matched.
func allowed(hashes []Hash, header string) bool {
	token, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || token == "" {
		return false
	}
	got := HashToken(token)
	match := 0
	for i := range hashes {
		match |= subtle.ConstantTimeCompare(got[:], hashes[i][:])
	}
	return match == 1
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		_, _ = fmt.Fprintln(w)
	}
}
