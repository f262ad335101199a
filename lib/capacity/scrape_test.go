package capacity

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against counting bytes twice: an entry lists the metrics of its process twice.
func TestReadMetricsCountsRepeatedLineOnce(t *testing.T) {
	const text = `# help
process_resident_memory_bytes 20000000
anvilwick_mesh_sent_bytes_total 100
anvilwick_mesh_received_bytes_total 50
anvilwick_platform_exchanges_total{use="txn",outcome="answered"} 3
anvilwick_platform_exchanges_total{use="get",outcome="lost"} 2
anvilwick_platform_exchanges_total{use="range",outcome="answered"} 4
anvilwick_platform_exchanges_total{use="range",outcome="not_sent"} 9
anvilwick_mesh_sent_bytes_total 100
anvilwick_mesh_received_bytes_total 50
`
	u, err := readMetrics(strings.NewReader(text))
	must.NoError(t, err)
	must.EqOp(t, 2e7, u.memory)
	must.EqOp(t, 150.0, u.meshBytes)
	must.EqOp(t, 3.0, u.writes)
	must.EqOp(t, 6.0, u.reads)
}
