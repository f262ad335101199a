package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Marks that tests put into prompts.
const (
	markLength = "[len="    // [len=200]: the answer has 200 tokens
	markPoison = "[poison]" // the engine dies while running this prompt, if Config.Poison is set
)

// Parameters of the answer length where the prompt doesn't set one.
const (
	medianLength = 120
	sigmaLength  = 0.9
	maxLength    = 8000
)

// TokenText returns token i of the answer to a prompt within a generation. Its parts identify the prompt, the generation
// and the index, so that tests can check a whole answer token by token.
func TokenText(prompt, generation string, i int) string {
	return fmt.Sprintf(" %08x-%04x-%d", uint32(xxhash.Sum64String(prompt)), uint16(xxhash.Sum64String(generation)), i)
}

// Answer returns the text of an answer of n tokens.
func Answer(prompt, generation string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(TokenText(prompt, generation, i))
	}
	return b.String()
}

// CheckAnswer checks the text of a whole answer of n tokens to a prompt and returns the first error: a token of another
// prompt, a change of generation or of software, a gap, a duplicate or a missing end. n < 0 accepts any length.
func CheckAnswer(prompt, text string, n int) error {
	tokens := strings.Fields(text)
	if n >= 0 && len(tokens) != n {
		return fmt.Errorf("the answer has %d tokens, want %d", len(tokens), n)
	}
	want := fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt)))
	generation, software := "", ""
	for i, tok := range tokens {
		part := strings.Split(tok, "-")
		if len(part) == 3 {
			part = append(part, "")
		}
		if len(part) != 4 {
			return fmt.Errorf("token %d reads %q", i, tok)
		}
		if i == 0 {
			software = part[3]
		}
		if generation == "" {
			generation = part[1]
		}
		switch {
		case part[0] != want:
			return fmt.Errorf("token %d belongs to another prompt: %q", i, tok)
		case part[1] != generation:
			return fmt.Errorf("token %d belongs to another generation: %q", i, tok)
		case part[3] != software:
			return fmt.Errorf("token %d was made by software %q, the first by %q", i, part[3], software)
		case part[2] != strconv.Itoa(i):
			return fmt.Errorf("token %d has index %s", i, part[2])
		}
	}
	return nil
}

// AnswerLength returns the number of tokens of the answer to a prompt: the length set by the prompt, or a heavy-tailed draw
// that depends on the prompt alone, so that all engines agree on it.
func AnswerLength(prompt string) int {
	if n, ok := fixedLength(prompt); ok {
		return n
	}
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(prompt), 1))
	n := int(medianLength * math.Exp(sigmaLength*rng.NormFloat64()))
	return min(max(n, 1), maxLength)
}

func fixedLength(prompt string) (int, bool) {
	_, rest, found := strings.Cut(prompt, markLength)
	if !found {
		return 0, false
	}
	digits, _, closed := strings.Cut(rest, "]")
	n, err := strconv.Atoi(digits)
	if !closed || err != nil || n < 1 {
		return 0, false
	}
	return n, true
}
