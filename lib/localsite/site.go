// Package localsite runs a small site as separate processes on loopback, for the demo, the load tool and the multi-process
// tests: the platform stand-in, model engines, plain services, and entries with their control processes. The links among
// entries and control processes use TLS, with certificates that are generated for each site.
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

// OperatorToken is the token that a site's processes accept on their operator ports.
const OperatorToken = "localsite-operator"

// domains are the three failure domains of the Kelburn deployment.
var domains = []string{"govan-depot", "leith-hall", "falkirk-bay"}

// Config sets the size and options of a site.
type Config struct {
	Binaries    string // directory of the programs
	Engines     int
	Plains      int
	Entries     int      // each with a control process
	EngineFlags []string // added for every engine
	// EngineSoftware are the versions of the engines' software, in turn; empty: engines name none.
	EngineSoftware []string
	EntryFlags     []string  // added for every entry
	Settings       Settings  // the targets are filled in by Start
	Output         io.Writer // receives the output of all processes; nil: each process's output is only kept with it

	// TargetProxy returns the address of the HTTP proxy through which an entry reaches the targets, to cut it off from all of them; nil: none.
	TargetProxy func(entry string) string
	// LinkProxy returns the address to configure instead of addr for one link; nil: links are direct. It serves to route links
	// through a relay that injects faults. The link "mesh of" an entry carries the connections other entries open to it.
	LinkProxy func(link, addr string) (string, error)
}

// Node is a process of the site.
type Node struct {
	*proc.Proc
	Name       string
	Domain     string
	Addr       string // caller port of an entry, port of a target or of the platform; IP:port
	DialAddr   string // address at which other processes of the site reach Addr
	OpsAddr    string // operator port of an entry or control process
	MeshListen string // address at which an entry listens for other entries and its control process
	Software   string // version of an engine's software; empty: it names none

	meshDialAddr string // address at which other entries reach MeshListen

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
	Store    *platform.Client // client of the platform with an operator's access

	cfg      Config
	procs    proc.Set
	tempDir  string
	proxyErr error // first error of Config.LinkProxy

	linkFiles mesh.TLSFiles
}

// Start starts every process and commits the settings. If it fails, no process is left running.
func Start(ctx context.Context, cfg Config) (*Site, error) {
	dir, err := os.MkdirTemp("", "anvilwick-site-")
	if err != nil {
		return nil, err
	}
	s := &Site{cfg: cfg, procs: proc.Set{Dir: cfg.Binaries, Tee: cfg.Output}, tempDir: dir}
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
		if err := s.startProcess(n); err != nil {
			return err
		}
	}
	s.Store = platform.New(platform.Config{Addr: s.Platform.Addr})
	if err := s.AwaitTargets(ctx); err != nil {
		return err
	}
	if err := s.commitInitial(ctx); err != nil {
		return err
	}
	return s.AwaitReady(ctx, append(s.Entries, s.Controls...)...)
}

// plan allocates addresses and builds every command line.
func (s *Site) plan() (err error) {
	c := s.cfg
	if s.linkFiles, err = WriteCerts(s.tempDir); err != nil {
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
		s.Engines = append(s.Engines, s.planEngine(i, next()))
	}
	for i := range c.Plains {
		s.Plains = append(s.Plains, s.planPlain(i, next()))
	}
	for i := range c.Entries {
		e := s.planEntry(i, next(), next(), next())
		s.Entries = append(s.Entries, e)
		s.Controls = append(s.Controls, s.planControl(e, next()))
	}
	if s.proxyErr != nil {
		return s.proxyErr
	}
	return s.writeInstances()
}

func domain(i int) string { return domains[i%len(domains)] }

func (s *Site) instanceList() string { return filepath.Join(s.tempDir, "instances.json") }

func (s *Site) planPlatform(next func() string) {
	addr := next()
	s.Platform = &Node{
		Name: "platform", Addr: addr, DialAddr: addr, binary: "anvilwick-standin",
		args: []string{"platform", "-addr", addr, "-instances", s.instanceList(), "-list-lag", "500ms"},
	}
}

func (s *Site) planEngine(i int, addr string) *Node {
	args := []string{"engine", "-addr", addr, "-model", s.cfg.Settings.Model, "-seed", fmt.Sprint(i + 1), "-fencing"}
	name := fmt.Sprintf("engine-%d", i+1)
	if set := s.cfg.Settings; set.IdleWatts > 0 {
		args = append(args, "-idle-watts", fmt.Sprint(set.IdleWatts), "-seq-watts", fmt.Sprint(set.SeqWatts))
	}
	if n := s.cfg.Settings.MaxBatch; n > 0 {
		args = append(args, "-max-batch", fmt.Sprint(n))
	}
	software := ""
	if versions := s.cfg.EngineSoftware; len(versions) > 0 {
		software = versions[i%len(versions)]
		args = append(args, "-software", software)
	}
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.proxiedAddr(targetLink(name), addr), binary: "anvilwick-standin",
		Software: software, args: append(args, s.cfg.EngineFlags...),
	}
}

func (s *Site) planPlain(i int, addr string) *Node {
	name := fmt.Sprintf("plain-%d", i+1)
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.proxiedAddr(targetLink(name), addr), binary: "anvilwick-standin",
		args: []string{"plain", "-addr", addr, "-name", name},
	}
}

func (s *Site) planEntry(i int, addr, ops, mesh string) *Node {
	name := fmt.Sprintf("entry-%d", i+1)
	meshDialAddr := s.proxiedAddr(meshLink(name), mesh)
	args := []string{
		"-instance", name, "-failure-domain", domain(i), "-listen", addr, "-ops-addr", ops,
		"-mesh-addr", meshDialAddr, "-mesh-listen", mesh,
		"-operator-token-sha256", tokenHash(), "-stop-notice", "200ms",
		"-platform", s.proxiedAddr(platformLink(name), s.Platform.Addr),
	}
	args = append(args, s.linkFlags()...)
	if s.cfg.TargetProxy != nil {
		args = append(args, "-target-proxy", s.cfg.TargetProxy(name))
	}
	return &Node{
		Name: name, Domain: domain(i), Addr: addr, DialAddr: s.proxiedAddr(callerLink(name), addr),
		OpsAddr: ops, MeshListen: mesh, meshDialAddr: meshDialAddr, binary: "anvilwick-entry",
		args: append(args, s.cfg.EntryFlags...),
	}
}

func (s *Site) planControl(e *Node, ops string) *Node {
	name := "control of " + e.Name
	return &Node{
		Name: name, Domain: e.Domain, OpsAddr: ops, binary: "anvilwick-control",
		args: append([]string{
			"-instance", e.Name, "-failure-domain", e.Domain, "-entry-addr", s.proxiedAddr(controlLink(name), e.MeshListen),
			"-platform", s.proxiedAddr(platformLink(name), s.Platform.Addr),
			"-ops-addr", ops, "-operator-token-sha256", tokenHash(), "-lease-ttl", "3s",
		}, s.linkFlags()...),
	}
}

// LinkFiles returns the certificate and key files of the site's links.
func (s *Site) LinkFiles() mesh.TLSFiles { return s.linkFiles }

func (s *Site) linkFlags() []string {
	return []string{"-link-ca", s.linkFiles.CA, "-link-cert", s.linkFiles.Cert, "-link-key", s.linkFiles.Key}
}

func tokenHash() string { return fmt.Sprintf("%x", opsapi.HashToken(OperatorToken)) }

func (s *Site) writeInstances() error {
	var list platformapi.InstanceList
	for _, e := range s.Entries {
		list.Instances = append(list.Instances, platformapi.Instance{
			ID: e.Name, FailureDomain: e.Domain, MeshAddr: e.meshDialAddr, State: platformapi.InstanceLive,
		})
	}
	b, err := json.Marshal(list)
	if err != nil {
		return err
	}
	return os.WriteFile(s.instanceList(), b, 0o600)
}

func (s *Site) startProcess(n *Node) error {
	p, err := s.procs.Start(n.Name, n.binary, n.args...)
	n.Proc = p
	return err
}

// Restart starts an exited process again, on the same addresses. Flags are appended and override earlier ones.
func (s *Site) Restart(n *Node, flags ...string) error {
	n.args = append(n.args, flags...)
	return s.startProcess(n)
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

// AwaitReady waits until each of the entries or control processes reports that it is ready.
func (s *Site) AwaitReady(ctx context.Context, nodes ...*Node) error {
	for _, n := range nodes {
		if err := s.await(ctx, n, "http://"+n.OpsAddr+opsapi.PathReady); err != nil {
			return err
		}
	}
	return nil
}

// await waits until url answers. It fails as soon as the process has exited, and the error includes the process's output.
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
		return fmt.Errorf("%w\noutput of %s:\n%s", err, n.Name, n.Output())
	}
	return nil
}

// Revision is the revision of a site's initial settings.
const Revision = 1

func (s *Site) commitInitial(ctx context.Context) error {
	return s.Commit(ctx, s.SettingsText(), 0)
}

// SettingsText returns the site's initial settings.
func (s *Site) SettingsText() string { return s.cfg.Settings.text(s) }

// Commit commits settings as the successor of revision base.
func (s *Site) Commit(ctx context.Context, text string, base uint64) error {
	change := settingsync.Change{Text: []byte(text), File: "localsite", Base: base, Operator: "localsite", Time: time.Now()}
	_, err := settingsync.Commit(ctx, s.Store, change)
	return err
}

// CallerAddrs returns the caller addresses of all entries.
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

// Stop stops the site gracefully: entries first, so that requests in progress don't lose their targets, then the rest.
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

// Close kills the remaining processes and removes temporary files.
func (s *Site) Close() {
	s.procs.Close()
	_ = os.RemoveAll(s.tempDir)
}
