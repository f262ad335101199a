package capacity

import (
	"context"
	"io"
	"net"
	"time"
)

const loopbackProbe = 300 * time.Millisecond

// MeasureLoopback measures the processor time of one write and the read that it wakes, over loopback in this process, by
// message size. An entry does one read and one write for each token, each with a peer in another process, so this is about
// the lower bound of a token's cost for any program on this machine.
func MeasureLoopback(_ context.Context, r Report) error {
	var cpu []Point
	for _, size := range []int{100, 300, 1000, 3000} {
		spent, err := loopback(size)
		if err != nil {
			return err
		}
		r.point("loopback", "bytes=%d write_and_read_us=%.2f", size, micros(spent))
		cpu = append(cpu, Point{float64(size), micros(spent)})
	}
	r.fit("loopback", "write_and_read_us", "byte", cpu)
	return nil
}

func loopback(size int) (time.Duration, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	from, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		return 0, err
	}
	defer from.Close()
	to, err := ln.Accept()
	if err != nil {
		return 0, err
	}
	defer to.Close()
	got := make(chan error)
	go func() {
		buf := make([]byte, size)
		for {
			_, err := io.ReadFull(to, buf)
			got <- err
			if err != nil {
				return
			}
		}
	}()
	message := make([]byte, size)
	spent := perOp(loopbackProbe, func() {
		_, _ = from.Write(message)
		<-got
	})
	_ = from.Close()
	<-got
	return spent, nil
}
