package stream

// Text holds the tokens delivered so far, in order, so that another target can be asked for the rest and a caller can resume
// its stream. It takes the size of the text plus four bytes per token. It is not safe for concurrent use.
type Text struct {
	buf  []byte
	ends []uint32
	sum  Digest
}

// Append adds one token.
func (t *Text) Append(token []byte) {
	t.buf = append(t.buf, token...)
	t.ends = append(t.ends, uint32(len(t.buf)))
	t.sum = t.sum.Add(token)
}

// Digest returns the digest of all tokens.
func (t *Text) Digest() Digest { return t.sum }

// Len returns the count of tokens.
func (t *Text) Len() int { return len(t.ends) }

// Size returns the length of the text in bytes.
func (t *Text) Size() int { return len(t.buf) }

// Token returns token i, valid until the next Append.
func (t *Text) Token(i int) []byte {
	from := uint32(0)
	if i > 0 {
		from = t.ends[i-1]
	}
	return t.buf[from:t.ends[i]]
}

// Tokens returns a copy of the tokens from index from on.
func (t *Text) Tokens(from int) []string {
	out := make([]string, 0, t.Len()-from)
	for i := from; i < t.Len(); i++ {
		out = append(out, string(t.Token(i)))
	}
	return out
}

// String returns the whole text.
func (t *Text) String() string { return string(t.buf) }
