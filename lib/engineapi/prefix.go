package engineapi

import "github.com/cespare/xxhash/v2"

// Constants for prompt prefixes and token counts. Engines and entries must agree on them.
const (
	BytesPerToken     = 4    // estimate of a prompt's bytes per token
	FirstPrefixTokens = 64   // length of the shortest hashed prefix; each further one is twice as long
	maxPrefixes       = 12   // so the longest is 64 << 11 tokens
	turnSeparator     = "\n" // after each role and content of a chat turn
)

// PromptText returns the text on which tokens and prefixes are computed: the prompt, or the chat's turns in order.
func PromptText(r *Request) string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b []byte
	for _, m := range r.Messages {
		b = append(b, m.Role...)
		b = append(b, turnSeparator...)
		b = append(b, m.Content...)
		b = append(b, turnSeparator...)
	}
	return string(b)
}

// CountTokens estimates the number of tokens of a text; at least 1.
func CountTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns the hashes of prefixes of doubling length of a prompt, shortest first: 64 tokens, 128, 256 and so on.
func PrefixHashes(text string) []uint64 {
	var out []uint64
	n := FirstPrefixTokens * BytesPerToken
	for len(text) >= n && len(out) < maxPrefixes {
		out = append(out, xxhash.Sum64String(text[:n]))
		n *= 2
	}
	return out
}

// PrefixTokens returns the number of tokens that hash i of PrefixHashes covers.
func PrefixTokens(i int) int { return FirstPrefixTokens << i }
