package settings

import "time"

const (
	maxCount = 1 << 30
	day      = 24 * time.Hour
)

var kindNames = listKind(kindName)

var siteFields = []field[Site]{
	required(bind("name", kindName, "", "name of the site", func(s *Site) *string { return &s.Name })),
	required(bind("failure_domains", kindNames, "", "failure domains of the site", func(s *Site) *[]string { return &s.FailureDomains })),
	bind("power_cap", kindWatts, "0W", "cap on the electric power of all targets together; 0W: none", func(s *Site) *float64 { return &s.PowerCapWatts }),
	bind("power_guard", kindWatts, "0W", "part of the cap kept free, because readings lag", func(s *Site) *float64 { return &s.PowerGuardWatts }),
	bind("heartbeat_interval", durationKind(10*time.Millisecond, time.Minute), "500ms", "time between heartbeats of instances", func(s *Site) *time.Duration { return &s.HeartbeatInterval }),
	bind("shard_targets", intKind("targets", 1, 1024), "32", "maximum number of targets of one owner", func(s *Site) *int { return &s.ShardTargets }),
	bind("store_writes", floatKind("per second", 1, 1e6), "300", "write rate to the platform's table of all instances together", func(s *Site) *float64 { return &s.StoreWritesPerSec }),
	bind("store_reads", floatKind("per second", 1, 1e6), "2000", "read rate from the platform's table of all instances together", func(s *Site) *float64 { return &s.StoreReadsPerSec }),
	bind("progress_interval", durationKind(time.Millisecond, time.Minute), "50ms", "time between an entry's progress reports to an owner", func(s *Site) *time.Duration { return &s.ProgressInterval }),
	bind("tick_interval", durationKind(time.Millisecond, time.Second), "10ms", "time between ticks of the scheduler", func(s *Site) *time.Duration { return &s.TickInterval }),
}

var serviceFields = []field[Service]{
	required(bind("kind", enumKind(KindModel, KindPlain), "", "model: generations on model engines; plain: HTTP calls", func(s *Service) *string { return &s.Kind })),
	bind("models", listKind(kindLabel), "", "model names that callers may request; kind model only", func(s *Service) *[]string { return &s.Models }),
	bind("fencing", enumKind(FencingEnforced, FencingIgnored), FencingIgnored, "whether targets refuse orders that carry an old fencing number", func(s *Service) *string { return &s.Fencing }),
	bind("resumes", kindBool, "false", "whether engines resume a stream from a token index", func(s *Service) *bool { return &s.Resumes }),
	bind("idempotent", kindBool, "false", "whether a generation with a key may run more than once; leave false when unsure; kind model only", func(s *Service) *bool { return &s.Idempotent }),
	bind("model", kindLabel, "", "model that its engines must run; empty: not managed", func(s *Service) *string { return &s.Model }),
	bind("version", kindLabel, "", "version of the model", func(s *Service) *string { return &s.Version }),
	bind("adapters", listKind(kindLabel), "", "adapters that its engines must load", func(s *Service) *[]string { return &s.Adapters }),
}

var targetFields = []field[Target]{
	required(bind("addr", kindAddr, "", "address on which the target listens", func(t *Target) *string { return &t.Addr })),
	required(bind("failure_domain", kindName, "", "failure domain of the target, one of site.failure_domains", func(t *Target) *string { return &t.FailureDomain })),
	bind("instance", kindName, "", "machine that runs the target", func(t *Target) *string { return &t.Instance }),
	bind("software", kindLabel, "", "version of its software; a stream continues only at a target of the version that began it", func(t *Target) *string { return &t.Software }),
	bind("kv_tokens", intKind("tokens", 0, maxCount), "0", "capacity of the key-value cache; 0: taken from load reports", func(t *Target) *int { return &t.KVTokens }),
	bind("max_batch", intKind("sequences", 0, 65536), "0", "maximum number of concurrent sequences; 0: taken from load reports", func(t *Target) *int { return &t.MaxBatch }),
	bind("idle_power", kindWatts, "0W", "power when idle", func(t *Target) *float64 { return &t.IdleWatts }),
	bind("sequence_power", kindWatts, "0W", "power added by each active sequence", func(t *Target) *float64 { return &t.SeqWatts }),
	bind("draining", kindBool, "false", "drain the target: send it no new work", func(t *Target) *bool { return &t.Draining }),
}

var routeFields = []field[Route]{
	required(bind("prefix", kindPath, "", "path prefix; the longest match wins", func(r *Route) *string { return &r.Prefix })),
	bind("methods", listKind(kindMethod), "", "HTTP methods of the route; empty: any", func(r *Route) *[]string { return &r.Methods }),
	bind("idempotent", kindBool, "false", "whether a call may run more than once; leave false when unsure", func(r *Route) *bool { return &r.Idempotent }),
}

var workspaceFields = []field[Workspace]{
	required(bind("keys", listKind(kindKeyHash), "", "hashes of its bearer tokens", func(w *Workspace) *[][32]byte { return &w.KeyHashes })),
	bind("services", kindNames, "", "services that it may use; empty: all", func(w *Workspace) *[]string { return &w.Services }),
	required(bind("classes", kindNames, "", "classes that its requests may name; the first is its default", func(w *Workspace) *[]string { return &w.Classes })),
	bind("parent", kindName, "", "workspace whose overrides under services it inherits", func(w *Workspace) *string { return &w.Parent }),
}

var policyFields = []field[Policy]{
	bind("priority", intKind("rank", 0, 1000), "50", "higher is served first", func(p *Policy) *int { return &p.Priority }),
	bind("urgent", kindBool, "false", "short work for which capacity is kept in reserve", func(p *Policy) *bool { return &p.Urgent }),
	bind("weight", floatKind("share", 0.001, 1e6), "1", "share within a class, relative to other workspaces", func(p *Policy) *float64 { return &p.Weight }),
	bind("max_wait", durationKind(0, 7*day), "30s", "maximum time in a queue; requests that would wait longer are refused", func(p *Policy) *time.Duration { return &p.MaxWait }),
	bind("queue_bound", intKind("requests", 0, maxCount), "256", "maximum number of queued requests of a workspace and class; 0: no limit", func(p *Policy) *int { return &p.QueueBound }),
	bind("concurrency", intKind("requests", 0, maxCount), "0", "maximum number of requests in progress over all entries; 0: no limit", func(p *Policy) *int { return &p.Concurrency }),
	bind("rate", floatKind("per second", 0, 1e6), "0", "maximum rate of accepted requests over all entries; 0: no limit", func(p *Policy) *float64 { return &p.RatePerSecond }),
	bind("max_tokens", intKind("tokens", 0, maxCount), "0", "maximum output of a generation; 0: no limit", func(p *Policy) *int { return &p.MaxTokens }),
	bind("deadline", durationKind(0, 7*day), "0s", "time limit for the whole answer; a caller may request less, not more; 0s: none", func(p *Policy) *time.Duration { return &p.Deadline }),
	bind("max_preemptions", intKind("moves", 0, 1000), "2", "number of moves after which a generation is not preempted again; 0: it is never moved", func(p *Policy) *int { return &p.MaxPreemptions }),
	bind("memory_risk", floatKind("chance", 0, 1), "0.1", "accepted probability that an engine runs out of memory within the horizon; urgent work is placed by the mean", func(p *Policy) *float64 { return &p.MemoryRisk }),
	bind("max_attempts", intKind("attempts", 1, 100), "4", "maximum number of attempts of a request, including the first", func(p *Policy) *int { return &p.MaxAttempts }),
	bind("retry_budget", floatKind("fraction", 0, 1), "0.1", "retries as a fraction of first attempts", func(p *Policy) *float64 { return &p.RetryBudget }),
	bind("stall_floor", durationKind(time.Millisecond, day), "2s", "minimum time without a token after which a stream counts as stalled", func(p *Policy) *time.Duration { return &p.StallFloor }),
	bind("max_silence", durationKind(time.Millisecond, 7*day), "5m", "time without data from the target after which a call without a deadline is aborted", func(p *Policy) *time.Duration { return &p.MaxSilence }),
	bind("max_body", kindBytes, "1MiB", "maximum size of a request body", func(p *Policy) *int { return &p.MaxBody }),
	bind("slow_reader_buffer", intKind("tokens", 1, maxCount), "4096", "tokens buffered for a caller that reads slowly", func(p *Policy) *int { return &p.SlowReaderBuffer }),
	bind("slow_reader_wait", durationKind(0, day), "10s", "time that the buffer may stay full before the stream is cancelled", func(p *Policy) *time.Duration { return &p.SlowReaderWait }),
}
