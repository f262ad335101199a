package engineapi

import "github.com/cespare/xxhash/v2"

// Sizes that engines and entries agree on for prompt prefixes and counts of tokens.
const (
	BytesPerToken     = 4    // estimate of a prompt's tokens from its bytes
	FirstPrefixTokens = 64   // the shortest prefix that is hashed; each longer one doubles
	maxPrefixes       = 12   // so the longest is 64 << 11 tokens
	turnSeparator     = "\n" // between role, content and turns of a chat
)

// PromptText returns the text that tokens and prefixes are counted on: the prompt, or the chat's turns in order.
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

// CountTokens estimates the tokens of a text; at least 1.
func CountTokens(text string) int {
	return max(1, (len(text)+BytesPerToken-1)/BytesPerToken)
}

// PrefixHashes returns the hashes of growing prefixes of a prompt, shortest first: 64 tokens, 128, 256 and so on.
func PrefixHashes(text string) []uint64 {
	var out []uint64
	n := FirstPrefixTokens * BytesPerToken
	for len(text) >= n && len(out) < maxPrefixes {
		out = append(out, xxhash.Sum64String(text[:n]))
		n *= 2
	}
	return out
}

// PrefixTokens returns the tokens that hash i of PrefixHashes covers.
func PrefixTokens(i int) int { return FirstPrefixTokens << i }
