package ownerlink

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"anvilwick.example/anvilwick/lib/ownerpb"
)

// kind is the message type of a datagram.
type kind uint8

const (
	kindOther kind = iota
	kindPlaceRequest
	kindAnswer
	kindReport
	kindHeartbeat
	kindBlames
	kindMoves
	kindContact
	kindLeft
	kindCounts
	kindSuspects
	kindPermit
	kindLimits
	kindStreams
	kindCount // number of kinds
)

var kindNames = [kindCount]string{
	"other", "ask", "answer", "report", "beat", "blames", "moves", "heard", "left", "counts", "suspects", "permit", "limits", "streams",
}

// traffic counts the datagrams of a kind and their bytes.
type traffic struct{ datagrams, bytes *metrics.Counter }

func (t *traffic) add(bytes int) {
	t.datagrams.Inc()
	t.bytes.Add(bytes)
}

var (
	sent       = newTraffic("out")
	received   = newTraffic("in")
	broadcasts = newTraffic("spread") // to all other instances, forwarded by neighbours
)

func newTraffic(direction string) (out [kindCount]traffic) {
	for k, name := range kindNames {
		labels := fmt.Sprintf("{way=%q,kind=%q}", direction, name)
		out[k] = traffic{
			datagrams: metrics.NewCounter("anvilwick_owner_datagrams_total" + labels),
			bytes:     metrics.NewCounter("anvilwick_owner_bytes_total" + labels),
		}
	}
	return out
}

func kindOf(d *ownerpb.Datagram) kind {
	switch d.Body.(type) {
	case *ownerpb.Datagram_Ask:
		return kindPlaceRequest
	case *ownerpb.Datagram_Answer:
		return kindAnswer
	case *ownerpb.Datagram_Report:
		return kindReport
	case *ownerpb.Datagram_Beat:
		return kindHeartbeat
	case *ownerpb.Datagram_Blames:
		return kindBlames
	case *ownerpb.Datagram_Moves, *ownerpb.Datagram_MovesAsk:
		return kindMoves
	case *ownerpb.Datagram_Heard, *ownerpb.Datagram_HeardAsk:
		return kindContact
	case *ownerpb.Datagram_LeftTold:
		return kindLeft
	case *ownerpb.Datagram_Counts:
		return kindCounts
	case *ownerpb.Datagram_Suspects:
		return kindSuspects
	case *ownerpb.Datagram_PermitAsk, *ownerpb.Datagram_Permit:
		return kindPermit
	case *ownerpb.Datagram_Limits:
		return kindLimits
	case *ownerpb.Datagram_StreamRecords, *ownerpb.Datagram_StreamRecordsAck, *ownerpb.Datagram_StreamQuery, *ownerpb.Datagram_StreamFound:
		return kindStreams
	}
	return kindOther
}
