// Package opsapi is the operators' HTTP interface, on a separate port from the callers': health, metrics, and, with an
// operator's token, status, targets, queues and drain as JSON. Entries and control processes serve the same paths.
package opsapi

import (
	"context"
	"io"
)

// Paths of the interface. Health, readiness and metrics need no token: probes and scrapers have none, and they expose no
// request and no key.
const (
	PathHealth  = "/healthz" // GET: 200 while the process runs
	PathReady   = "/readyz"  // GET: 200 when it can take work, 503 with the reason otherwise
	PathMetrics = "/metrics" // GET: Prometheus text
	PathStatus  = "/ops/v1/status"
	PathTargets = "/ops/v1/targets"
	PathQueues  = "/ops/v1/queues"
	PathDrain   = "/ops/v1/drain" // POST DrainRequest
)

// Roles of a process.
const (
	RoleEntry   = "entry"
	RoleControl = "control"
)

// Status is one process's view of itself and of the other instances.
type Status struct {
	Instance         string   `json:"instance"`
	Role             string   `json:"role"`
	Incarnation      uint64   `json:"incarnation"`
	FailureDomain    string   `json:"failure_domain"`
	Version          string   `json:"version"`
	SettingsRevision uint64   `json:"settings_revision"` // in force here
	Streams          int      `json:"streams"`           // requests in progress
	Queued           int      `json:"queued"`
	Stopping         bool     `json:"stopping"`
	Store            string   `json:"store,omitempty"` // "up" or "down" at the last contact
	Link             string   `json:"link,omitempty"`  // "up" or "down": between control process and entry
	Members          []Member `json:"members,omitempty"`
	Leases           []Lease  `json:"leases,omitempty"`
	Power            []Power  `json:"power,omitempty"`
}

// Member is an instance as this process sees it.
type Member struct {
	Instance         string `json:"instance"`
	Incarnation      uint64 `json:"incarnation"`
	FailureDomain    string `json:"failure_domain"`
	State            string `json:"state"` // live, leaving or dead
	Addr             string `json:"addr"`
	SettingsRevision uint64 `json:"settings_revision,omitempty"` // highest that its heartbeats carry, in force or not; 0: unknown
}

// Lease is a lease that this process holds.
type Lease struct {
	Name   string `json:"name"`
	Fence  uint64 `json:"fence"`
	LeftMS int64  `json:"left_ms"` // until the holder stops itself
}

// Power is the share of the site's power assigned to a service's shard and in force at this process.
type Power struct {
	Service       string  `json:"service"`
	Shard         uint32  `json:"shard"`
	Watts         float64 `json:"watts"`
	FallbackWatts float64 `json:"fallback_watts"`
	Fence         uint64  `json:"fence"`
	LeftMS        int64   `json:"left_ms"`
}

// States of a target.
const (
	TargetLive     = "live"
	TargetDraining = "draining" // drained by an operator
	TargetLeaving  = "leaving"  // announced in its own report
	TargetSilent   = "silent"   // no report
)

// Target is a back end as this process sees it.
type Target struct {
	Service       string  `json:"service"`
	Name          string  `json:"name"`
	Addr          string  `json:"addr"`
	FailureDomain string  `json:"failure_domain"`
	State         string  `json:"state"`
	Running       int     `json:"running"`
	Waiting       int     `json:"waiting"`
	KVUsed        int     `json:"kv_used"`  // tokens
	KVTotal       int     `json:"kv_total"` // tokens
	Watts         float64 `json:"watts"`
	Model         string  `json:"model,omitempty"`
	ModelVersion  string  `json:"model_version,omitempty"`
	Fence         uint64  `json:"fence,omitempty"`
	ReportAgeMS   int64   `json:"report_age_ms"`
}

// Queue is the queue of one workspace and class of a service at this process.
type Queue struct {
	Service   string `json:"service"`
	Shard     int    `json:"shard"`
	Workspace string `json:"workspace,omitempty"`
	Class     string `json:"class,omitempty"`
	Queued    int    `json:"queued"`
	Running   int    `json:"running"`
	WaitMS    int64  `json:"wait_ms"` // expected wait of a new request
}

// DrainRequest starts or ends an operator's drain of a target.
type DrainRequest struct {
	Target   string `json:"target"`
	On       bool   `json:"on"`
	Operator string `json:"operator"` // who requests it; for the log and for other operators
}

// DrainReply reports where the request has taken effect.
type DrainReply struct {
	Applied bool   `json:"applied"` // in force at this instance
	Durable bool   `json:"durable"` // recorded in the table: it reaches every instance and survives this one
	Detail  string `json:"detail,omitempty"`
}

// ErrorReply is the body of an error response.
type ErrorReply struct {
	Error string `json:"error"`
}

// Source provides the data behind the interface. The path of a nil function is answered with 404.
type Source struct {
	Status  func() Status
	Targets func() []Target
	Queues  func() []Queue
	Drain   func(ctx context.Context, r DrainRequest) (DrainReply, error)
	Ready   func() error    // nil: always ready
	Metrics func(io.Writer) // metrics outside the process-wide set; nil: none
}
