package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/wirehttp"
)

func roundTrip(c net.Conn) error {
	if _, err := c.Write([]byte("a")); err != nil {
		return err
	}
	if err := c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err
}

// Each partition does to open and to new connections what its name says, and ends.
func TestEgressPartitions(t *testing.T) {
	for _, p := range []Partition{PartitionHangs, PartitionResets, PartitionClosed} {
		t.Run(p.String(), func(t *testing.T) {
			e, err := NewEgress("targets")
			must.NoError(t, err)
			t.Cleanup(e.Close)
			addr := echo(t)
			dial := func() (net.Conn, error) {
				ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
				defer cancel()
				return wirehttp.DialThrough(e.Addr())(ctx, addr)
			}
			c, err := dial()
			must.NoError(t, err)
			t.Cleanup(func() { _ = c.Close() })
			must.NoError(t, roundTrip(c))
			e.Set(p)
			must.Eq(t, p == PartitionClosed, roundTrip(c) == nil)
			_, err = dial()
			must.Error(t, err)
			must.Eq(t, p != PartitionHangs, errors.Is(err, syscall.ECONNREFUSED))
			e.Set(NoPartition)
			again, err := dial()
			must.NoError(t, err)
			t.Cleanup(func() { _ = again.Close() })
			must.NoError(t, roundTrip(again))
		})
	}
}
