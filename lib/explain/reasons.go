package explain

// reasons says what to look at for each reason that a gateway gives; docs/OPERATIONS.md has the whole table.
var reasons = map[string]string{
	"no_settings":      "the instance had no settings yet: see its start, and feed_failed of settings",
	"no_route":         "no route of the settings in force matches host and path",
	"no_key":           "the settings in force hold no such key",
	"body_too_long":    "the body is over the settings' limit",
	"body_cut":         "the caller's body ended early",
	"content_poisoned": "the same content has ended several targets",
	"content_settling": "the same content may have ended a target just now",
	"no_target":        "no target of the service was ready, or connections to each were used up",
	"targets_limited":  "each target has named a limit that leaves this instance nothing now, or rests: see passed_over and target_limit",
	"targets_resting":  "each target has turned this instance away for a time: see target_rests",
	"targets_cold":     "all targets have just started and get few requests",
	"evacuated":        "the targets' failure domains are emptied",
	"out_of_region":    "no target lies in the regions that the request is bound to",
	"no_room":          "no engine had room in time",
	"no_time":          "nothing was sent before the time was over",
	"unreachable":      "no connection could be made to several targets in turn",
	"target_refused":   "the target says that it did not run it, and no repeat was allowed",
	"target_not_run":   "the target says that it did not run it, and no repeat was allowed",
	"target_failed":    "the target broke off or gave no answer, and the kind of request may not be repeated, or repeats were used up",
	"target_broken":    "the target broke off in the middle: see whether it left or died",
	"target_failure":   "the target failed it, and the kind of request may not be repeated, or repeats were used up",
	"time_limit":       "the route's limit or the caller's time was over",
	"copy_lost":        "the run was stopped to move and its copy can't be found",
	"caller_or_limit":  "the caller left, or the time was over",
}
