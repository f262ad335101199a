package admit

import "time"

const (
	service = "engine"
	kv      = 22_000
	// maxRetryAfter is the longest retry time that callers respect.
	maxRetryAfter = 12 * time.Second
)

var start = time.Unix(1_000_000, 0)
