package entryproc

import (
	"io"
	"net/http"
)

// opsHandler serves health, readiness and metrics.
func (p *Process) opsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", p.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { p.metrics.Write(w) })
	return mux
}

// ready answers balancers: 503 from the first moment of a planned stop.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	if p.server.Leaving() {
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
