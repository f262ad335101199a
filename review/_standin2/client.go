package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a consumer.
type request struct {
	id, host, path string
	deadline       time.Duration
	key            string
	body           []byte
	uplink         int // bytes a second at which the body is sent; 0: at once
	headers        string
}

// outcome is what the consumer saw of an attempt.
type outcome struct {
	status  int // 0: the channel ended without an answer
	body    string
	seal    string
	err     error
	kept    bool // the request went over a channel that had carried another
	written bool // the whole request was written
}

// consumer sends one request at a time over a kept channel to one machine.
type consumer struct {
	addr string
	conn net.Conn
	rd   *bufio.Reader
	used bool
}

func (c *consumer) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn, c.rd, c.used = nil, nil, false
}

// connect opens the channel unless it is open. Consumers allow one second for it.
func (c *consumer) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.rd, c.used = conn, bufio.NewReader(conn), false
	return nil
}

// do sends a request and reads the whole answer.
func (c *consumer) do(q request) (o outcome) {
	if o.err = c.connect(); o.err != nil {
		return o
	}
	o.kept = c.used
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.key != "" {
		head += "X-Api-Key: " + q.key + "\r\n"
	}
	head += q.headers
	head += fmt.Sprintf("Content-Length: %d\r\n\r\n", len(q.body))
	if o.err = c.write([]byte(head), q); o.err != nil {
		c.close()
		return o
	}
	o.written = true
	resp, err := http.ReadResponse(c.rd, &http.Request{Method: http.MethodPost})
	if err != nil {
		o.err = err
		c.close()
		return o
	}
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		c.close()
		return o
	}
	o.status, o.body, o.seal = resp.StatusCode, strings.TrimSpace(string(b)), resp.Header.Get("Response-Seal")
	c.used = true
	if resp.Close {
		c.close()
	}
	return o
}

// writeChunk is the part of a body that is written at a time when the uplink is limited.
const writeChunk = 16 << 10

func (c *consumer) write(head []byte, q request) error {
	if q.uplink == 0 {
		_, err := c.conn.Write(append(head, q.body...))
		return err
	}
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	pause := time.Duration(float64(writeChunk) / float64(q.uplink) * float64(time.Second))
	for at := 0; at < len(q.body); at += writeChunk {
		if _, err := c.conn.Write(q.body[at:min(at+writeChunk, len(q.body))]); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}
