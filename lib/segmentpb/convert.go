// Package segmentpb encodes the records on prompt segments that instances of either product exchange.
package segmentpb

import (
	"time"

	"anvilwick.example/anvilwick/lib/ownerpb"
	"anvilwick.example/anvilwick/lib/poison"
)

// Encode encodes records for peers. Times are sent as ages, since clocks need not agree.
func Encode(now time.Time, recs []poison.SegmentRecord) []*ownerpb.SegmentRecord {
	out := make([]*ownerpb.SegmentRecord, len(recs))
	for i, r := range recs {
		out[i] = &ownerpb.SegmentRecord{
			Kind: uint32(r.Kind), Service: r.Service, Model: r.Model, Segments: r.Segments, AgeMs: uint64(max(0, now.Sub(r.At).Milliseconds())),
			Death: r.Death.ID, Address: r.Death.Address, Begun: r.Death.Begun,
			RunAgeMs: uint32(max(0, r.RunAge.Milliseconds())), Reporter: r.Reporter, Runs: uint32(r.Runs),
			Deaths: uint32(r.Deaths), Probes: uint32(r.Probes),
		}
		for _, c := range r.Controls {
			out[i].Controls = append(out[i].Controls, &ownerpb.SegmentControl{
				With: uint32(c.Any.With), All: uint32(c.Any.All), OlderWith: uint32(c.Older.With), OlderAll: uint32(c.Older.All),
			})
		}
		if r.Kind == poison.RecordConviction || r.Kind == poison.RecordTrial && r.Deaths > 0 {
			out[i].ProbeInMs = r.ProbeAt.Sub(now).Milliseconds()
		}
	}
	return out
}

// Decode decodes the records of a peer.
func Decode(now time.Time, list []*ownerpb.SegmentRecord) []poison.SegmentRecord {
	out := make([]poison.SegmentRecord, len(list))
	for i, r := range list {
		out[i] = poison.SegmentRecord{
			Kind: poison.RecordKind(r.Kind), Service: r.Service, Model: r.Model, Segments: r.Segments,
			At:     now.Add(-time.Duration(r.AgeMs) * time.Millisecond),
			Death:  poison.Death{ID: r.Death, Address: r.Address, Begun: r.Begun},
			RunAge: time.Duration(r.RunAgeMs) * time.Millisecond, Reporter: r.Reporter, Runs: int(r.Runs),
			Deaths: int(r.Deaths), Probes: int(r.Probes), ProbeAt: now.Add(time.Duration(r.ProbeInMs) * time.Millisecond),
		}
		for _, c := range r.Controls {
			out[i].Controls = append(out[i].Controls, poison.Controls{
				Any: poison.Control{With: int(c.With), All: int(c.All)}, Older: poison.Control{With: int(c.OlderWith), All: int(c.OlderAll)},
			})
		}
	}
	return out
}
