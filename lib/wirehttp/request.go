package wirehttp

import (
	"bytes"
	"maps"
	"net/http"
	"strconv"
)

// Request is an outgoing call. Content-Length is always sent for a body.
//
// Several requests may share a Header and Omit: a request that is forwarded needs no copy of what its caller sent. Replace sets headers
// of one request.
type Request struct {
	Method string
	Target string // request target as in the request line
	Host   string
	Header http.Header     // never changed
	Omit   map[string]bool // canonical names of headers that are not sent; never changed
	Body   []byte

	replaced http.Header // sent besides; Omit has their names
}

// Replace makes the request carry a header with one value in place of those in Header.
func (r *Request) Replace(name, value string) {
	name = http.CanonicalHeaderKey(name)
	if !r.Omit[name] {
		r.Omit = withName(r.Omit, name)
	}
	if r.replaced == nil {
		r.replaced = make(http.Header)
	}
	r.replaced[name] = []string{value}
}

// withName returns a copy of a set of names with one more.
func withName(set map[string]bool, name string) map[string]bool {
	out := make(map[string]bool, len(set)+1)
	maps.Copy(out, set)
	out[name] = true
	return out
}

// encode returns the request line and header.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512)
	b.WriteString(r.Method)
	b.WriteByte(' ')
	b.WriteString(r.Target)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(r.Host)
	b.WriteString("\r\n")
	// Writes to a bytes.Buffer can't fail.
	_ = r.Header.WriteSubset(&b, r.Omit)
	_ = r.replaced.Write(&b)
	if len(r.Body) > 0 || hasBody(r.Method) {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(r.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

func hasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}
