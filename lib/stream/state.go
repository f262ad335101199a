// Package stream keeps the promise of one token stream: each token once, in order, from one generation.
//
// State is pure: it sees the numbers on each frame and answers whether the token may be delivered. It holds no text
// and does no I/O, so that it can be driven by randomised tests.
package stream

import (
	"errors"

	"anvilwick.example/anvilwick/lib/ids"
)

// Verdict is what State makes of a frame.
type Verdict uint8

// The verdicts.
const (
	Deliver Verdict = iota + 1 // the next token: hand it on
	Repeat                     // an index already delivered: drop
	Late                       // of an earlier, fenced attempt: drop
	Foreign                    // of another generation, or of an attempt never started: drop
	Gap                        // an index beyond the next: the attempt has failed
	End                        // the end mark, and it counts exactly the tokens delivered
	Short                      // an end mark that counts other than was delivered: the attempt has failed
	Over                       // the generation has ended: drop
)

var verdictNames = [...]string{"", "deliver", "repeat", "late", "foreign", "gap", "end", "short", "over"}

// String returns the verdict as metrics label it.
func (v Verdict) String() string { return verdictNames[v] }

// Drop reports whether the frame is ignored and the attempt goes on.
func (v Verdict) Drop() bool { return v == Repeat || v == Late || v == Foreign || v == Over }

// Failed reports whether the frame shows that the attempt can't give the rest.
func (v Verdict) Failed() bool { return v == Gap || v == Short }

// Errors of Begin.
var (
	ErrNotFenced = errors.New("the attempt before is not fenced")
	ErrEnded     = errors.New("the generation has ended")
)

// State is the position of one generation. It is not safe for concurrent use.
type State struct {
	gen     ids.Generation
	attempt uint32 // current or last attempt; 0: none yet
	fenced  uint32 // frames of attempts up to here are late
	next    uint32 // index of the next token
	ended   bool
}

// New returns the State of a generation of which nothing ran.
func New(g ids.Generation) *State { return &State{gen: g} }

// Restore returns the State of a generation of which attempts up to attempt ran elsewhere and delivered next tokens.
// Those attempts count as fenced.
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
// Two attempts at once would each offer the same index, and the caller could see a mixture of two answers. The one
// before must therefore be fenced first; from then on its frames are Late whatever they carry.
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

// Fence makes every frame of the current attempt and of those before it late.
func (s *State) Fence() { s.fenced = s.attempt }

// Token judges a token frame, and moves on when it is delivered.
func (s *State) Token(g ids.Generation, attempt, index uint32) Verdict {
	if v := s.judge(g, attempt); v != Deliver {
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

// Finish judges an end mark; count is the total of tokens that the target says the generation has.
func (s *State) Finish(g ids.Generation, attempt, count uint32) Verdict {
	if v := s.judge(g, attempt); v != Deliver {
		return v
	}
	if count != s.next {
		return Short
	}
	s.ended = true
	return End
}

// Current reports whether a frame with these numbers is of the attempt that may now deliver.
func (s *State) Current(g ids.Generation, attempt uint32) bool { return s.judge(g, attempt) == Deliver }

func (s *State) judge(g ids.Generation, attempt uint32) Verdict {
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
