// Package stream guarantees that a caller receives each token of a generation exactly once, in order and from one generation.
//
// State is a pure state machine: it checks the numbers on each frame and decides whether the token may be delivered. It
// holds no text and does no I/O, so that randomised tests can drive it.
package stream

import (
	"errors"

	"anvilwick.example/anvilwick/lib/ids"
)

// Verdict is State's decision on a frame.
type Verdict uint8

// Verdicts, with the action to take.
const (
	Deliver Verdict = iota + 1 // the next token: deliver
	Repeat                     // an index that was already delivered: drop
	Late                       // from an earlier, fenced attempt: drop
	Foreign                    // from another generation, or from an attempt never started: drop
	Gap                        // an index beyond the next: the attempt has failed
	End                        // an end mark whose count matches the tokens delivered
	Short                      // an end mark whose count differs from the tokens delivered: the attempt has failed
	Over                       // the generation has ended: drop
)

var verdictNames = [...]string{"", "deliver", "repeat", "late", "foreign", "gap", "end", "short", "over"}

// String returns the verdict's label in metrics.
func (v Verdict) String() string { return verdictNames[v] }

// Drop reports whether the frame is ignored while the attempt continues.
func (v Verdict) Drop() bool { return v == Repeat || v == Late || v == Foreign || v == Over }

// Failed reports whether the frame shows that the attempt can't deliver the remaining tokens.
func (v Verdict) Failed() bool { return v == Gap || v == Short }

// Errors returned by Begin.
var (
	ErrNotFenced = errors.New("stream: previous attempt is not fenced")
	ErrEnded     = errors.New("stream: generation has ended")
)

// State is the delivery state of one generation. It is not safe for concurrent use.
type State struct {
	gen     ids.Generation
	attempt uint32 // current or last attempt; 0: none yet
	fenced  uint32 // frames of attempts up to this one are late
	next    uint32 // index of the next token
	ended   bool
}

// New returns the State of a generation without attempts.
func New(g ids.Generation) *State { return &State{gen: g} }

// Restore returns the State of a generation whose attempts up to attempt ran on another entry and delivered next tokens. Those
// attempts count as fenced.
func Restore(g ids.Generation, attempt, next uint32) *State {
	return &State{gen: g, attempt: attempt, fenced: attempt, next: next}
}

// Generation returns the generation's id.
func (s *State) Generation() ids.Generation { return s.gen }

// Attempt returns the number of the current or last attempt.
func (s *State) Attempt() uint32 { return s.attempt }

// Next returns the index of the next token, which is the count of tokens delivered.
func (s *State) Next() uint32 { return s.next }

// Ended reports whether the end mark was accepted.
func (s *State) Ended() bool { return s.ended }

// Begin starts the next attempt and returns its number.
//
// Concurrent attempts would each offer the same index, and the caller could receive a mixture of two answers. The previous
// attempt must therefore be fenced first; from then on all its frames are Late.
func (s *State) Begin() (uint32, error) {
	if s.ended {
		return 0, ErrEnded
	}
	if s.fenced != s.attempt {
		return 0, ErrNotFenced
	}
	s.attempt++
	return s.attempt, nil
}

// Fence makes all frames of the current and earlier attempts Late.
func (s *State) Fence() { s.fenced = s.attempt }

// Token checks a token frame and advances the position if the token is to be delivered.
func (s *State) Token(g ids.Generation, attempt, index uint32) Verdict {
	if v := s.check(g, attempt); v != Deliver {
		return v
	}
	switch {
	case index < s.next:
		return Repeat
	case index > s.next:
		return Gap
	}
	s.next++
	return Deliver
}

// Finish checks an end mark; count is the target's count of the generation's tokens.
func (s *State) Finish(g ids.Generation, attempt, count uint32) Verdict {
	if v := s.check(g, attempt); v != Deliver {
		return v
	}
	if count != s.next {
		return Short
	}
	s.ended = true
	return End
}

// Current reports whether a frame with these numbers belongs to the attempt that may deliver now.
func (s *State) Current(g ids.Generation, attempt uint32) bool { return s.check(g, attempt) == Deliver }

func (s *State) check(g ids.Generation, attempt uint32) Verdict {
	switch {
	case g != s.gen:
		return Foreign
	case attempt > s.attempt || attempt == 0:
		return Foreign
	case attempt <= s.fenced:
		return Late
	case s.ended:
		return Over
	}
	return Deliver
}
