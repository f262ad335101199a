package member

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the randomized tests unless one is given, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		f.Value.Set("1")
	}
	os.Exit(m.Run())
}
