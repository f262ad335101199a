package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	eventPause = 100 * time.Millisecond // between two events of a stream
	maxOutput  = 944                    // tokens that a consumer asks for
)

// attempt is one consumer attempt at a stream.
type attempt struct {
	id       string
	at       *gateway
	status   int // 0: no answer
	events   int // id of the last event that came
	foreign  int // events that were written for another request
	complete bool
	err      error
}

// stream sends one attempt and reads events until the stream ends, breaks or ctx is done.
func (s *site) stream(ctx context.Context, at *gateway, path, id string, left time.Duration, headers map[string]string) *attempt {
	a := &attempt{id: id, at: at}
	d := net.Dialer{Timeout: time.Second}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: d.DialContext}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at.front()+path, strings.NewReader("prompt of "+path))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": id, "X-Api-Key": key, "Deadline-Ms": fmt.Sprint(left.Milliseconds()), "Model": "m", "Token-Usage": fmt.Sprintf("%d,%d", promptTokens, maxOutput),
		"Prompt-Prefix": fmt.Sprintf("f0:79,%x:%d", path[len(path)-6:], promptTokens-79),
	} {
		req.Header.Set(name, value)
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := c.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if a.status != http.StatusOK {
		return a
	}
	var last int
	rd := bufio.NewScanner(resp.Body)
	for rd.Scan() {
		line := rd.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			_, a.err = fmt.Sscanf(line, "id: %d", &last)
		case strings.HasPrefix(line, "data: ") && !strings.HasSuffix(line, " of "+id):
			a.foreign++
		case line == "" && last > 0:
			a.events = last
		}
	}
	a.err = rd.Err()
	a.complete = a.err == nil
	return a
}
