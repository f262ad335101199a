package gatewayproc

import (
	"context"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"anvilwick.example/anvilwick/lib/feedlink"
	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/poison"
	"anvilwick.example/anvilwick/lib/segmentpb"
)

const (
	// segmentsDelay is the time for which records are collected, and segmentsJitter the most by which it is longer at random: of the instances
	// that have seen a segment survive, the first to say so answers for all.
	segmentsDelay  = 50 * time.Millisecond
	segmentsJitter = 100 * time.Millisecond
)

// exchangeSegments sends this instance's records on prompt segments to its peers, twice since datagrams may be lost.
func (p *Process) exchangeSegments(ctx context.Context) {
	table := p.gate.Segments()
	var previous []poison.SegmentRecord
	for {
		var again <-chan time.Time
		if len(previous) > 0 {
			again = time.After(blamesRepeatDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-table.Updates():
			if !sleep(ctx, segmentsDelay+rand.N(segmentsJitter)) {
				return
			}
		case <-again:
		}
		recs := table.Take()
		p.broadcastSegments(append(previous, recs...))
		previous = recs
	}
}

// sleep waits and reports whether ctx is still alive.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

const (
	// maxSegmentRecords bounds the records of one broadcast, maxSegmentBytes their size: the sender's name and address take the rest.
	maxSegmentRecords = 64
	maxSegmentBytes   = feedlink.MaxBroadcast - 1<<10
	// segmentOverhead is the size that a record takes in a message besides its own, at most.
	segmentOverhead = 4
)

func (p *Process) broadcastSegments(recs []poison.SegmentRecord) {
	for _, part := range splitSegments(segmentpb.Encode(time.Now(), recs)) {
		p.link.BroadcastBlames(&ownerpb.Blames{Segments: part})
	}
}

// splitSegments splits records into those of one broadcast each.
func splitSegments(recs []*ownerpb.SegmentRecord) (parts [][]*ownerpb.SegmentRecord) {
	begin, size := 0, 0
	for i, rec := range recs {
		n := proto.Size(rec) + segmentOverhead
		if i > begin && (i-begin == maxSegmentRecords || size+n > maxSegmentBytes) {
			parts = append(parts, recs[begin:i])
			begin, size = i, 0
		}
		size += n
	}
	if begin < len(recs) {
		parts = append(parts, recs[begin:])
	}
	return parts
}
