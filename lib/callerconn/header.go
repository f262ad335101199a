package callerconn

import "net/http"

// HeaderBytes returns the size of a header's names and values in bytes.
func HeaderBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// CloneCost returns the memory in bytes that a copy of a header takes at most until it is sent: what it names, and its bytes on their way.
func CloneCost(h http.Header) int64 {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return headLineCost*int64(lines) + headByteCost*int64(HeaderBytes(h))
}
