package retry

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Retry-After values as targets send them.
func TestParseRetryAfter(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	date := func(d time.Duration) string { return now.Add(d).UTC().Format(http.TimeFormat) }
	for _, c := range []struct {
		header http.Header
		want   time.Duration
	}{
		{http.Header{}, 0},
		{http.Header{"Retry-After": {"2"}}, 2 * time.Second},
		{http.Header{"Retry-After": {"0.25"}}, 250 * time.Millisecond},
		{http.Header{"Retry-After": {"0"}}, 0},
		{http.Header{"Retry-After": {"-3"}}, 0},
		{http.Header{"Retry-After": {"NaN"}}, 0},
		{http.Header{"Retry-After": {"soon"}}, 0},
		{http.Header{"Retry-After": {"1e300"}}, MaxRetryAfter},
		{http.Header{"Retry-After": {date(3 * time.Second)}}, 3 * time.Second},
		{http.Header{"Retry-After": {date(3 * time.Second)}, "Date": {date(time.Second)}}, 2 * time.Second},
		{http.Header{"Retry-After": {date(24 * time.Hour)}}, MaxRetryAfter},
		{http.Header{"Retry-After": {date(-time.Second)}}, 0},
	} {
		must.Eq(t, c.want, ParseRetryAfter(c.header, now), must.Sprint(c.header))
	}
}
