package httpresp

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/standin/raw"
)

// read reads a response as clients do.
func read(r io.Reader) (string, error) {
	in := NewReader(r)
	head, err := in.Begin(nil)
	if err != nil {
		return "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(in), &http.Request{Method: http.MethodGet})
	if err != nil {
		return "", cmp.Or(in.Fault(), err)
	}
	complete := head.Complete()
	body, err := io.ReadAll(resp.Body)
	if !complete {
		return "", errors.New("head not complete")
	}
	return string(body), err
}

// deliveries are the ways in which a text may arrive.
var deliveries = map[string]func(text string) io.Reader{
	"at once":   func(text string) io.Reader { return strings.NewReader(text) },
	"by bytes":  func(text string) io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
	"by halves": func(text string) io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
}

// Guards against answers that are none: net/http passes on statuses, names of fields and contradictions about the body's end that no response may have.
func TestMalformedHeadsAreErrors(t *testing.T) {
	for name, text := range raw.MalformedAnswers("Id: a\r\n") {
		for way, deliver := range deliveries {
			_, err := read(deliver(text))
			must.ErrorIs(t, err, ErrMalformed, must.Sprintf("%s, %s: %q", name, way, text))
		}
	}
}

// Guards against sound answers that are refused because they are unusual.
func TestUnusualHeadsAreRead(t *testing.T) {
	for name, text := range raw.UnusualAnswers("Id: a\r\n") {
		for way, deliver := range deliveries {
			body, err := read(deliver(text))
			must.NoError(t, err, must.Sprintf("%s, %s: %q", name, way, text))
			must.Eq(t, !strings.HasPrefix(name, "204"), body == "body", must.Sprint(name))
		}
	}
}

// Guards against a fault in the head of an interim response, or in the one after it, that is not seen.
func TestInterimHeadsAreChecked(t *testing.T) {
	const interim, final = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	var h head
	n, err := h.check([]byte(interim + interim + final))
	must.NoError(t, err)
	must.Eq(t, len(interim+interim+final), n)
	must.True(t, h.done)
	for _, text := range []string{
		strings.Replace(interim, "Link", "Li nk", 1) + final,
		interim + strings.Replace(final, "200", "000", 1),
		strings.Replace(interim, "Link: x", "Content-Length: 4", 1) + final,
	} {
		h = head{}
		_, err = h.check([]byte(text))
		must.ErrorIs(t, err, ErrMalformed, must.Sprint(text))
	}
}

// Guards against a body that is taken for a head, and against a fault that ends after one Read.
func TestOnlyHeadsAreChecked(t *testing.T) {
	text := "HTTP/1.1 200 OK\r\n\r\n\x00 no : head\r\n\r\n"
	body, err := read(strings.NewReader(text))
	must.NoError(t, err)
	must.Eq(t, "\x00 no : head\r\n\r\n", body)
	in := NewReader(strings.NewReader("HTTP/1.1 000 OK\r\n" + text))
	_, err = in.Begin(nil)
	must.NoError(t, err)
	got, err := io.ReadAll(in)
	must.ErrorIs(t, err, ErrMalformed)
	must.Eq(t, "HTTP/1.1 000 OK\r", string(got)) // no line that ends
	_, err = in.Begin(nil)
	must.ErrorIs(t, err, ErrMalformed)
}

// Guards against bytes that belong to a response and were read before it was requested.
func TestUnusedBytesAreChecked(t *testing.T) {
	for status, want := range map[string]error{"200": nil, "000": ErrMalformed} {
		in := NewReader(strings.NewReader(""))
		head, err := in.Begin([]byte("HTTP/1.1 " + status + " OK\r\n\r\n"))
		must.ErrorIs(t, err, want)
		must.Eq(t, want == nil, head.Complete())
	}
}
