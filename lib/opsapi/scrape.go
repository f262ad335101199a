package opsapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Scrape reads the metrics of the process whose operator port is addr (IP:port) and calls each with every series,
// including its labels, and its value.
func Scrape(ctx context.Context, addr string, each func(series string, v float64)) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+PathMetrics, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return ReadMetrics(resp.Body, each)
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
