package retry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds how long a target is skipped: an implausible Retry-After must not disable it permanently.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter returns the delay that a response's Retry-After header requests: seconds, possibly fractional, or a date,
// which is relative to the response's Date header if it has one. It is 0 when the header is missing, invalid or in the past.
func ParseRetryAfter(h http.Header, now time.Time) time.Duration {
	value := strings.TrimSpace(h.Get("Retry-After"))
	if s, err := strconv.ParseFloat(value, 64); err == nil {
		if !(s > 0) { // also rejects NaN
			return 0
		}
		return time.Duration(min(s, MaxRetryAfter.Seconds()) * float64(time.Second))
	}
	date, err := http.ParseTime(value)
	if err != nil {
		return 0
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	return min(max(0, date.Sub(now)), MaxRetryAfter)
}
