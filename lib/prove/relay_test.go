package prove

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// echo serves connections that send back what they get.
func echo(t *testing.T) string {
	t.Helper()
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
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().String()
}

func open(t *testing.T) (*relay, net.Conn) {
	t.Helper()
	r, err := newRelay("link", echo(t))
	must.NoError(t, err)
	t.Cleanup(r.close)
	c, err := net.Dial("tcp", r.addr())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("a"))
	must.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 1))
	must.NoError(t, err)
	return r, c
}

func TestStalledLinkHoldsAndGoesOn(t *testing.T) {
	r, c := open(t)
	r.set(linkStalled)
	_, err := c.Write([]byte("b"))
	must.NoError(t, err)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	must.ErrorContains(t, err, "timeout")
	r.set(linkUp)
	must.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = io.ReadFull(c, make([]byte, 1))
	must.NoError(t, err)
}

// A cut must reach the reader as an error: an orderly end could be taken for the end of a whole answer.
func TestCutLinkResets(t *testing.T) {
	r, c := open(t)
	r.set(linkCut)
	_, err := c.Read(make([]byte, 1))
	must.Error(t, err)
	must.NotEq(t, io.EOF, err)
}
