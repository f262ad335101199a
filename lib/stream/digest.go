package stream

// Digest is a hash of a sequence of tokens. A caller that resumes through another entry proves with it which tokens it has:
// an engine that decodes a part again may choose other tokens, and the caller would see a mixture of two answers.
type Digest uint64

// Parameters of the 64-bit FNV-1a hash, and the byte that terminates a token, which never occurs in UTF-8 text.
const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	tokenEnd  = 0xff
)

// Add returns the digest of d's sequence extended by one token.
func (d Digest) Add(token []byte) Digest {
	h := uint64(d) ^ fnvOffset
	for _, c := range token {
		h = (h ^ uint64(c)) * fnvPrime
	}
	h = (h ^ tokenEnd) * fnvPrime
	return Digest(h ^ fnvOffset)
}
