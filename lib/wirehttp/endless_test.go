package wirehttp

import (
	"bufio"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// endlessWays are the heads and bodies that a faulty target sends without end: what comes first, and what is repeated until the caller closes.
var endlessWays = map[string]struct{ first, repeated string }{
	"status line":       {"HTTP/1.1 200 ", "O"},
	"no HTTP":           {"", "no such protocol "},
	"zeros":             {"", "\x00"},
	"header value":      {"HTTP/1.1 200 OK\r\nId: a\r\nX: ", "x"},
	"header lines":      {"HTTP/1.1 200 OK\r\nId: a\r\n", "X-%d: x\r\n"},
	"continued lines":   {"HTTP/1.1 200 OK\r\nId: a\r\nX: x\r\n", " x\r\n"},
	"empty lines":       {"", "\r\n"},
	"interim responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"other's body":      {"HTTP/1.1 200 OK\r\nId: b\r\n\r\n", "x"},
	"other's chunks":    {"HTTP/1.1 200 OK\r\nId: b\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"},
	"body":              {"HTTP/1.1 200 OK\r\nId: a\r\n\r\n", "x"},
	"chunk extension":   {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	"chunk length":      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer":           {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-%d: x\r\n"},
}

// repeat writes s to c until that fails, and returns the bytes written. %d in s is replaced by a number.
func repeat(c net.Conn, s string) (written int) {
	var b strings.Builder
	for i := 0; ; i++ {
		b.Reset()
		for b.Len() < 32<<10 {
			if strings.Contains(s, "%d") {
				fmt.Fprintf(&b, s, i)
				i++
			} else {
				b.WriteString(s)
			}
		}
		n, err := c.Write([]byte(b.String()))
		written += n
		if err != nil {
			return written
		}
	}
}

// Guards against one target that ends the process: its bytes come without end, in a head or in a body, and are all kept.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const maxTaken, maxHeap = 32 << 20, 16 << 20 // bytes
	for name, way := range endlessWays {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
				if readRequest(t, rd) == nil {
					return
				}
				write(c, way.first)
				taken <- repeat(c, way.repeated)
			})
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			p := NewPool(nil)
			begun := time.Now()
			_, err := exchange(t, p, addr, "a", "")
			must.Error(t, err)
			must.Less(t, 4*time.Second, time.Since(begun))
			runtime.ReadMemStats(&after)
			must.Less(t, maxHeap, int64(after.HeapSys)-int64(before.HeapSys))
			must.Less(t, maxTaken, <-taken)
		})
	}
}

// Guards against a sound head that is refused: the bound holds for heads only, and for each anew.
func TestLargeHeadAndLargerBodyAreRead(t *testing.T) {
	value := strings.Repeat("x", httpresp.MaxHead-1000)
	body := strings.Repeat("y", 4*httpresp.MaxHead)
	addr := startTarget(t, func(c net.Conn, rd *bufio.Reader) {
		for readRequest(t, rd) != nil {
			write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", value, len(body), body))
		}
	})
	p := NewPool(nil)
	for range 3 {
		got, err := exchange(t, p, addr, "a", "")
		must.NoError(t, err)
		must.True(t, got == body)
	}
	must.Eq(t, 1, p.Dials())
}
