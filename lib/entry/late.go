package entry

import (
	"time"

	"anvilwick.example/anvilwick/lib/stopping"
)

// endsTooLate reports whether a call must not be sent to a target any more, because a stop cuts it before it is answered. It is asked right before each
// send and in each wait: a call may have waited since it was accepted.
func (s *Server) endsTooLate(now time.Time, c stopping.Call) bool {
	schedule := s.schedule.Load()
	return schedule != nil && !schedule.Allows(now, c)
}

func (g *generation) kind() stopping.Kind {
	return stopping.Kind{Service: g.subject.Service, Route: g.subject.Class}
}

// generationTime returns what is known of how long a generation takes once it is sent. How many tokens it gets is unknown, so that it is judged by
// recent ones of its class.
func (s *Server) generationTime(g *generation) stopping.Call {
	expected := s.times.ExpectAnswer(g.kind())
	if most := s.times.ExpectStream(g.kind(), g.completion.MaxTokens); most > 0 && (expected == 0 || most < expected) {
		expected = most
	}
	return stopping.Call{
		Likely: expected, Longest: expected, First: s.times.ExpectFirst(g.kind()), Limit: g.deadline, Resumable: g.key != "",
	}
}

// notSentInTime reports whether a generation that no engine has been sent ends too late for a stop.
func (s *Server) notSentInTime(now time.Time, g *generation) bool {
	return s.schedule.Load() != nil && !g.possiblyRan() && s.endsTooLate(now, s.generationTime(g))
}

// checkStop ends a generation's wait for a place if a stop would cut it.
func (s *Server) checkStop(g *generation, now time.Time) {
	if s.notSentInTime(now, g) {
		g.lapse()
	}
}

func (pc *plainCall) kind() stopping.Kind {
	return stopping.Kind{Service: pc.service.Name, Route: pc.route.Prefix}
}

// plainEndsTooLate reports whether a plain call ends too late for a stop.
func (s *Server) plainEndsTooLate(now time.Time, pc *plainCall) bool {
	return s.schedule.Load() != nil && s.endsTooLate(now, s.plainTime(pc)) // the time costs a look at all open calls
}

// plainTime returns what is known of how long a plain call takes once it is sent.
func (s *Server) plainTime(pc *plainCall) stopping.Call {
	expected := s.times.ExpectAnswer(pc.kind())
	return stopping.Call{Likely: expected, Longest: expected, Limit: pc.deadline(pc.policy)}
}
