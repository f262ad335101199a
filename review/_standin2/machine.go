package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of a machine. Each machine has a loopback address of its own, so that they don't collide.
const (
	frontPort    = 8740
	controlPort  = 8748
	readyPort    = 8749
	internalPort = 7200
	metricsPort  = 9464
)

// machine runs one process of the system, with the command of the deploy file.
type machine struct {
	name, ip, zone string
	settings       string // path
	command        []string
	root           string // of the repository
	env            []string
	log            *os.File
	rec            *record
	site           *site

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	starts int
	calmAt time.Time // last start or signal
}

// deployCommand returns the command of the gateway's role in the deploy file.
func deployCommand(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(v, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no command")
}

// loopback returns a network of loopback addresses on which the ports of machines are free.
func loopback(machines int) (string, error) {
	for i := range 200 {
		n := (os.Getpid()*7 + i*13) % (96 * 250)
		prefix := fmt.Sprintf("127.%d.%d.", 100+n/250, 2+n%250)
		if free(prefix, machines) {
			return prefix, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

func free(prefix string, machines int) bool {
	for i := range machines {
		for _, port := range []int{frontPort, controlPort, readyPort, internalPort, metricsPort} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, 10+i, port))
			if err != nil {
				return false
			}
			_ = ln.Close()
		}
	}
	return true
}

// start starts the process and waits for nothing.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.writeSettings(m.site); err != nil { // Bootstrap holds for the first start only
		return err
	}
	m.starts++
	cmd := exec.Command(filepath.Join(m.root, m.command[0]), m.command[1:]...)
	cmd.Dir = m.root
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ANVILWICK_SETTINGS=" + m.settings}, m.env...)
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done, m.calmAt = cmd, done, time.Now()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.rec.add("machine %s: process started", m.name)
	return nil
}

func (m *machine) signal(s os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calmAt = time.Now()
	_ = m.cmd.Process.Signal(s)
}

// ended returns a channel that is closed when the process has ended.
func (m *machine) ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.done
}

func (m *machine) isRunning() bool {
	select {
	case <-m.ended():
		return false
	default:
		return true
	}
}

// inTouch reports whether the machine has run for the stable window without a start, a signal or an end.
func (m *machine) inTouch(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return at.Sub(m.calmAt) >= stableWindow
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, done := m.cmd, m.done
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if m.isReady() {
			m.rec.add("machine %s: ready", m.name)
			return nil
		}
		if !m.isRunning() {
			return fmt.Errorf("machine %s: the process has ended", m.name)
		}
	}
	return fmt.Errorf("machine %s: not ready after %s", m.name, limit)
}

// memoryMB returns the memory of the process in MiB, as the kernel counts it.
func (m *machine) memoryMB() float64 {
	m.mu.Lock()
	pid := m.cmd.Process.Pid
	m.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// writeSettings writes the settings file of a machine, with the figures of a small deployment.
func (m *machine) writeSettings(site *site) error {
	var zones strings.Builder
	for zone, region := range site.zones {
		fmt.Fprintf(&zones, "%s = %q\n", zone, region)
	}
	var seeds []string
	for _, s := range site.machines[:min(3, len(site.machines))] {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", s.ip, controlPort)))
	}
	text := fmt.Sprintf(`NodeName = %q
Role = "gateway"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = %q
InternalPortRange = [%d,%d]
Seeds = [%s]
Bootstrap = %t
CountsInTolerance = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[Zones]
%s
[Listen]
Front = "%s:%d"
Ready = "%s:%d"
Control = "%s:%d"
[Limits]
CpuShare = 0.4
CpuCores = 1
MemoryMb = %d
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
StableWindowMs = 3000
AckTimeoutMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LostSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
MaxSkewMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetMinRetries = 54
RecoverS = 12
PassMs = 120
[Platform]
Address = %q
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
AppendPerS = 200
RowBytes = 65536
Across = false
HistoryS = 20
`, m.name, m.ip, m.zone, site.zones[m.zone], internalPort, internalPort+15, strings.Join(seeds, ","), m.starts == 0, zones.String(),
		m.ip, frontPort, m.ip, readyPort, m.ip, controlPort, memoryLimitMB, site.store.addr)
	return os.WriteFile(m.settings, []byte(text), 0o600)
}
