package httpresp

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// MaxHead bounds the status line and header of a response with those of the interim responses before it, in bytes. net/http's own reader has no bound: a
// target that sends bytes without end would use up the process's memory.
const MaxHead = 64 << 10

// maxStatus is the highest status; 101 is none here, since no request asks for another protocol.
const maxStatus = 599

// Errors of heads.
var (
	// ErrMalformed: a head that RFC 9110 or 9112 calls invalid.
	ErrMalformed = errors.New("httpresp: malformed response head")
	// ErrHeadTooLarge: a head that exceeds 64 KiB.
	ErrHeadTooLarge = errors.New("httpresp: response head too large")
)

// head checks the head of a response, and of the interim responses before it, line by line.
type head struct {
	done bool   // it is complete; what follows belongs to the body
	size int    // bytes so far
	part []byte // of a line whose end has not been read

	begun   bool // the status line was read
	http10  bool
	status  int
	fields  bool     // a field was read
	framing bool     // the last field frames the body
	lengths []string // values of Content-Length
	codings []string // values of Transfer-Encoding
}

// check checks the next bytes of a connection. It returns how many of them may be passed on: all, or those before the end of the first faulty line. net/http,
// which has begun to read a response then, does not send the request again by itself.
func (h *head) check(p []byte) (int, error) {
	for n := 0; !h.done; {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			h.part = append(h.part, p[n:]...)
			if h.size+len(h.part) > MaxHead {
				return n, ErrHeadTooLarge
			}
			return len(p), nil
		}
		line := p[n : n+end]
		if len(h.part) > 0 {
			line = append(h.part, line...)
			h.part = h.part[:0]
		}
		if h.size += len(line) + 1; h.size > MaxHead {
			return n, ErrHeadTooLarge
		}
		if err := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); err != nil {
			return n + end, err
		}
		n += end + 1
	}
	h.part = nil
	return len(p), nil
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

func (h *head) checkLine(line []byte) error {
	switch {
	case !h.begun:
		h.begun = true
		return h.checkStatusLine(line)
	case len(line) == 0:
		return h.end()
	case line[0] == ' ' || line[0] == '\t':
		return h.continueField(line)
	}
	return h.checkField(line)
}

// checkStatusLine checks a status line. It may lack the reason phrase and the space before it.
func (h *head) checkStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(version) != len("HTTP/1.1") || !bytes.HasPrefix(version, []byte("HTTP/1.")) || !isDigit(version[len("HTTP/1.")]) {
		return malformed("version %.20q", version)
	}
	status, err := strconv.Atoi(string(code))
	if err != nil || len(code) != 3 || status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return malformed("status %.20q", code)
	}
	if !isValue(reason) {
		return malformed("reason phrase %.20q", reason)
	}
	h.http10, h.status = string(version) == "HTTP/1.0", status
	return nil
}

func (h *head) checkField(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return malformed("field name %.40q", name)
	}
	if !isValue(value) {
		return malformed("value of %.40q", name)
	}
	h.fields, h.framing = true, true
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.lengths = append(h.lengths, string(bytes.Trim(value, " \t")))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.codings = append(h.codings, string(bytes.Trim(value, " \t")))
	default:
		h.framing = false
	}
	return nil
}

// continueField checks a line that continues the value of the field before it. That is obsolete, but a reader may take it for a space.
func (h *head) continueField(line []byte) error {
	switch {
	case !h.fields:
		return malformed("space before the first field")
	case !isValue(line):
		return malformed("value in several lines")
	case h.framing:
		return malformed("length or transfer coding in several lines")
	}
	return nil
}

// end checks what frames the body. After an interim response another head follows.
func (h *head) end() error {
	if err := h.checkFraming(); err != nil {
		return err
	}
	if h.status >= http.StatusOK {
		h.done = true
		return nil
	}
	*h = head{size: h.size, part: h.part}
	return nil
}

// checkFraming checks what frames the body. A length that is stated several times counts as one, and that of no body may be stated as 0.
func (h *head) checkFraming() error {
	for _, l := range h.lengths {
		if _, err := strconv.ParseUint(l, 10, 63); err != nil || l != h.lengths[0] {
			return malformed("lengths %.60q", h.lengths)
		}
	}
	bodiless := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case len(h.codings) > 0 && (len(h.codings) > 1 || !strings.EqualFold(h.codings[0], "chunked")):
		return malformed("transfer codings %.60q", h.codings)
	case len(h.codings) > 0 && len(h.lengths) > 0:
		return malformed("a transfer coding and a length")
	case len(h.codings) > 0 && h.http10:
		return malformed("a transfer coding in HTTP/1.0")
	case bodiless && (len(h.codings) > 0 || len(h.lengths) > 0 && strings.Trim(h.lengths[0], "0") != ""):
		return malformed("a body of a response with status %d", h.status)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isToken reports whether s may be the name of a field.
func isToken(s []byte) bool {
	for _, c := range s {
		if !isDigit(c) && (c < 'A' || c > 'Z') && (c < 'a' || c > 'z') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(s) > 0
}

// isValue reports whether s may be a value of a field or a reason phrase: it holds no control byte but tabs.
func isValue(s []byte) bool {
	for _, c := range s {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
