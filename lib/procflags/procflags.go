// Package procflags holds the flags that several daemons share: links between processes, and operators' tokens.
package procflags

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"strings"

	"anvilwick.example/anvilwick/lib/mesh"
	"anvilwick.example/anvilwick/lib/opsapi"
)

// Links configures the authentication of links between anvilwick processes.
type Links struct {
	Files mesh.TLSFiles
	Plain bool
}

// Register adds the flags to fs.
func (l *Links) Register(fs *flag.FlagSet) {
	fs.StringVar(&l.Files.CA, "link-ca", "", "PEM file of the certificate authority for links between anvilwick processes")
	fs.StringVar(&l.Files.Cert, "link-cert", "", "PEM file of this process's certificate")
	fs.StringVar(&l.Files.Key, "link-key", "", "PEM file of the certificate's private key")
	fs.BoolVar(&l.Plain, "plain-links", false, "links without TLS; only for networks that nobody else can reach")
}

// Options validates the flags and loads the certificate files.
func (l *Links) Options() (mesh.Options, error) {
	files := l.Files.CA != "" || l.Files.Cert != "" || l.Files.Key != ""
	switch {
	case l.Plain && files:
		return mesh.Options{}, errors.New("-plain-links: not together with -link-ca, -link-cert or -link-key")
	case l.Plain:
		return mesh.Options{Plaintext: true}, nil
	case l.Files.CA == "" || l.Files.Cert == "" || l.Files.Key == "":
		return mesh.Options{}, errors.New("-link-ca, -link-cert and -link-key: all three are needed, or -plain-links")
	}
	cfg, err := mesh.LoadTLS(l.Files)
	return mesh.Options{TLS: cfg}, err
}

// OperatorTokens holds the hashes of operators' tokens, given as one flag.
type OperatorTokens struct {
	hashList string
}

// Register adds the flag to fs.
func (o *OperatorTokens) Register(fs *flag.FlagSet) {
	fs.StringVar(&o.hashList, "operator-token-sha256", "", "SHA-256 of operators' tokens, hexadecimal, separated by commas; empty: no operator access")
}

// Hashes parses the flag.
func (o *OperatorTokens) Hashes() ([]opsapi.Hash, error) {
	var hashes []opsapi.Hash
	for s := range strings.SplitSeq(o.hashList, ",") {
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

// CheckAddr returns an error with the flag's name unless value is an IP:port. Host names are rejected, since a process must
// not depend on a resolver.
func CheckAddr(name, value string) error {
	if _, err := netip.ParseAddrPort(value); err != nil {
		return fmt.Errorf("-%s: %q is not an IP:port", name, value)
	}
	return nil
}
