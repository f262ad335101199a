package member

import (
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/platformapi"
)

// FromInstance converts an entry of the platform's instance list, or of the control process's view of it.
func FromInstance(in platformapi.Instance) Member {
	return Member{
		Instance:      in.ID,
		Incarnation:   in.Incarnation,
		Leaving:       in.State == platformapi.InstanceLeaving,
		FailureDomain: in.FailureDomain,
		MeshAddr:      in.MeshAddr,
	}
}

// FromProto converts a member from a message.
func FromProto(m *meshpb.Member) Member { return fromProto(m) }

// ToProto converts a member for a message.
func ToProto(m Member) *meshpb.Member { return toProto(m) }

func fromProto(m *meshpb.Member) Member {
	return Member{
		Instance:      m.GetInstance(),
		Incarnation:   m.GetIncarnation(),
		Refutation:    m.GetRefutation(),
		State:         stateFromProto(m.GetState()),
		Leaving:       m.GetLeaving() || m.GetState() == meshpb.MemberState_MEMBER_LEAVING,
		FailureDomain: m.GetFailureDomain(),
		MeshAddr:      m.GetMeshAddr(),
	}
}

func toProto(m Member) *meshpb.Member {
	return &meshpb.Member{
		Instance:      m.Instance,
		Incarnation:   m.Incarnation,
		Refutation:    m.Refutation,
		State:         stateToProto(m),
		Leaving:       m.Leaving,
		FailureDomain: m.FailureDomain,
		MeshAddr:      m.MeshAddr,
	}
}

// senderOf returns the sender's state according to its heartbeat: it is live.
func senderOf(hb *meshpb.Heartbeat) Member {
	return Member{
		Instance:      hb.GetInstance(),
		Incarnation:   hb.GetIncarnation(),
		Refutation:    hb.GetRefutation(),
		Leaving:       hb.GetState() == meshpb.MemberState_MEMBER_LEAVING,
		FailureDomain: hb.GetFailureDomain(),
		MeshAddr:      hb.GetMeshAddr(),
	}
}

func stateFromProto(s meshpb.MemberState) State {
	switch s {
	case meshpb.MemberState_MEMBER_SUSPECT:
		return Suspect
	case meshpb.MemberState_MEMBER_DEAD:
		return Dead
	default:
		return Live
	}
}

func stateToProto(m Member) meshpb.MemberState {
	switch {
	case m.State == Dead:
		return meshpb.MemberState_MEMBER_DEAD
	case m.State == Suspect:
		return meshpb.MemberState_MEMBER_SUSPECT
	case m.Leaving:
		return meshpb.MemberState_MEMBER_LEAVING
	default:
		return meshpb.MemberState_MEMBER_LIVE
	}
}
