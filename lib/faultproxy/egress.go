package faultproxy

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// Partition is how an Egress cuts its process off from everything that it reaches through it.
type Partition uint8

const (
	NoPartition     Partition = iota
	PartitionHangs            // open connections carry nothing, new ones get no answer
	PartitionResets           // open connections are reset, new ones refused
	PartitionClosed           // open connections go on, new ones are refused
)

var partitionNames = [...]string{"none", "hangs", "resets", "closed"}

// String returns the name used in reports.
func (p Partition) String() string { return partitionNames[p] }

// Egress is an HTTP proxy (method CONNECT) for the outgoing connections of one process, which it can cut off from all of them.
type Egress struct {
	proxy     *Proxy // handles the connections once they are open
	partition Partition
}

// NewEgress listens on a free loopback address.
func NewEgress(name string) (*Egress, error) {
	p, err := listen(name)
	if err != nil {
		return nil, err
	}
	e := &Egress{proxy: p}
	go p.accept(e.serve)
	return e, nil
}

// Addr returns the address on which the proxy listens.
func (e *Egress) Addr() string { return e.proxy.Addr() }

// Close stops the proxy and resets its connections.
func (e *Egress) Close() { e.proxy.Close() }

// Set changes the partition. Connections that hang go on when it ends.
func (e *Egress) Set(p Partition) {
	e.proxy.mu.Lock()
	e.partition = p
	e.proxy.mu.Unlock()
	switch p {
	case PartitionHangs:
		e.proxy.Set(Stalled)
	case PartitionResets:
		e.proxy.Set(Cut)
	default:
		e.proxy.Set(Up)
	}
}

// Opened reports whether the proxy has opened a connection, named by its local address, that is still open.
func (e *Egress) Opened(local string) bool { return e.proxy.OriginOf(local) != "" }

func (e *Egress) current() Partition {
	e.proxy.mu.Lock()
	defer e.proxy.mu.Unlock()
	return e.partition
}

func (e *Egress) serve(client net.Conn) {
	in := bufio.NewReader(client)
	addr, err := readConnect(in)
	if err != nil {
		reset(client)
		return
	}
	switch e.current() {
	case PartitionHangs:
		hold(client)
		return
	case PartitionResets, PartitionClosed:
		refuse(client)
		return
	}
	server, err := net.Dial("tcp", addr)
	if err != nil {
		refuse(client)
		return
	}
	if _, err := fmt.Fprint(client, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		reset(server)
		return
	}
	e.proxy.join(client, server)
}

// readConnect reads the request for a connection. Nothing may follow it before the answer.
func readConnect(in *bufio.Reader) (addr string, err error) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return "", err
	}
	if req.Method != http.MethodConnect || in.Buffered() > 0 {
		return "", errors.New("faultproxy: no CONNECT")
	}
	return req.Host, nil
}

func refuse(client net.Conn) {
	_, _ = fmt.Fprint(client, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
	_ = client.Close()
}

// holdLimit bounds how long an unanswered connection is kept.
const holdLimit = 10 * time.Second

// hold leaves a connection unanswered until its client gives up.
func hold(client net.Conn) {
	_ = client.SetReadDeadline(time.Now().Add(holdLimit))
	_, _ = client.Read(make([]byte, 1))
	_ = client.Close()
}
