package siterun

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/opsapi"
)

func TestUsageReadsMetrics(t *testing.T) {
	var u usage
	err := opsapi.ReadMetrics(strings.NewReader(`# HELP x
process_cpu_seconds_total 1.5
process_resident_memory_bytes 20000000
anvilwick_control_sent_bytes_total{link="platform"} 100
anvilwick_control_received_bytes_total{link="targets"} 30
anvilwick_mesh_sent_bytes_total 7
go_info_ext{compiler="gc", GOARCH="amd64"} 1
anvilwick_attempts_total{reason="moved"} 4
anvilwick_attempts_total{reason="stalled"} 5
anvilwick_tokens_total{workspace="w",class="c"} 9
`), u.addMetric)
	must.NoError(t, err)
	must.Eq(t, 1.5, u.cpu)
	must.Eq(t, 20e6, u.memory)
	must.Eq(t, 137, u.bytes)
	must.Eq(t, []float64{4, 5}, []float64{u.moved, u.stalled})
}
