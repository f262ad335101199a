package prove

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"anvilwick.example/anvilwick/lib/caller"
	"anvilwick.example/anvilwick/lib/faultproxy"
	"anvilwick.example/anvilwick/lib/localsite"
	"anvilwick.example/anvilwick/lib/proc"
)

const (
	roundLimit       = 60 * time.Second
	killAt           = 40              // token at which a stream's engine or entry is killed
	longAnswer       = 2000            // tokens; the stream is cancelled once it has resumed
	roundPause       = 2 * time.Second // between a restart and the next round
	probeInterval    = 100 * time.Millisecond
	probeSpan        = 5 * time.Second
	delayedThreshold = 300 * time.Millisecond // a first token that took longer counts as delayed by the kill
)

// durations holds the durations measured in the rounds of one measurement.
type durations []time.Duration

func (t durations) quantile(q float64) time.Duration {
	s := slices.Sorted(slices.Values(t))
	return s[min(len(s)-1, int(q*float64(len(s))))].Round(time.Millisecond)
}

func (t durations) print(w io.Writer, what string) {
	fmt.Fprintf(w, "measured what=%q rounds=%d p50=%v p99=%v worst=%v\n", what, len(t), t.quantile(0.5), t.quantile(0.99), t.quantile(1))
}

// testbed is a site on which recovery and settings propagation are measured.
type testbed struct {
	site    *localsite.Site
	client  *caller.Client
	proxies faultproxy.Set
	round   int
}

func openTestbed(ctx context.Context, cfg Config, relayed bool) (*testbed, error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	b := &testbed{}
	var via func(link, addr string) (string, error)
	if relayed {
		via = b.proxies.Add
	}
	site, err := localsite.Start(ctx, siteConfig(cfg.Binaries, via, nil))
	if err != nil {
		return nil, err
	}
	b.site, b.client = site, clientOf(site)
	return b, nil
}

func (b *testbed) close() {
	b.site.Close()
	b.proxies.Close()
}

// measureRecovery kills processes of each role in turn and measures how long callers wait until full service resumes.
func measureRecovery(ctx context.Context, cfg Config, out io.Writer) error {
	b, err := openTestbed(ctx, cfg, false)
	if err != nil {
		return err
	}
	defer b.close()
	for _, m := range []struct {
		what  string
		round func(context.Context) (time.Duration, *localsite.Node, error)
	}{
		{"SIGKILL of the lease holder to the next holder (lease of 3s)", b.holderRound},
		{"SIGKILL of an engine to the next token of its stream", b.engineRound},
		{"SIGKILL of an entry to the next token of its keyed stream through another", b.entryRound},
		{"SIGKILL of the owner to full service at another entry", b.ownerRound},
	} {
		var got durations
		for range cfg.Rounds {
			d, err := b.measure(ctx, m.round)
			if err != nil {
				return fmt.Errorf("%s: %w", m.what, err)
			}
			got = append(got, d)
		}
		got.print(out, m.what)
	}
	return nil
}

// measure runs one round, restarts the process that it killed and waits until the site is ready again.
func (b *testbed) measure(ctx context.Context, round func(context.Context) (time.Duration, *localsite.Node, error)) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, roundLimit)
	defer cancel()
	b.round++
	elapsed, killed, err := round(ctx)
	if err != nil {
		return 0, err
	}
	r := run{site: b.site}
	if err := r.restart(ctx, killed); err != nil {
		return 0, err
	}
	time.Sleep(roundPause)
	return elapsed, nil
}

// timeToResume starts a long stream, kills the process that victim returns once the stream runs, and returns the time to the
// next token.
func (b *testbed) timeToResume(ctx context.Context, call caller.Call, victim func(context.Context) (*localsite.Node, error)) (time.Duration, *localsite.Node, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call.Model, call.Class = model, requestClass
	call.Prompt = fmt.Sprintf("measurement %d [len=%d]", b.round, longAnswer)
	tokens := make(chan caller.Token, longAnswer)
	go func() {
		defer close(tokens)
		_, _ = b.client.Stream(ctx, call, func(t caller.Token) { tokens <- t }) // the tokens show whether it resumed
	}()
	if !awaitToken(tokens, killAt) {
		return 0, nil, errors.New("stream ended before the kill")
	}
	n, err := victim(ctx)
	if err != nil {
		return 0, nil, err
	}
	if err := n.Kill(); err != nil {
		return 0, nil, err
	}
	killed := time.Now()
	for t := range tokens {
		if t.At.After(killed.Add(bufferedTokens)) {
			return t.At.Sub(killed), n, nil
		}
	}
	return 0, nil, errors.New("stream did not resume after the kill")
}

// bufferedTokens is how long after a kill tokens that were already in transit may still arrive.
const bufferedTokens = 30 * time.Millisecond

func awaitToken(tokens <-chan caller.Token, index int) bool {
	for t := range tokens {
		if t.Index >= index {
			return true
		}
	}
	return false
}

func (b *testbed) engineRound(ctx context.Context) (time.Duration, *localsite.Node, error) {
	return b.timeToResume(ctx, caller.Call{Entry: b.round}, func(ctx context.Context) (*localsite.Node, error) {
		n, err := b.site.StreamingEngine(ctx)
		if n == nil && err == nil {
			err = errors.New("no engine is busy")
		}
		return n, err
	})
}

func (b *testbed) entryRound(ctx context.Context) (time.Duration, *localsite.Node, error) {
	i := b.round % len(b.site.Entries)
	call := caller.Call{Entry: i, Key: fmt.Sprint("measurement-", b.round), MaxResumes: maxResumes}
	return b.timeToResume(ctx, call, func(context.Context) (*localsite.Node, error) { return b.site.Entries[i], nil })
}

func (b *testbed) ownerRound(ctx context.Context) (time.Duration, *localsite.Node, error) {
	i, err := b.findOwner(ctx)
	if err != nil {
		return 0, nil, err
	}
	n := b.site.Entries[i]
	if err := n.Kill(); err != nil {
		return 0, nil, err
	}
	elapsed, err := b.probe(ctx, time.Now(), i+1)
	return elapsed, n, err
}

// findOwner returns the index of the entry that owns the engines' shard.
func (b *testbed) findOwner(ctx context.Context) (int, error) {
	for i, n := range b.site.Entries {
		qs, err := localsite.Operator(n).Queues(ctx)
		if err != nil {
			return 0, err
		}
		for _, q := range qs {
			if q.Service == service {
				return i, nil
			}
		}
	}
	return 0, errors.New("no entry owns the shard")
}

// probe sends short requests to one entry. It returns the time from the kill to the first token of the last request that
// was delayed, or of the first one answered if none was delayed.
func (b *testbed) probe(ctx context.Context, killed time.Time, entry int) (time.Duration, error) {
	type answer struct {
		first time.Duration // since the kill
		took  time.Duration
		err   error
	}
	answers := make(chan answer)
	sent := 0
	for ; time.Since(killed) < probeSpan; sent++ {
		name := fmt.Sprintf("probe %d.%d [len=3]", b.round, sent)
		go func() {
			from := time.Now()
			first := time.Time{}
			call := caller.Call{Model: model, Class: requestClass, Entry: entry, Prompt: name}
			_, err := b.client.Stream(ctx, call, func(t caller.Token) {
				if first.IsZero() {
					first = t.At
				}
			})
			answers <- answer{first.Sub(killed), first.Sub(from), err}
		}()
		time.Sleep(probeInterval)
	}
	earliest, delayed := roundLimit, time.Duration(0)
	var errs []error
	for range sent {
		a := <-answers
		errs = append(errs, a.err)
		earliest = min(earliest, a.first)
		if a.took > delayedThreshold {
			delayed = max(delayed, a.first)
		}
	}
	return max(earliest, delayed), errors.Join(errs...)
}

func (b *testbed) holderRound(ctx context.Context) (time.Duration, *localsite.Node, error) {
	holder, held, err := b.findHolder(ctx, nil, "")
	if err != nil {
		return 0, nil, err
	}
	if err := holder.Kill(); err != nil {
		return 0, nil, err
	}
	killed := time.Now()
	err = proc.Until(ctx, "the next holder", func(ctx context.Context) error {
		_, _, err := b.findHolder(ctx, holder, held)
		return err
	})
	return time.Since(killed), holder, err
}

// findHolder returns a control process other than exclude that holds the lease, and the lease's name. An empty name matches
// any lease.
func (b *testbed) findHolder(ctx context.Context, exclude *localsite.Node, lease string) (*localsite.Node, string, error) {
	for _, n := range b.site.Controls {
		if n == exclude {
			continue
		}
		st, err := localsite.Operator(n).Status(ctx)
		if err != nil {
			return nil, "", err
		}
		for _, l := range st.Leases {
			if lease == "" || l.Name == lease {
				return n, l.Name, nil
			}
		}
	}
	return nil, "", errors.New("no control process holds the lease")
}

// measureSettings commits revisions and measures the time until each is in force at every entry: first with the store
// reachable, then with all instances but one cut off from it.
func measureSettings(ctx context.Context, cfg Config, out io.Writer) error {
	b, err := openTestbed(ctx, cfg, true)
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.measurePropagation(ctx, cfg.Rounds, out, "acceptance to in force at every entry, with the store"); err != nil {
		return err
	}
	for _, n := range append(b.site.Entries[1:], b.site.Controls[1:]...) {
		if err := b.proxies.Set("platform of "+n.Name, faultproxy.Cut); err != nil {
			return err
		}
	}
	return b.measurePropagation(ctx, cfg.Rounds, out, "acceptance to in force at every entry, all but one instance cut off from the store")
}

func (b *testbed) measurePropagation(ctx context.Context, rounds int, out io.Writer, what string) error {
	var got durations
	for range rounds {
		base := uint64(localsite.Revision + b.round)
		b.round++
		text := fmt.Sprintf("%s# change %d\n", b.site.SettingsText(), b.round)
		if err := b.site.Commit(ctx, text, base); err != nil {
			return err
		}
		accepted := time.Now()
		for _, n := range b.site.Entries {
			err := proc.Until(ctx, n.Name, func(ctx context.Context) error {
				st, err := localsite.Operator(n).Status(ctx)
				if err == nil && st.SettingsRevision <= base {
					err = errNotInForce
				}
				return err
			})
			if err != nil {
				return err
			}
		}
		got = append(got, time.Since(accepted))
		time.Sleep(time.Duration(b.round%7) * 37 * time.Millisecond) // varies the phase of commits against the poll interval
	}
	got.print(out, what)
	return nil
}
