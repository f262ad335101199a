package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a proxy that turns a target's reset into an ordinary end, and so makes a part of an answer look whole: the copy to the target meets the reset, and
// that from it an end.
func TestResetDuringUploadIsForwardedAsReset(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.ReadFull(c, make([]byte, 1<<10))
				_, _ = io.WriteString(c, "part")
				time.Sleep(10 * time.Millisecond)
				reset(c)
			}()
		}
	}()
	p, err := New("link", ln.Addr().String())
	must.NoError(t, err)
	t.Cleanup(p.Close)
	for range 30 {
		c, err := net.Dial("tcp", p.Addr())
		must.NoError(t, err)
		must.NoError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
		for range 64 { // fewer bytes than the links hold, more than that to the target
			if _, err = c.Write(make([]byte, 64<<10)); err != nil {
				break
			}
		}
		if err == nil { // else the reset was met here
			_, err = io.Copy(io.Discard, c)
			must.Error(t, err)
		}
		_ = c.Close()
	}
}

// Guards against an ordinary end that becomes a reset, where the client has closed its side before.
func TestEndAfterHalfCloseIsForwarded(t *testing.T) {
	_, c := open(t)
	for range 30 {
		half, err := net.Dial("tcp", c.RemoteAddr().String())
		must.NoError(t, err)
		_, err = half.Write([]byte("echoed"))
		must.NoError(t, err)
		must.NoError(t, half.(*net.TCPConn).CloseWrite())
		got, err := io.ReadAll(half)
		must.NoError(t, err)
		must.Eq(t, "echoed", string(got))
		_ = half.Close()
	}
}
