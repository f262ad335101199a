package loadrun

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestCheckNamesInvalidFlag(t *testing.T) {
	good := Config{Entries: "127.0.0.1:1", Deployment: "kivu", Span: 1, RequestTimeout: 1, Load: 1, Length: 1, MaxInFlight: 1, KeyFormat: "%s"}
	must.NoError(t, good.Check())
	bad := map[string]func(*Config){
		"-deployment": func(c *Config) { c.Deployment = "x" },
		"-entries":    func(c *Config) { c.Entries = "localhost:1" },
		"-span":       func(c *Config) { c.Span = 0 },
		"-key-format": func(c *Config) { c.KeyFormat = "key" },
	}
	for name, modify := range bad {
		c := good
		modify(&c)
		must.ErrorContains(t, c.Check(), name)
	}
}
