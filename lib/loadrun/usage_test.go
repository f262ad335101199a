package loadrun

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func TestReadUsage(t *testing.T) {
	u, err := readUsage(strings.NewReader(`# HELP x
process_cpu_seconds_total 1.5
process_resident_memory_bytes 20000000
anvilwick_control_sent_bytes_total{link="platform"} 100
anvilwick_control_received_bytes_total{link="targets"} 30
anvilwick_mesh_sent_bytes_total 7
go_info_ext{compiler="gc", GOARCH="amd64"} 1
anvilwick_tokens_total{workspace="w",class="c"} 9
`))
	must.NoError(t, err)
	must.Eq(t, 1.5, u.cpu)
	must.Eq(t, 20e6, u.memory)
	must.Eq(t, 137, u.bytes)
}

func TestBadFlagsAreNamed(t *testing.T) {
	good := Config{Deployment: "kivu", Span: 1, Patience: 1, Load: 1, Length: 1, MaxInFlight: 1, KeyFormat: "%s"}
	must.NoError(t, good.Check())
	bad := map[string]func(*Config){
		"-deployment":  func(c *Config) { c.Deployment = "x" },
		"-entries":     func(c *Config) { c.Entries = "localhost:1" },
		"-span":        func(c *Config) { c.Span = 0 },
		"-key-format":  func(c *Config) { c.KeyFormat = "key" },
		"-kill-engine": func(c *Config) { c.KillEngine, c.Entries = 1, "127.0.0.1:1" },
		"-compare":     func(c *Config) { c.Compare = -1 },
	}
	for name, spoil := range bad {
		c := good
		spoil(&c)
		must.ErrorContains(t, c.Check(), name)
	}
}
