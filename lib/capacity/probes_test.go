package capacity

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestFitPrintsValueAtDesignSize(t *testing.T) {
	var out strings.Builder
	Report{W: &out}.fit("p", "v", "peer", []Point{{1, 2}, {2, 4}, {3, 6}})
	must.EqOp(t, "fit probe=p value=v by=peer points=3 base=0 slope=2 slope_err=0 letter_size=429 letter_value=858\n", out.String())
}

func TestSettingsOfAllSizesLoad(t *testing.T) {
	for _, size := range [][2]int{{1, 0}, {60, 0}, {10, 750}} {
		_, err := loadTree(settingsText(size[0], size[1]))
		must.NoError(t, err)
	}
}

func TestProcessCPUIncreases(t *testing.T) {
	before, err := processCPU(os.Getpid())
	must.NoError(t, err)
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		_ = settingsText(10, 10)
	}
	after, err := processCPU(os.Getpid())
	must.NoError(t, err)
	must.Greater(t, before, after)
}

// Several hundred writes a second can carry more claims than that only if concurrent claims share writes.
func TestConcurrentClaimsShareWrites(t *testing.T) {
	_, writes, bytes, err := runClaims(t.Context(), 32)
	must.NoError(t, err)
	must.Less(t, 0.5, writes)
	must.Positive(t, bytes)
}

func TestLimitTrafficCountsBothWays(t *testing.T) {
	t.Parallel()
	t.Cleanup(removeLinkCerts)
	bytes, _, err := limitTraffic(t.Context(), 2, 1, nil)
	must.NoError(t, err)
	must.Positive(t, bytes)
	must.Less(t, 2_000, bytes)
}

func TestProbeNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, p := range Probes() {
		must.False(t, seen[p.Name])
		seen[p.Name] = true
	}
	must.True(t, selected("owner", nil))
	must.True(t, selected("owner", []string{"claim", "owner"}))
	must.False(t, selected("owner", []string{"claim"}))
}
