package ctl

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/settings"
)

// tokenEnv holds an operator's token if -token-file is not given. A flag value would be visible in the process list.
const tokenEnv = "ANVILWICK_OPERATOR_TOKEN"

// noAnswer is the error for processes that did not answer; the answers of the others are printed.
var noAnswer = namespace.NewType("no_answer")

// ops is the part shared by the subcommands that query processes.
type ops struct {
	g         *globals
	addrs     string
	tokenFile string
}

func newOps(g *globals) []*ffcli.Command {
	return []*ffcli.Command{newStatus(g), newTargets(g), newQueues(g), newDrain(g)}
}

// leaf returns a subcommand that queries processes.
func (o *ops) leaf(name, usage, help string, flags func(*flag.FlagSet), exec func(context.Context, []string) error) *ffcli.Command {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(o.g.Err)
	fs.StringVar(&o.addrs, "ops", "", "operators' ports of entries or control processes, IP:port, separated by commas")
	fs.StringVar(&o.tokenFile, "token-file", "", "file with the operator's token; default: the environment's "+tokenEnv)
	if flags != nil {
		flags(fs)
	}
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "anvilwick-ctl " + name + " -ops IP:port,... " + usage,
		ShortHelp:  help,
		FlagSet:    fs,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec:       exec,
	}
}

// response is the response of one process.
type response[T any] struct {
	addr string
	body T
	err  error
}

// queryAll queries all processes concurrently and returns the answers in the order of -ops.
func queryAll[T any](ctx context.Context, o *ops, query func(context.Context, *opsapi.Client) (T, error)) ([]response[T], error) {
	addrs, token, err := o.addrsAndToken()
	if err != nil {
		return nil, err
	}
	out := make([]response[T], len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() {
			body, err := query(ctx, opsapi.NewClient(addr, token))
			out[i] = response[T]{addr, body, err}
		})
	}
	wg.Wait()
	return out, nil
}

func (o *ops) addrsAndToken() (addrs []string, token string, err error) {
	for addr := range strings.SplitSeq(o.addrs, ",") {
		if addr = strings.TrimSpace(addr); addr == "" {
			continue
		}
		if !settings.ValidAddr(addr) {
			return nil, "", usageErr.New("-ops %q: expected an IP number and a port such as 10.0.0.7:8083, not a host name", addr)
		}
		addrs = append(addrs, addr)
	}
	if len(addrs) == 0 {
		return nil, "", usageErr.New("-ops is missing: give the operators' ports to ask")
	}
	token, err = o.token()
	return addrs, token, err
}

func (o *ops) token() (string, error) {
	if o.tokenFile == "" {
		return os.Getenv(tokenEnv), nil
	}
	raw, err := os.ReadFile(o.tokenFile)
	if err != nil {
		return "", usageErr.Wrap(err, "-token-file")
	}
	return strings.TrimSpace(string(raw)), nil
}

// noAnswerError returns an error that lists the processes that did not answer, or nil.
func noAnswerError[T any](answers []response[T]) error {
	var failed []string
	for _, a := range answers {
		if a.err != nil {
			failed = append(failed, fmt.Sprintf("%s: %s", a.addr, a.err))
		}
	}
	if failed == nil {
		return nil
	}
	return noAnswer.New("%s", strings.Join(failed, "; "))
}

func newStatus(g *globals) *ffcli.Command {
	o := &ops{g: g}
	return o.leaf("status", "", "Show processes, the settings revision in force at each, leases and power.", nil,
		func(ctx context.Context, _ []string) error {
			answers, err := queryAll(ctx, o, func(ctx context.Context, c *opsapi.Client) (opsapi.Status, error) { return c.Status(ctx) })
			if err != nil {
				return err
			}
			g.printProcesses(answers)
			g.printMembers(answers)
			g.printControl(answers)
			return noAnswerError(answers)
		})
}

func (g *globals) newTable() *tabwriter.Writer { return tabwriter.NewWriter(g.Out, 0, 8, 2, ' ', 0) }

func (g *globals) printProcesses(answers []response[opsapi.Status]) {
	w := g.newTable()
	fmt.Fprintln(w, "instance\trole\tfailure domain\trevision\tstreams\tqueued\tstopping\tstore\tlink\taddress")
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(w, "-\t-\t-\t-\t-\t-\t-\t-\t-\t%s: no answer\n", a.addr)
			continue
		}
		s := a.body
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%t\t%s\t%s\t%s\n",
			s.Instance, s.Role, dash(s.FailureDomain), s.SettingsRevision, s.Streams, s.Queued, s.Stopping, dash(s.Store), dash(s.Link), a.addr)
	}
	_ = w.Flush()
}

// printMembers shows the other instances as seen by the first process that knows any, with the revisions that their
// heartbeats carry: an instance that lags or is cut off is shown even if it was not queried.
func (g *globals) printMembers(answers []response[opsapi.Status]) {
	for _, a := range answers {
		if len(a.body.Members) == 0 {
			continue
		}
		fmt.Fprintf(g.Out, "\ninstances as %s of %s sees them:\n", a.body.Role, a.body.Instance)
		w := g.newTable()
		fmt.Fprintln(w, "instance\tfailure domain\tstate\tnewest revision\tmesh address")
		for _, m := range a.body.Members {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", m.Instance, dash(m.FailureDomain), m.State, revisionOf(a.body, m), dash(m.Addr))
		}
		_ = w.Flush()
		return
	}
}

func revisionOf(s opsapi.Status, m opsapi.Member) string {
	switch {
	case m.Instance == s.Instance:
		return fmt.Sprint(s.SettingsRevision)
	case m.SettingsRevision == 0:
		return "-"
	}
	return fmt.Sprint(m.SettingsRevision)
}

func (g *globals) printControl(answers []response[opsapi.Status]) {
	w := g.newTable()
	for _, a := range answers {
		for _, l := range a.body.Leases {
			fmt.Fprintf(w, "lease %s\theld by %s\tfencing number %d\t%d ms left\n", l.Name, a.body.Instance, l.Fence, l.LeftMS)
		}
		for _, p := range a.body.Power {
			fmt.Fprintf(w, "power of %s/%d\tat %s\t%.0f W\tfallback %.0f W, %d ms left\n",
				p.Service, p.Shard, a.body.Instance, p.Watts, p.FallbackWatts, p.LeftMS)
		}
	}
	_ = w.Flush()
}

func newTargets(g *globals) *ffcli.Command {
	o := &ops{g: g}
	return o.leaf("targets", "", "Show every target by the most recent report among the queried processes.", nil,
		func(ctx context.Context, _ []string) error {
			answers, err := queryAll(ctx, o, func(ctx context.Context, c *opsapi.Client) ([]opsapi.Target, error) { return c.Targets(ctx) })
			if err != nil {
				return err
			}
			if err := g.printTargets(mergeTargets(answers)); err != nil {
				return err
			}
			return noAnswerError(answers)
		})
}

func (g *globals) printTargets(targets []opsapi.Target) error {
	w := g.newTable()
	fmt.Fprintln(w, "service\ttarget\tstate\tfailure domain\taddress\trunning\twaiting\tmemory\twatts\tmodel\treport age")
	for _, t := range targets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d/%d\t%.0f\t%s\t%d ms\n",
			t.Service, t.Name, t.State, t.FailureDomain, t.Addr, t.Running, t.Waiting, t.KVUsed, t.KVTotal, t.Watts, modelOf(t), t.ReportAgeMS)
	}
	return w.Flush()
}

func modelOf(t opsapi.Target) string {
	if t.ModelVersion == "" {
		return dash(t.Model)
	}
	return t.Model + "@" + t.ModelVersion
}

func newQueues(g *globals) *ffcli.Command {
	o := &ops{g: g}
	return o.leaf("queues", "", "Show the queues of every queried process.", nil,
		func(ctx context.Context, _ []string) error {
			answers, err := queryAll(ctx, o, func(ctx context.Context, c *opsapi.Client) ([]opsapi.Queue, error) { return c.Queues(ctx) })
			if err != nil {
				return err
			}
			w := g.newTable()
			fmt.Fprintln(w, "address\tservice\tshard\tworkspace\tclass\tqueued\trunning\texpected wait")
			for _, a := range answers {
				for _, q := range a.body {
					fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d\t%d\t%d ms\n",
						a.addr, q.Service, q.Shard, dash(q.Workspace), dash(q.Class), q.Queued, q.Running, q.WaitMS)
				}
			}
			return errors.Join(w.Flush(), noAnswerError(answers))
		})
}

func newDrain(g *globals) *ffcli.Command {
	o := &ops{g: g}
	r := opsapi.DrainRequest{}
	var off bool
	flags := func(fs *flag.FlagSet) {
		fs.BoolVar(&off, "off", false, "end the drain: the target receives requests again")
		fs.StringVar(&r.Operator, "operator", operatorName(), "who, for other operators")
	}
	return o.leaf("drain", "[-off] TARGET", "Send no new requests to a target; those in progress finish. Use with control processes.", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 1 {
				return usageErr.New("drain: expected one TARGET")
			}
			r.Target, r.On = args[0], !off
			return o.drain(ctx, r)
		})
}

// drain sends the request to all processes given: one that reaches the table is enough for all instances, and without the table each
// queried process still drains the target at its own entry.
func (o *ops) drain(ctx context.Context, r opsapi.DrainRequest) error {
	answers, err := queryAll(ctx, o, func(ctx context.Context, c *opsapi.Client) (opsapi.DrainReply, error) { return c.Drain(ctx, r) })
	if err != nil {
		return err
	}
	durable := false
	for _, a := range answers {
		if a.err != nil {
			fmt.Fprintf(o.g.Out, "%s: %s\n", a.addr, a.err)
			continue
		}
		durable = durable || a.body.Durable
		fmt.Fprintf(o.g.Out, "%s: applied=%t recorded=%t %s\n", a.addr, a.body.Applied, a.body.Durable, a.body.Detail)
	}
	if durable {
		return nil
	}
	return noAnswer.New("the drain is not in the table: it is in force only where applied=true")
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// mergeTargets merges the views of several processes. Each entry has reports only of the targets that it owns and uses, so the
// most recent report of a target counts, and a drain known to any process.
func mergeTargets(answers []response[[]opsapi.Target]) []opsapi.Target {
	best := map[string]opsapi.Target{}
	draining := map[string]bool{}
	var order []string
	for _, a := range answers {
		for _, t := range a.body {
			old, known := best[t.Name]
			if !known {
				order = append(order, t.Name)
			}
			draining[t.Name] = draining[t.Name] || t.State == opsapi.TargetDraining
			if !known || hasReport(t) && (!hasReport(old) || t.ReportAgeMS < old.ReportAgeMS) {
				best[t.Name] = t
			}
		}
	}
	out := make([]opsapi.Target, 0, len(order))
	for _, name := range order {
		t := best[name]
		if draining[name] {
			t.State = opsapi.TargetDraining
		}
		out = append(out, t)
	}
	return out
}

// hasReport reports whether the process that listed t had a report of it.
func hasReport(t opsapi.Target) bool { return t.ReportAgeMS > 0 || t.KVTotal > 0 || t.Running > 0 }
