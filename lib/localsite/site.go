// Package localsite starts a whole small site as separate processes on loopback, for the demo, the load tool and the
// multi-process tests: the platform's stand-in, model engines, plain services, entries with their control processes.
// Links between our processes are TLS, with certificates made for the one site.
package localsite

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/opsapi"
	"anvilwick.example/anvilwick/lib/platform"
	"anvilwick.example/anvilwick/lib/platformapi"
	"anvilwick.example/anvilwick/lib/proc"
	"anvilwick.example/anvilwick/lib/settingsync"
)

// OperatorToken is what the processes of a site accept on their operators' ports.
const OperatorToken = "localsite-operator"

// domains are Kelburn's three.
var domains = []string{"govan-depot", "leith-hall", "falkirk-bay"}

// Config says how large a site to start.
type Config struct {
	Binaries    string // directory of the programs
	Engines     int
	Plains      int
	Entries     int       // each with its control process
	EngineFlags []string  // added for every engine
	EntryFlags  []string  // added for every entry
	Settings    Settings  // Targets are filled in
	Output      io.Writer // gets all processes' output; nil: kept by each process only

	// LinkProxy returns the address to configure instead of addr for one link; nil: links are direct. Faults of links are
	// injected by a relay there. The link "mesh of" an entry carries what other entries open to it.
	LinkProxy func(link, addr string) (string, error)
}

// Node is one process of the site.
type Node struct {
	*proc.Proc
	Name       string
	Domain     string
	Addr       string // callers' port of an entry, port of a target or of the platform; IP:port
	DialAddr   string // where others of the site reach Addr
	OpsAddr    string // operators' port of an entry or control process
	MeshListen string // where an entry listens for other entries and its control process

	meshReach string // where other entries reach Mesh

	binary string
	args   []string
}

// Site is a running site.
type Site struct {
	Platform *Node
	Engines  []*Node
	Plains   []*Node
	Entries  []*Node
	Controls []*Node
	Store    *platform.Client // an operator's own client of the platform

	cfg Config
	set proc.Set
	dir string // scratch
	err error  // of Config.Via

	links mesh.TLSFiles
}

// Start starts every process and commits the settings. On an error nothing is left running.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	dir, err := os.MkdirTemp("", "anvilwick-site-")
	if err != nil {
		return nil, err
	}
	s := &Site{cfg: cfg, set: proc.Set{Dir: cfg.Binaries, Tee: cfg.Output}, dir: dir}
	if err := s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start(ctx context.Context) error {
	if err := s.plan(); err != nil {
		return err
	}
	for _, n := range s.Nodes() {
		if err := s.launch(n); err != nil {
			return err
		}
	}
	s.Store = platform.New(platform.Config{Addr: s.Platform.Addr})
	if err := s.AwaitTargets(ctx); err != nil {
		return err
	}
	if err := s.commit(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx, append(s.Entries, s.Controls...)...)
}

// plan draws addresses and works out every command line.
func (s *Site) plan() (err error) {
	c := s.cfg
	if s.links, err = WriteCerts(s.dir); err != nil {
		return err
	}
	addrs, err := proc.Addrs(1 + c.Engines + c.Plains + 4*c.Entries)
	if err != nil {
		return err
	}
	next := func() string {
		a := addrs[0]
		addrs = addrs[1:]
		return a
	}
	s.planPlatform(next)
	for i := range c.Engines {
		s.Engines = append(s.Engines, s.engine(i, next()))
	}
	for i := range c.Plains {
		s.Plains = append(s.Plains, s.plain(i, next()))
	}
	for i := range c.Entries {
		e := s.entry(i, next(), next(), next())
		s.Entries = append(s.Entries, e)
		s.Controls = append(s.Controls, s.control(e, next()))
	}
	if s.err != nil {
		return s.err
	}
	return s.writeInstances()
}

func domain(i int) string { return domains[i%len(domains)] }

func (s *Site) instanceList() string { return filepath.Join(s.dir, "instances.json") }

func (s *Site) planPlatform(next func() string) {
	addr := next()
	s.Platform = &Node{
		Name: "platform", Addr: addr, DialAddr: addr, binary: "anvilwick-standin",
		args: []string{"platform", "-addr", addr, "-instances", s.instanceList(), "-list-lag", "500ms"},
	}
}

func (s *Site) engine(i int, addr string) *Node {
	args := []string{"engine", "-addr", addr, "-model", s.cfg.Settings.Model, "-seed", fmt.Sprint(i + 1), "-fencing"}
	name := fmt.Sprintf("engine-%d", i+1)
	if set := s.cfg.Settings; set.IdleWatts > 0 {
		args = append(args, "-idle-watts", fmt.Sprint(set.IdleWatts), "-seq-watts", fmt.Sprint(set.SeqWatts))
	}
	if n := s.cfg.Settings.MaxBatch; n > 0 {
		args = append(args, "-max-batch", fmt.Sprint(n))
	}
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.via(linkToTarget(name), addr), binary: "anvilwick-standin",
		args: append(args, s.cfg.EngineFlags...),
	}
}

func (s *Site) plain(i int, addr string) *Node {
	name := fmt.Sprintf("plain-%d", i+1)
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.via(linkToTarget(name), addr), binary: "anvilwick-standin",
		args: []string{"plain", "-addr", addr, "-name", name},
	}
}

func (s *Site) entry(i int, addr, ops, mesh string) *Node {
	name := fmt.Sprintf("entry-%d", i+1)
	meshReach := s.via(linkOfMesh(name), mesh)
	args := []string{
		"-instance", name, "-failure-domain", domain(i), "-listen", addr, "-ops-addr", ops,
		"-mesh-addr", meshReach, "-mesh-listen", mesh,
		"-operator-token-sha256", tokenHash(), "-stop-notice", "200ms",
		"-platform", s.via(linkToPlatform(name), s.Platform.Addr),
	}
	args = append(args, s.linkFlags()...)
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.via(linkOfCallers(name), addr), OpsAddr: ops, MeshListen: mesh, meshReach: meshReach, binary: "anvilwick-entry",
		args: append(args, s.cfg.EntryFlags...),
	}
}

func (s *Site) control(e *Node, ops string) *Node {
	name := "control of " + e.Name
	return &Node{
		Name: name, Domain: e.Domain, OpsAddr: ops, binary: "anvilwick-control",
		args: append([]string{
			"-instance", e.Name, "-failure-domain", e.Domain, "-entry-addr", s.via(linkToEntry(name), e.MeshListen),
			"-platform", s.via(linkToPlatform(name), s.Platform.Addr),
			"-ops-addr", ops, "-operator-token-sha256", tokenHash(), "-lease-ttl", "3s",
		}, s.linkFlags()...),
	}
}

// LinkFiles returns the files of the site's links.
func (s *Site) LinkFiles() mesh.TLSFiles { return s.links }

func (s *Site) linkFlags() []string {
	return []string{"-link-ca", s.links.CA, "-link-cert", s.links.Cert, "-link-key", s.links.Key}
}

func tokenHash() string { return fmt.Sprintf("%x", opsapi.HashToken(OperatorToken)) }

func (s *Site) writeInstances() error {
	var list platformapi.InstanceList
	for _, e := range s.Entries {
		list.Instances = append(list.Instances, platformapi.Instance{
			ID: e.Name, FailureDomain: e.Domain, MeshAddr: e.meshReach, State: platformapi.InstanceLive,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return os.WriteFile(s.instanceList(), b, 0o600)
}

func (s *Site) launch(n *Node) error {
	p, err := s.set.Start(n.Name, n.binary, n.args...)
	n.Proc = p
	return err
}

// Restart starts a process that has ended again, on its old addresses. Flags are added, and win over earlier ones.
func (s *Site) Restart(n *Node, flags ...string) error {
	n.args = append(n.args, flags...)
	return s.launch(n)
}

// AwaitTargets waits until the platform and every target answers.
func (s *Site) AwaitTargets(ctx context.Context) error {
	paths := map[*Node]string{s.Platform: platformapi.PathInstances}
	for _, n := range s.Engines {
		paths[n] = "/v1/load"
	}
	for _, n := range s.Plains {
		paths[n] = "/load"
	}
	for n, path := range paths {
		if err := s.await(ctx, n, "http://"+n.Addr+path); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until each of the entries or control processes says that it is ready.
func (s *Site) AwaitReady(ctx context.Context, nodes ...*Node) error {
	for _, n := range nodes {
		if err := s.await(ctx, n, "http://"+n.OpsAddr+opsapi.PathReady); err != nil {
			return err
		}
	}
	return nil
}

// await gives up at once when the process has ended, and shows its last words.
func (s *Site) await(ctx context.Context, n *Node, url string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-n.Done():
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := proc.Until(ctx, n.Name, proc.RespondsOK(url)); err != nil {
		return fmt.Errorf("%w\nlast words of %s:\n%s", err, n.Name, n.Output())
	}
	return nil
}

// Revision of the first settings of a site.
const Revision = 1

func (s *Site) commit(ctx context.Context) error {
	return s.Commit(ctx, s.SettingsText(), 0)
}

// SettingsText returns the site's first settings.
func (s *Site) SettingsText() string { return s.cfg.Settings.text(s) }

// Commit commits settings as the revision after base.
func (s *Site) Commit(ctx context.Context, text string, base uint64) error {
	change := settingsync.Change{Text: []byte(text), File: "localsite", Base: base, Operator: "localsite", Time: time.Now()}
	_, err := settingsync.Commit(ctx, s.Store, change)
	return err
}

// CallerAddrs returns the callers' ports of all entries.
func (s *Site) CallerAddrs() []string {
	var out []string
	for _, e := range s.Entries {
		out = append(out, e.DialAddr)
	}
	return out
}

// Nodes returns every process of the site.
func (s *Site) Nodes() []*Node {
	nodes := []*Node{s.Platform}
	for _, group := range [][]*Node{s.Engines, s.Plains, s.Entries, s.Controls} {
		nodes = append(nodes, group...)
	}
	return nodes
}

// Stop stops the site gracefully: entries first, so that nothing in progress loses its target, then the rest.
func (s *Site) Stop(ctx context.Context) error {
	groups := [][]*Node{s.Entries, s.Controls, append(s.Plains, s.Engines...), {s.Platform}}
	for _, group := range groups {
		var procs []*proc.Proc
		for _, n := range group {
			procs = append(procs, n.Proc)
		}
		if err := proc.Terminate(ctx, procs...); err != nil {
			return err
		}
	}
	return nil
}

// Close kills what still runs and removes scratch files.
func (s *Site) Close() {
	s.set.Close()
	_ = os.RemoveAll(s.dir)
}
