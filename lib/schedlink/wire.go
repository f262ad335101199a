package schedlink

import (
	"time"

	"anvilwick.example/anvilwick/lib/ids"
	"anvilwick.example/anvilwick/lib/meshpb"
	"anvilwick.example/anvilwick/lib/result"
	"anvilwick.example/anvilwick/lib/sched"
	"anvilwick.example/anvilwick/lib/shard"
)

// encodeSubmit encodes a request. A deadline is sent as the time left, because the clocks of two processes are unrelated.
func encodeSubmit(id shard.ID, r *sched.Request, handle uint32, runningOn string, now sched.Time) *meshpb.SchedUp {
	m := &meshpb.Submit{
		Generation:   r.Gen[:],
		Service:      id.Service,
		Shard:        id.Index,
		Workspace:    r.Workspace,
		Class:        r.Class,
		Attempt:      r.Attempt,
		PromptTokens: uint32(r.PromptTokens),
		MaxTokens:    uint32(r.MaxTokens),
		Emitted:      uint32(r.Emitted),
		Prefixes:     r.Prefixes,
		Preemptions:  uint32(r.Preemptions),
		Avoid:        r.Avoid,
		Fingerprint:  r.Fingerprint,
		Software:     r.Software,
		RunningOn:    runningOn,
		Handle:       handle,
	}
	if r.Deadline != 0 {
		m.DeadlineMs = max(1, r.Deadline.Sub(now).Milliseconds())
	}
	return &meshpb.SchedUp{Msg: &meshpb.SchedUp_Submit{Submit: m}}
}

// decodeSubmit decodes a Submit. ok is false when the generation's ID is malformed.
func decodeSubmit(m *meshpb.Submit, now sched.Time) (id shard.ID, r sched.Request, ok bool) {
	g, err := ids.FromBytes(m.GetGeneration())
	if err != nil {
		return id, r, false
	}
	r = sched.Request{
		Gen:          g,
		Workspace:    m.GetWorkspace(),
		Class:        m.GetClass(),
		Attempt:      m.GetAttempt(),
		PromptTokens: int(m.GetPromptTokens()),
		MaxTokens:    int(m.GetMaxTokens()),
		Emitted:      int(m.GetEmitted()),
		Preemptions:  int(m.GetPreemptions()),
		Prefixes:     m.GetPrefixes(),
		Avoid:        m.GetAvoid(),
		Fingerprint:  m.GetFingerprint(),
		Software:     m.GetSoftware(),
		RunningOn:    m.GetRunningOn(),
	}
	if m.GetDeadlineMs() != 0 {
		r.Deadline = now.Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond)
	}
	return shard.ID{Service: m.GetService(), Index: m.GetShard()}, r, true
}

func encodeProgress(items []*meshpb.ProgressItem) *meshpb.SchedUp {
	return &meshpb.SchedUp{Msg: &meshpb.SchedUp_Progress{Progress: &meshpb.Progress{Items: items}}}
}

func encodeEnd(g ids.Generation, attempt uint32, tokens int, reason sched.EndReason) *meshpb.SchedUp {
	return &meshpb.SchedUp{Msg: &meshpb.SchedUp_End{End: &meshpb.End{
		Generation: g[:],
		Attempt:    attempt,
		Tokens:     uint32(tokens),
		Reason:     meshpb.EndReason(reason),
	}}}
}

// encodeAction encodes a decision.
func encodeAction(a sched.Action, epoch uint64) *meshpb.SchedDown {
	switch a.Kind {
	case sched.ActGrant:
		return &meshpb.SchedDown{Msg: &meshpb.SchedDown_Grant{Grant: &meshpb.Grant{
			Generation: a.Gen[:],
			Attempt:    a.Attempt,
			Target:     a.Target,
			Epoch:      epoch,
			Priority:   int32(a.Priority),
		}}}
	case sched.ActPreempt:
		return &meshpb.SchedDown{Msg: &meshpb.SchedDown_Preempt{Preempt: &meshpb.Preempt{
			Generation: a.Gen[:],
			Attempt:    a.Attempt,
		}}}
	default:
		return &meshpb.SchedDown{Msg: &meshpb.SchedDown_Refuse{Refuse: &meshpb.Refuse{
			Generation:   a.Gen[:],
			Attempt:      a.Attempt,
			Code:         uint32(a.Code),
			RetryAfterMs: uint32(a.RetryAfter.Milliseconds()),
		}}}
	}
}

// decodeAction decodes a decision. ok is false for any other message, or a malformed ID.
func decodeAction(m *meshpb.SchedDown) (a sched.Action, ok bool) {
	var gen []byte
	switch d := m.GetMsg().(type) {
	case *meshpb.SchedDown_Grant:
		gen = d.Grant.GetGeneration()
		a = sched.Action{Kind: sched.ActGrant, Attempt: d.Grant.GetAttempt(), Target: d.Grant.GetTarget(), Priority: int(d.Grant.GetPriority())}
	case *meshpb.SchedDown_Preempt:
		gen = d.Preempt.GetGeneration()
		a = sched.Action{Kind: sched.ActPreempt, Attempt: d.Preempt.GetAttempt()}
	case *meshpb.SchedDown_Refuse:
		gen = d.Refuse.GetGeneration()
		a = decodeRefuse(d.Refuse)
	default:
		return a, false
	}
	g, err := ids.FromBytes(gen)
	a.Gen = g
	return a, err == nil
}

func decodeRefuse(m *meshpb.Refuse) sched.Action {
	return sched.Action{
		Kind:       sched.ActRefuse,
		Attempt:    m.GetAttempt(),
		Code:       result.Code(m.GetCode()),
		RetryAfter: time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
}
