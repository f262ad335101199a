// Package bench measures scheduling policies on overloaded engines in virtual time.
//
// It runs any sched.Policy, unchanged, against the engines of lib/enginemodel with the arrivals of lib/workload. Each message
// between entry, owner and engine takes the deployment's one-way delay; load reports are up to a second old, progress reaches
// the owner in batches every 50 ms, and the policy ticks every 10 ms. Equal seeds give equal figures. The simulation covers
// the queues, the memory and the delays on which decisions depend, and no other part of a cluster.
//
// The figures of a run:
//
//   - offered, completed, refused, lost: requests; lost = offered - completed - refused after the run has drained.
//   - stall_s: over all generations, the time beyond 250 ms of each gap between two tokens, in seconds.
//   - preemptions: by the engines, and by the policy's moves.
//   - itl_p99_ms: 99th percentile of the gaps between tokens, over all gaps, as the entry sees them.
//   - ttft_p95_ms: 95th percentile of the time from arrival at the entry to the first token there.
//   - tokens_per_s: tokens delivered within the window of arrivals, divided by the window.
//   - fairness: Jain's index over workspaces of tokens delivered within the window, relative to each workspace's entitlement:
//     its weighted max-min share of all tokens delivered, and at most what it requested.
//   - urgent_ttft_p95_ms: ttft_p95_ms of the urgent class only.
//   - wait_s: sum over all generations of the time to the first token, in seconds; it shows whether stalls were traded for waits.
//   - over_cap_ticks: ticks at which the true draw of all engines exceeded the cap in force.
//
// A reduction of the power cap is announced powerNotice before it takes effect, as grid operators do.
package bench
