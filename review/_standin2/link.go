package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// link is a machine's link to the workers: an HTTP proxy (CONNECT) that the machine's process uses for all of its connections to workers. It
// records which attempts pass over it.
type link struct {
	machine string
	addr    string
	onPass  func(machine, id, path string)

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(ip, machine string, onPass func(machine, id, path string)) (*link, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	l := &link{machine: machine, addr: ln.Addr().String(), onPass: onPass, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// setCut partitions the machine from all workers, or ends that. Open channels are reset, and new ones refused.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if cut {
		for c := range l.conns {
			reset(c)
		}
	}
}

func (l *link) add(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) drop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

func (l *link) serve(c net.Conn) {
	defer c.Close()
	rd := bufio.NewReader(c)
	req, err := http.ReadRequest(rd)
	if err != nil || req.Method != http.MethodConnect {
		return
	}
	if !l.add(c) {
		_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer l.drop(c)
	up, err := net.Dial("tcp", req.Host)
	if err != nil {
		_, _ = io.WriteString(c, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
		return
	}
	defer up.Close()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
		return
	}
	go func() {
		if _, err := io.Copy(c, up); err != nil {
			reset(c)
			return
		}
		_ = c.Close()
	}()
	b := make([]byte, 32<<10)
	for {
		n, err := rd.Read(b)
		if n > 0 {
			l.note(string(b[:n]))
			if _, werr := up.Write(b[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// note records the attempt whose head begins in a part of the data. The process writes the head of a small request at once.
func (l *link) note(data string) {
	line, rest, ok := strings.Cut(data, "\r\n")
	if !ok || !strings.HasSuffix(line, " HTTP/1.1") {
		return
	}
	path := strings.Fields(line)[1]
	for h := range strings.SplitSeq(rest, "\r\n") {
		if name, v, ok := strings.Cut(h, ": "); ok && strings.EqualFold(name, "Attempt-Id") {
			l.onPass(l.machine, v, path)
		}
	}
}
