package fleetsim

import (
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/shoenig/test/must"
)

var sizes = flag.String("sizes", "", "numbers of instances to measure, separated by commas; each with ten times as many targets")

func TestMain(m *testing.M) {
	log.DefaultLogger.SetLevel(log.PanicLevel) // thousands of instances log in one process
	os.Exit(m.Run())
}

func sizeOf(n int) Size {
	return Size{Instances: n, Targets: 10 * n, Domains: 5, Strong: max(1, n/100), SettingsBytes: 60_000}
}

// TestFleet measures the sizes given by -sizes: go test ./lib/fleetsim -run TestFleet -v -timeout 30m -sizes 100,300,1000
func TestFleet(t *testing.T) {
	// All sizes share one bubble: timers that the links' library keeps for later belong to the bubble that created them.
	synctest.Test(t, func(t *testing.T) {
		for text := range strings.SplitSeq(*sizes, ",") {
			n, err := strconv.Atoi(text)
			if err != nil {
				continue // no sizes given
			}
			size := sizeOf(n)
			results, err := runScenario(newSite(size, 1), standardPhases(), float64(n)/10)
			must.NoError(t, err)
			must.NoError(t, writeResults(os.Stdout, size, results))
		}
	})
}

// Objectives: the service is back within recoveryObjective, and a change has reached all instances within propagationObjective.
const (
	recoveryObjective    = 6 * time.Second
	propagationObjective = time.Second
)

// The state and the traffic of a follower must not grow with the fleet.
func TestFollowerCostDoesNotGrow(t *testing.T) {
	var follower []Load
	synctest.Test(t, func(t *testing.T) {
		for _, n := range []int{60, 180} {
			size := Size{Instances: n, Targets: 40 * n, Domains: 3, Strong: n / 20, SettingsBytes: 10_000}
			results, err := runScenario(newSite(size, 1), standardPhases()[:4], 10)
			must.NoError(t, err)
			must.NoError(t, writeResults(os.Stdout, size, results))
			must.Between(t, 0, results[0].Last, recoveryObjective)
			for _, r := range results[2:] {
				must.Between(t, 0, r.Last, propagationObjective, must.Sprint(r.Phase))
			}
			follower = append(follower, results[1].Loads["follows"])
		}
	})
	must.Less(t, 1.3*float64(follower[0].Targets), float64(follower[1].Targets))
	must.Less(t, 1.3*follower[0].Bytes, follower[1].Bytes)
}
