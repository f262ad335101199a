// Package controlproc assembles the control process: flags, operators' port, lib/control and shutdown.
package controlproc

import (
	"errors"
	"flag"
	"fmt"
	"time"

	"anvilwick.example/anvilwick/lib/membudget"
	"anvilwick.example/anvilwick/lib/procflags"
)

// Config holds the command-line options.
type Config struct {
	Instance    string
	Domain      string
	Incarnation uint64 // 0: milliseconds of the clock at start
	EntryAddr   string // mesh address of the entry beside it, IP:port
	Platform    string // IP:port
	OpsAddr     string // IP:port
	Operators   procflags.OperatorTokens
	Links       procflags.Links
	LeaseTTL    time.Duration
	MemoryMB    int // limit at which the process is killed; 0: that of its container
	LogLevel    string
	Version     string
}

// Register adds the flags to fs.
func (c *Config) Register(fs *flag.FlagSet) {
	fs.StringVar(&c.Instance, "instance", "", "name of this instance; the entry beside it has the same")
	fs.StringVar(&c.Domain, "failure-domain", "", "failure domain of this instance")
	fs.Uint64Var(&c.Incarnation, "incarnation", 0, "number that grows when the instance is replaced; 0: from the clock")
	fs.StringVar(&c.EntryAddr, "entry-addr", "127.0.0.1:8082", "mesh address of the entry beside it, IP:port")
	fs.StringVar(&c.Platform, "platform", "", "the platform, IP:port")
	fs.StringVar(&c.OpsAddr, "ops-addr", "127.0.0.1:8083", "operators' port, IP:port: health, readiness, metrics, status, targets, queues, drain")
	c.Operators.Register(fs)
	c.Links.Register(fs)
	fs.DurationVar(&c.LeaseTTL, "lease-ttl", 15*time.Second, "time after which a silent holder of a lease is replaced")
	fs.IntVar(&c.MemoryMB, "memory-mb", 0, "memory at which the process is killed, in MiB: what does not fit is refused; 0: the limit of the container (cgroup v2), if it has one")
	fs.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warn or error")
}

// memoryLimit returns the bytes at which the process is killed; 0: there is no limit.
func (c *Config) memoryLimit() int64 { return membudget.ProcessLimit(c.MemoryMB) }

// Check returns an error that names the first bad flag.
func (c *Config) Check() error {
	addrs := []struct{ flag, value string }{{"entry-addr", c.EntryAddr}, {"platform", c.Platform}, {"ops-addr", c.OpsAddr}}
	for _, a := range addrs {
		if err := procflags.CheckAddr(a.flag, a.value); err != nil {
			return err
		}
	}
	switch {
	case c.Instance == "":
		return errors.New("-instance: name is required")
	case c.LeaseTTL < time.Second:
		return fmt.Errorf("-lease-ttl: %v is shorter than 1s", c.LeaseTTL)
	}
	return nil
}
