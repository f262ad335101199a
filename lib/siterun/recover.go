package siterun

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/httpresp"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/workload"
)

const (
	recoverModel        = "recover"
	recoverWorkspace    = "recover"
	recoverTokens       = 250
	recoverKillAt       = 120 // tokens; over a second into the stream, so that a resume record has been written
	recoverRoundTimeout = time.Minute
	recoverLease        = "power"
)

var errNoProcess = errors.New("no process to kill was found")

// recovery is a site whose processes are killed in turn.
type recovery struct {
	site *localsite.Site
}

// Recover kills one process of each role c.Recover times and prints the time until service resumes: from SIGKILL to the next
// token that the caller receives, or to the next holder of the lease.
func Recover(ctx context.Context, c Config, w io.Writer) error {
	site, err := c.startRecoverSite(ctx)
	if err != nil {
		return err
	}
	defer site.Close()
	r := &recovery{site: site}
	for _, role := range []struct {
		name  string
		round func(context.Context, int) (time.Duration, error)
	}{
		{"engine under a stream", r.killEngine},
		{"entry under a keyed stream", r.killEntry},
		{"owner of the shard, new request elsewhere", r.killOwner},
		{"holder of a lease, TTL 3 s", r.killHolder},
	} {
		times, err := rounds(ctx, c.Recover, role.round)
		if err != nil {
			return fmt.Errorf("%s: %w", role.name, err)
		}
		fmt.Fprintf(w, "recover: killed=%q n=%d p50_ms=%d worst_ms=%d\n",
			role.name, len(times), times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds())
	}
	return stop(ctx, site)
}

func (c Config) startRecoverSite(ctx context.Context) (*localsite.Site, error) {
	return start(ctx, localsite.Config{
		Binaries: c.Binaries, Engines: 3, Plains: 1, Entries: 3,
		Settings: localsite.Settings{
			Model: recoverModel, Service: recoverModel, Route: "/plain", Workspaces: []string{recoverWorkspace}, PowerCap: 100000,
			Classes: []workload.Class{{Name: "standard", Priority: 1, MaxWait: time.Minute, QueueBound: 100}},
		},
	})
}

// rounds runs n rounds and returns their times in ascending order.
func rounds(ctx context.Context, n int, round func(context.Context, int) (time.Duration, error)) ([]time.Duration, error) {
	var times []time.Duration
	for i := range n {
		rctx, cancel := context.WithTimeout(ctx, recoverRoundTimeout)
		d, err := round(rctx, i)
		cancel()
		if err != nil {
			return nil, fmt.Errorf("round %d: %w", i, err)
		}
		times = append(times, d)
	}
	slices.Sort(times)
	return times, nil
}

// resumeTime runs a stream through an entry, calls kill midway, and returns the time from there to the next token. The answer
// must be complete.
func (r *recovery) resumeTime(ctx context.Context, call caller.Call, kill func() error) (time.Duration, error) {
	c := &caller.Client{Entries: r.site.CallerAddrs(), Token: localsite.WorkspaceKey(recoverWorkspace), HTTP: &http.Client{Transport: httpresp.NewTransport(new(http.Transport))}}
	call.Model, call.Class = recoverModel, "standard"
	call.Prompt = fmt.Sprintf("%d [len=%d]", time.Now().UnixNano(), recoverTokens)
	var text strings.Builder
	var from, to time.Time
	var killErr error
	_, err := c.Stream(ctx, call, func(t caller.Token) {
		text.WriteString(t.Text)
		switch {
		case t.Index == recoverKillAt:
			killErr = kill()
			from = time.Now()
		case to.IsZero() && t.Index > recoverKillAt && t.At.After(from):
			to = t.At
		}
	})
	if err := errors.Join(killErr, err); err != nil {
		return 0, err
	}
	return to.Sub(from), engine.CheckAnswer(call.Prompt, text.String(), recoverTokens)
}

func (r *recovery) killEngine(ctx context.Context, i int) (time.Duration, error) {
	var killed *localsite.Node
	d, err := r.resumeTime(ctx, caller.Call{Entry: i}, func() (err error) {
		if killed, err = r.site.StreamingEngine(ctx); err != nil {
			return err
		}
		if killed == nil {
			return errNoProcess
		}
		return killed.Kill()
	})
	if err != nil {
		return 0, err
	}
	return d, errors.Join(r.site.Restart(killed), r.site.AwaitTargets(ctx))
}

func (r *recovery) killEntry(ctx context.Context, i int) (time.Duration, error) {
	killed := r.site.Entries[i%len(r.site.Entries)]
	call := caller.Call{Entry: i, Key: fmt.Sprint("recover-", i), MaxResumes: 1000}
	d, err := r.resumeTime(ctx, call, killed.Kill)
	if err != nil {
		return 0, err
	}
	return d, r.restart(ctx, killed)
}

// killOwner kills the entry that owns the engines' shard, sends a new request to another entry, and returns the time to its
// first token.
func (r *recovery) killOwner(ctx context.Context, _ int) (time.Duration, error) {
	index, err := r.findOwner(ctx)
	if err != nil {
		return 0, err
	}
	killed := r.site.Entries[index]
	if err := killed.Kill(); err != nil {
		return 0, err
	}
	from := time.Now()
	var first time.Time
	c := &caller.Client{Entries: r.site.CallerAddrs(), Token: localsite.WorkspaceKey(recoverWorkspace), HTTP: &http.Client{Transport: httpresp.NewTransport(new(http.Transport))}}
	call := caller.Call{Model: recoverModel, Class: "standard", Prompt: "new [len=5]", Entry: index + 1}
	_, err = c.Stream(ctx, call, func(t caller.Token) {
		if first.IsZero() {
			first = t.At
		}
	})
	if err != nil {
		return 0, err
	}
	return first.Sub(from), r.restart(ctx, killed)
}

// findOwner waits until an entry owns the shard and returns its index.
func (r *recovery) findOwner(ctx context.Context) (int, error) {
	index := -1
	err := proc.Until(ctx, "an owner", func(ctx context.Context) error {
		for i, n := range r.site.Entries {
			qs, err := localsite.Operator(n).Queues(ctx)
			if err != nil {
				return err
			}
			if len(qs) > 0 {
				index = i
				return nil
			}
		}
		return errNoProcess
	})
	return index, err
}

// killHolder kills the control process that holds the lease and waits until another one holds it.
func (r *recovery) killHolder(ctx context.Context, _ int) (time.Duration, error) {
	killed, err := r.findLeaseHolder(ctx, nil)
	if err != nil {
		return 0, err
	}
	if err := killed.Kill(); err != nil {
		return 0, err
	}
	from := time.Now()
	if _, err := r.findLeaseHolder(ctx, killed); err != nil {
		return 0, err
	}
	d := time.Since(from)
	return d, r.restart(ctx, killed)
}

// findLeaseHolder waits until a control process other than exclude holds the lease.
func (r *recovery) findLeaseHolder(ctx context.Context, exclude *localsite.Node) (holder *localsite.Node, err error) {
	err = proc.Until(ctx, "a holder", func(ctx context.Context) error {
		for _, n := range r.site.Controls {
			if n == exclude {
				continue
			}
			st, err := localsite.Operator(n).Status(ctx)
			if err != nil {
				return err
			}
			for _, l := range st.Leases {
				if l.Name == recoverLease && l.LeftMS > 0 {
					holder = n
					return nil
				}
			}
		}
		return errNoProcess
	})
	return holder, err
}

// restart restarts a process and waits until all are ready, so that each round starts from a site at full strength.
func (r *recovery) restart(ctx context.Context, n *localsite.Node) error {
	if err := r.site.Restart(n); err != nil {
		return err
	}
	if err := r.site.AwaitReady(ctx, append(slices.Clone(r.site.Entries), r.site.Controls...)...); err != nil {
		return err
	}
	return proc.Until(ctx, "members", r.allLive)
}

// allLive returns an error unless every entry lists all entries as live.
func (r *recovery) allLive(ctx context.Context) error {
	for _, n := range r.site.Entries {
		st, err := localsite.Operator(n).Status(ctx)
		if err != nil {
			return err
		}
		live := 0
		for _, m := range st.Members {
			if m.State == "live" {
				live++
			}
		}
		if live != len(r.site.Entries) {
			return fmt.Errorf("%s lists %d live members", n.Name, live)
		}
	}
	return nil
}
