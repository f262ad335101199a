package stream

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"anvilwick.example/anvilwick/lib/ids"
)

// A repeated, late, foreign or premature frame that gets through shows the caller a token twice, out of order or from another
// answer. With frames of every kind, and attempts fenced and begun at any time, the delivered indexes must be 0, 1, 2, ...
func TestStateDeliversEachIndexOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g, other := ids.From(1, 1), ids.From(1, 2)
		s := New(g)
		_, err := s.Begin()
		must.NoError(t, err)
		want := uint32(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				s.Fence()
				_, err := s.Begin()
				must.NoError(t, err)
			case 1:
				v := s.Token(other, s.Attempt(), s.Next())
				must.Eq(t, Foreign, v)
			default:
				attempt := rapid.Uint32Range(0, s.Attempt()+1).Draw(t, "attempt")
				index := rapid.Uint32Range(0, s.Next()+2).Draw(t, "index")
				v := s.Token(g, attempt, index)
				if v == Deliver {
					must.Eq(t, want, index)
					must.Eq(t, s.Attempt(), attempt)
					want++
				}
			}
			must.Eq(t, want, s.Next())
		}
	})
}

// A second attempt that starts before the first is fenced lets both offer the same index, and the caller receives a mixture.
// Begin must refuse until the first attempt is fenced, and all frames of that attempt are Late from then on.
func TestStateFencesBeforeNextAttempt(t *testing.T) {
	g := ids.From(1, 1)
	s := New(g)
	_, err := s.Begin()
	must.NoError(t, err)
	must.Eq(t, Deliver, s.Token(g, 1, 0))
	_, err = s.Begin()
	must.ErrorIs(t, err, ErrNotFenced)
	s.Fence()
	must.Eq(t, Late, s.Token(g, 1, 1))
	must.Eq(t, Late, s.Finish(g, 1, 1))
	n, err := s.Begin()
	must.NoError(t, err)
	must.Eq(t, 2, n)
	must.Eq(t, Late, s.Token(g, 1, 1))
	must.Eq(t, Deliver, s.Token(g, 2, 1))
}

// An end mark that counts more tokens than were delivered must not hide tokens missing at the end of the answer.
func TestStateFinish(t *testing.T) {
	g := ids.From(1, 1)
	s := New(g)
	_, _ = s.Begin()
	must.Eq(t, Deliver, s.Token(g, 1, 0))
	must.Eq(t, Gap, s.Token(g, 1, 2))
	must.Eq(t, Short, s.Finish(g, 1, 3))
	must.Eq(t, Foreign, s.Finish(g, 2, 1))
	must.Eq(t, End, s.Finish(g, 1, 1))
	must.Eq(t, Over, s.Token(g, 1, 1))
	must.True(t, s.Ended())
	_, err := s.Begin()
	must.ErrorIs(t, err, ErrEnded)
}

func TestStateRestore(t *testing.T) {
	g := ids.From(1, 1)
	s := Restore(g, 3, 40)
	must.Eq(t, Late, s.Token(g, 3, 40))
	n, err := s.Begin()
	must.NoError(t, err)
	must.Eq(t, 4, n)
	must.Eq(t, Deliver, s.Token(g, 4, 40))
}

func TestText(t *testing.T) {
	var x Text
	for _, tok := range []string{"a", "", "bc"} {
		x.Append([]byte(tok))
	}
	must.Eq(t, "abc", x.String())
	must.Eq(t, []string{"", "bc"}, x.Tokens(1))
	must.Eq(t, "bc", string(x.Token(2)))
	must.Eq(t, 3, x.Len())
	must.Eq(t, 3, x.Size())
}

// Equal texts split into different tokens must have different digests, since indexes count tokens.
func TestDigest(t *testing.T) {
	sum := func(tokens ...string) Digest {
		var x Text
		for _, tok := range tokens {
			x.Append([]byte(tok))
		}
		return x.Digest()
	}
	must.Eq(t, sum("a", "b"), sum("a", "b"))
	must.NotEq(t, sum("ab"), sum("a", "b"))
	must.NotEq(t, sum("a", "b"), sum("b", "a"))
	must.NotEq(t, sum("a"), sum("a", ""))
}
