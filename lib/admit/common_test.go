package admit

import "time"

const (
	service = "engine"
	kv      = 22_000
	// maxRetryAfter is the longest time to stay away that callers keep to.
	maxRetryAfter = 12 * time.Second
)

var start = time.Unix(1_000_000, 0)
