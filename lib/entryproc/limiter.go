package entryproc

import (
	"context"
	"strings"

	"anvilwick.example/anvilwick/lib/entry"
	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/settings"
)

// limiter enforces the limits of workspaces and classes of each service across all entries.
type limiter struct {
	service *limit.Service
}

// limitKey joins service and workspace into one key, since limits are per workspace within a service. Names contain no slash.
func limitKey(s entry.Subject) limit.Key {
	return limit.Key{Workspace: s.Service + "/" + s.Workspace, Class: s.Class}
}

// limitsOf resolves limit keys under the current settings.
func limitsOf(snapshot func() *settings.Snapshot) limit.LimitFunc {
	return func(k limit.Key) limit.Limit {
		snap := snapshot()
		service, workspace, ok := strings.Cut(k.Workspace, "/")
		if snap == nil || !ok {
			return limit.Limit{}
		}
		p := snap.Policy(service, workspace, k.Class)
		if p == nil { // the request was made under another revision: the service is unknown here
			return limit.Limit{}
		}
		return limit.Limit{Concurrency: p.Concurrency, RatePerSecond: p.RatePerSecond}
	}
}

// Acquire implements entry.Limiter.
func (l limiter) Acquire(ctx context.Context, s entry.Subject, p *settings.Policy) (func(), *result.Error) {
	if p.Concurrency == 0 && p.RatePerSecond == 0 {
		return func() {}, nil
	}
	key := limitKey(s)
	answer := l.service.Acquire(ctx, key)
	if answer.Verdict != limit.Admitted {
		err := result.New(result.WorkspaceLimit, "class %q of service %q", s.Class, s.Service)
		err.RetryAfter = answer.RetryAfter
		return nil, err
	}
	return func() { l.service.Release(key) }, nil
}
