package guardlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/limit"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/poison"
)

func stampToProto(s limit.Stamp) *meshpb.LimitStamp {
	return &meshpb.LimitStamp{Epoch: s.Epoch, Nanos: s.Nanos}
}

func stampFromProto(s *meshpb.LimitStamp) limit.Stamp {
	return limit.Stamp{Epoch: s.GetEpoch(), Nanos: s.GetNanos()}
}

func upToProto(up limit.Up) *meshpb.GuardMessage {
	m := &meshpb.LimitUp{
		Stamp: stampToProto(up.Stamp),
		Echo:  stampToProto(up.Echo),
		Views: up.Views,
		Full:  up.Full,
	}
	for _, d := range up.Demands {
		m.Demands = append(m.Demands, &meshpb.LimitDemand{
			Workspace: d.Key.Workspace,
			Class:     d.Key.Class,
			InUse:     int32(d.InUse),
			Slots:     int32(d.Slots),
			Rate:      d.Rate,
			Tokens:    int32(d.Tokens),
			Ack:       d.Ack,
		})
	}
	return &meshpb.GuardMessage{Msg: &meshpb.GuardMessage_Up{Up: m}}
}

func upFromProto(m *meshpb.LimitUp) limit.Up {
	up := limit.Up{
		Stamp: stampFromProto(m.GetStamp()),
		Echo:  stampFromProto(m.GetEcho()),
		Views: m.GetViews(),
		Full:  m.GetFull(),
	}
	for _, d := range m.GetDemands() {
		up.Demands = append(up.Demands, limit.Demand{
			Key:    limit.Key{Workspace: d.GetWorkspace(), Class: d.GetClass()},
			InUse:  int(d.GetInUse()),
			Slots:  int(d.GetSlots()),
			Rate:   d.GetRate(),
			Tokens: int(d.GetTokens()),
			Ack:    d.GetAck(),
		})
	}
	return up
}

func downToProto(d limit.Down) *meshpb.GuardMessage {
	m := &meshpb.LimitDown{Stamp: stampToProto(d.Stamp), Echo: stampToProto(d.Echo), WantFull: d.WantFull}
	for _, s := range d.Shares {
		m.Shares = append(m.Shares, &meshpb.LimitShare{
			Workspace: s.Key.Workspace,
			Class:     s.Key.Class,
			Seq:       s.Seq,
			Slots:     int32(s.Slots),
			Tokens:    int32(s.Tokens),
		})
	}
	return &meshpb.GuardMessage{Msg: &meshpb.GuardMessage_Down{Down: m}}
}

func downFromProto(m *meshpb.LimitDown) limit.Down {
	d := limit.Down{Stamp: stampFromProto(m.GetStamp()), Echo: stampFromProto(m.GetEcho()), WantFull: m.GetWantFull()}
	for _, s := range m.GetShares() {
		d.Shares = append(d.Shares, limit.Share{
			Key:    limit.Key{Workspace: s.GetWorkspace(), Class: s.GetClass()},
			Seq:    s.GetSeq(),
			Slots:  int(s.GetSlots()),
			Tokens: int(s.GetTokens()),
		})
	}
	return d
}

func recordsToProto(recs []poison.Record) *meshpb.GuardMessage {
	m := &meshpb.PoisonNews{}
	for _, r := range recs {
		m.Records = append(m.Records, &meshpb.PoisonRecord{
			Fingerprint: r.Fingerprint,
			Death:       r.Death,
			Level:       uint32(r.Level),
			Newest:      r.Newest,
			AgeMs:       r.Age.Milliseconds(),
		})
	}
	return &meshpb.GuardMessage{Msg: &meshpb.GuardMessage_Poison{Poison: m}}
}

func recordsFromProto(m *meshpb.PoisonNews) []poison.Record {
	recs := make([]poison.Record, 0, len(m.GetRecords()))
	for _, r := range m.GetRecords() {
		recs = append(recs, poison.Record{
			Fingerprint: r.GetFingerprint(),
			Death:       r.GetDeath(),
			Level:       poison.Level(min(r.GetLevel(), uint32(poison.LevelFinished))),
			Newest:      r.GetNewest(),
			Age:         time.Duration(max(0, r.GetAgeMs())) * time.Millisecond,
		})
	}
	return recs
}
