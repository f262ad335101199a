package opsapi

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"anvilwick.example/anvilwick/lib/httpresp"
)

// Scrape reads the metrics of the process whose operator port is addr (IP:port) and calls each with every series,
// including its labels, and its value.
func Scrape(ctx context.Context, addr string, each func(series string, v float64)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+PathMetrics, nil)
	if err != nil {
		return err
	}
	resp, err := httpresp.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := httpresp.ReadAll(resp.Body, maxReply)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s of %s: %s", PathMetrics, addr, resp.Status)
	}
	return ReadMetrics(bytes.NewReader(body), each)
}

// ReadMetrics parses metrics in the Prometheus text format.
func ReadMetrics(r io.Reader, each func(series string, v float64)) error {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		line := sc.Text()
		at := strings.LastIndexByte(line, ' ') // labels may hold spaces
		if at < 0 || line[0] == '#' {
			continue
		}
		v, err := strconv.ParseFloat(line[at+1:], 64)
		if err != nil {
			return fmt.Errorf("metric %s: %w", line[:at], err)
		}
		each(line[:at], v)
	}
	return sc.Err()
}
