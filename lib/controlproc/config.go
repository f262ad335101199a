// Package controlproc assembles the control process: flags, operators' port, lib/control and shutdown.
package controlproc

import (
	"crypto/tls"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/opsapi"
)

// Config is what the command line gives.
type Config struct {
	Instance    string
	Domain      string
	Incarnation uint64 // 0: milliseconds of the clock at start
	EntryAddr   string // mesh address of the entry beside it, IP:port
	Platform    string // IP:port
	OpsAddr     string // IP:port
	Operators   string // SHA-256 of operators' tokens, hexadecimal, separated by commas
	Link        mesh.TLSFiles
	PlainLinks  bool
	LeaseTTL    time.Duration
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
	fs.StringVar(&c.Operators, "operator-token-sha256", "", "SHA-256 of operators' tokens, hexadecimal, separated by commas; empty: no operator is let in")
	fs.StringVar(&c.Link.CA, "link-ca", "", "PEM file of the authority of links between our processes")
	fs.StringVar(&c.Link.Cert, "link-cert", "", "PEM file of this process's certificate")
	fs.StringVar(&c.Link.Key, "link-key", "", "PEM file of its key")
	fs.BoolVar(&c.PlainLinks, "plain-links", false, "links without TLS; only where nobody else can reach the network")
	fs.DurationVar(&c.LeaseTTL, "lease-ttl", 15*time.Second, "time after which a silent holder of a lease is replaced")
	fs.StringVar(&c.LogLevel, "log-level", "info", "debug, info, warn or error")
}

// Check returns an error that names the first bad flag.
func (c *Config) Check() error {
	addrs := []struct{ flag, value string }{{"entry-addr", c.EntryAddr}, {"platform", c.Platform}, {"ops-addr", c.OpsAddr}}
	for _, a := range addrs {
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("-%s: %q is no IP:port", a.flag, a.value)
		}
	}
	switch {
	case c.Instance == "":
		return errors.New("-instance: a name is needed")
	case c.LeaseTTL < time.Second:
		return fmt.Errorf("-lease-ttl: %v is under a second", c.LeaseTTL)
	case c.PlainLinks == c.hasTLS():
		return errors.New("-plain-links: give it, or all of -link-ca, -link-cert and -link-key")
	}
	_, err := c.operators()
	return err
}

func (c *Config) hasTLS() bool { return c.Link.CA != "" && c.Link.Cert != "" && c.Link.Key != "" }

func (c *Config) links() (mesh.Options, error) {
	if c.PlainLinks {
		return mesh.Options{Plain: true}, nil
	}
	var cfg *tls.Config
	cfg, err := mesh.LoadTLS(c.Link)
	return mesh.Options{TLS: cfg}, err
}

func (c *Config) operators() ([]opsapi.Hash, error) {
	var hashes []opsapi.Hash
	for s := range strings.SplitSeq(c.Operators, ",") {
		if s = strings.TrimSpace(s); s == "" {
			continue
		}
		h, err := opsapi.ParseHash(s)
		if err != nil {
			return nil, fmt.Errorf("-operator-token-sha256: %w", err)
		}
		hashes = append(hashes, h)
	}
	return hashes, nil
}
