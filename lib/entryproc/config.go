// Package entryproc assembles the entry process: settings, callers' port, operators' port, scheduler and shutdown.
package entryproc

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/procflags"
)

// Config is the configuration from the command line.
type Config struct {
	Listen       string // callers' port, IP:port
	OpsAddr      string // operators' port, IP:port
	Instance     string // name of the instance
	Domain       string // failure domain
	Incarnation  uint64 // 0: start time in milliseconds
	SettingsFile string // initial settings; empty: wait until a control process sends them
	Platform     string // the platform's table, IP:port; empty: none, and keyed requests that are not idempotent are refused
	MeshAddr     string // port for the other entries and the control process, IP:port; empty: none
	MeshListen   string // listen address when others reach MeshAddr through a proxy or address translation; empty: MeshAddr
	Links        procflags.Links
	Operators    procflags.OperatorTokens
	StopNotice   time.Duration // from the end of readiness until new requests are refused
	StopLimit    time.Duration // longest wait for requests in progress; 0: unlimited
	TargetProxy  string        // address of an HTTP proxy (CONNECT) for the connections to targets; empty: none
	MaxStreams   int
	MemoryMB     int    // limit at which the process is killed; 0: that of its container
	Scheduler    string // scheduling policy of a shard; all but SchedulerOwner are for experiments
	LogLevel     string
}

// defaultStopLimit is longer than generations take, and ends a stop that a call without an end would keep from ending.
const defaultStopLimit = 30 * time.Minute

// Register adds the flags to fs.
func (c *Config) Register(fs *flag.FlagSet) {
	fs.StringVar(&c.Listen, "listen", "127.0.0.1:8080", "callers' port, IP:port")
	fs.StringVar(&c.OpsAddr, "ops-addr", "127.0.0.1:8081", "operators' port, IP:port: health, readiness, metrics")
	fs.StringVar(&c.Instance, "instance", "", "name of this instance")
	fs.StringVar(&c.Domain, "failure-domain", "", "failure domain of this instance")
	fs.Uint64Var(&c.Incarnation, "incarnation", 0, "number that increases when the instance is replaced; 0: from the clock")
	fs.StringVar(&c.SettingsFile, "settings", "", "settings file to start with; not needed with -mesh-addr")
	fs.StringVar(&c.MeshAddr, "mesh-addr", "", "port for the other entries and the local control process, IP:port; empty: stand-alone")
	fs.StringVar(&c.MeshListen, "mesh-listen", "", "listen address if -mesh-addr is reached through a proxy, IP:port; empty: -mesh-addr")
	fs.StringVar(&c.Platform, "platform", "", "the platform, IP:port; empty: none, and keyed requests that are not idempotent are refused")
	c.Links.Register(fs)
	c.Operators.Register(fs)
	fs.DurationVar(&c.StopNotice, "stop-notice", 3*time.Second,
		"after SIGTERM, time in which requests are still accepted while balancers notice")
	fs.DurationVar(&c.StopLimit, "stop-limit", defaultStopLimit,
		"after -stop-notice, longest wait for requests in progress; both together must end before the service manager kills the process; 0: unlimited")
	fs.IntVar(&c.MaxStreams, "max-streams", 4096, "requests in progress at most")
	fs.IntVar(&c.MemoryMB, "memory-mb", 0, "memory at which the process is killed, in MiB: what does not fit is refused; 0: the limit of the container (cgroup v2), if it has one")
	fs.StringVar(&c.TargetProxy, "target-proxy", "", "address of an HTTP proxy (CONNECT) for the connections to targets; empty: none")
	fs.StringVar(&c.Scheduler, "scheduler", SchedulerOwner,
		"policy of a shard: owner; for experiments only: least-loaded or round-robin, which ignore future memory use")
	fs.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warn or error")
}

// memoryLimit returns the bytes at which the process is killed; 0: there is no limit.
func (c *Config) memoryLimit() int64 {
	return membudget.ProcessLimit(c.MemoryMB)
}

// Check returns an error that names the first bad flag.
func (c *Config) Check() error {
	addrs := []struct{ flag, value string }{{"listen", c.Listen}, {"ops-addr", c.OpsAddr}}
	if c.MeshAddr != "" {
		addrs = append(addrs, struct{ flag, value string }{"mesh-addr", c.MeshAddr})
	}
	if c.MeshListen != "" {
		addrs = append(addrs, struct{ flag, value string }{"mesh-listen", c.MeshListen})
	}
	if c.Platform != "" {
		addrs = append(addrs, struct{ flag, value string }{"platform", c.Platform})
	}
	for _, a := range addrs {
		if err := procflags.CheckAddr(a.flag, a.value); err != nil {
			return err
		}
	}
	switch {
	case c.Instance == "":
		return errors.New("-instance: a name is needed")
	case c.SettingsFile == "" && c.MeshAddr == "":
		return errors.New("-settings: a file is needed, or -mesh-addr to receive settings from a control process")
	case c.newPolicy() == nil:
		return fmt.Errorf("-scheduler: %q is not one of owner, least-loaded, round-robin", c.Scheduler)
	case c.MaxStreams < 1:
		return fmt.Errorf("-max-streams: %d is not positive", c.MaxStreams)
	case c.StopNotice < 0 || c.StopLimit < 0:
		return errors.New("-stop-notice and -stop-limit: must not be negative")
	}
	return nil
}
