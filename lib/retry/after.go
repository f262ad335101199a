package retry

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// MaxRetryAfter bounds the time for which a target is left alone: a senseless one must not take it away for good.
const MaxRetryAfter = 10 * time.Minute

// ParseRetryAfter reads when the target of an answer wants to be asked again: seconds, also with a fraction, or a date, which is taken from the
// answer's own. It is 0 when none can be read, or it is over.
func ParseRetryAfter(h http.Header, now time.Time) time.Duration {
	v := strings.TrimSpace(h.Get("Retry-After"))
	if s, err := strconv.ParseFloat(v, 64); err == nil {
		if !(s > 0) { // not a number, too
			return 0
		}
		return time.Duration(min(s, MaxRetryAfter.Seconds()) * float64(time.Second))
	}
	at, err := http.ParseTime(v)
	if err != nil {
		return 0
	}
	if date, err := http.ParseTime(h.Get("Date")); err == nil {
		now = date
	}
	return min(max(0, at.Sub(now)), MaxRetryAfter)
}
