package ownerlink

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/ownerpb"
)

// Each stream that begins is recorded at two peers. An instance of the size that the project is designed for begins 58 streams a second, and
// has 29 KB/s for all control: a record and its acknowledgement must take a third of that at most, sent and received.
func TestRecordsFitTheControlBudget(t *testing.T) {
	const streamsPerSecond, holders, budget = 58, 2, 29_000.0 / 3
	var d ownerpb.Datagram
	size := func() int { return proto.Size(&d) }
	d.Body = &ownerpb.Datagram_StreamRecords{StreamRecords: &ownerpb.StreamRecords{
		Id: 1 << 20, Sender: nameHash("front-a-failure-domain-430"), Records: []*ownerpb.StreamRecord{{Key: 1, Software: 1, TtlMs: 40_000}},
	}}
	record := size()
	d.Body = &ownerpb.Datagram_StreamRecordsAck{StreamRecordsAck: &ownerpb.StreamRecordsAck{Id: 1 << 20, Sender: nameHash("front-a-failure-domain-430")}}
	ack := size()
	perSecond := float64(streamsPerSecond * holders * (record + ack))
	t.Logf("record %d bytes, acknowledgement %d bytes, %.0f bytes a second each way", record, ack, perSecond)
	must.Less(t, budget, perSecond)
}
