package explain

// reasons explains each reason that a gateway logs and where to look; docs/OPERATIONS.md has the full table.
var reasons = map[string]string{
	"no_settings":      "the instance had no settings yet: see its start, and feed_failed of settings",
	"no_route":         "no route in the current settings matches host and path",
	"no_key":           "the key is not in the current settings",
	"body_too_long":    "the body exceeds the limit in the settings",
	"body_cut":         "the caller's body was truncated",
	"content_poisoned": "the same content has crashed several targets",
	"content_settling": "the same content may have crashed a target just now",
	"no_target":        "no target of the service was ready, or the connections to each were used up",
	"targets_limited":  "each target is backing off or its rate limit leaves this instance nothing now: see passed_over and target_limit",
	"targets_resting":  "each target has refused this instance's requests for some time: see target_rests",
	"targets_cold":     "all targets have just started and get few requests",
	"evacuated":        "the targets' failure domains are being evacuated",
	"out_of_region":    "no target is in the regions that the request is restricted to",
	"no_room":          "no engine had free capacity in time",
	"no_time":          "the deadline passed before the request was sent",
	"unreachable":      "no connection could be made to several targets in turn",
	"target_refused":   "the target reported that it did not run the request, and no retry was allowed",
	"target_not_run":   "the target reported that it did not run the request, and no retry was allowed",
	"target_failed":    "the target closed the connection or did not respond, and the request may not be retried, or its retries were used up",
	"target_broken":    "the target's response was truncated: see whether the target left or crashed",
	"target_failure":   "the target responded with an error, and the request may not be retried, or its retries were used up",
	"time_limit":       "the route's time limit or the caller's deadline was exceeded",
	"copy_lost":        "the run was stopped to be moved, and its copy was not found",
	"caller_or_limit":  "the caller disconnected, or the time limit was exceeded",
}
