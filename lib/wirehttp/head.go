package wirehttp

import (
	"errors"
	"io"
	"net"
)

// maxResponseHead bounds the status line and header of a response, in bytes. http.ReadResponse has no bound of its own: a target that sends bytes
// without end would use up the process's memory.
const maxResponseHead = 64 << 10

// ErrHeadTooLarge reports that the head of a response exceeds 64 KiB.
var ErrHeadTooLarge = errors.New("wirehttp: response head too large")

// headReader reads from a connection, at most a number of bytes while a head is read.
type headReader struct {
	r       io.Reader
	limited bool
	left    int // bytes that may be read while limited
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	if !h.limited {
		return h.r.Read(p)
	}
	if h.left <= 0 {
		return 0, ErrHeadTooLarge
	}
	n, err := h.r.Read(p[:min(len(p), h.left)])
	h.left -= n
	return n, err
}

// setLimited bounds what is read from now on, or ends that. A nil headReader bounds nothing.
func (h *headReader) setLimited(limited bool) {
	if h != nil {
		h.limited, h.left = limited, maxResponseHead
	}
}

func newHeadReader(nc net.Conn) *headReader { return &headReader{r: nc} }
