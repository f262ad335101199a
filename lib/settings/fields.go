package settings

import "time"

const (
	maxCount = 1 << 30
	day      = 24 * time.Hour
)

var kindNames = list(kindName)

var siteFields = []field[Site]{
	required(bind("name", kindName, "", "name of the site", func(s *Site) *string { return &s.Name })),
	required(bind("failure_domains", kindNames, "", "failure domains of the site", func(s *Site) *[]string { return &s.FailureDomains })),
	bind("power_cap", kindWatts, "0W", "cap on the electric power of all targets together; 0W: none", func(s *Site) *float64 { return &s.PowerCapWatts }),
	bind("power_guard", kindWatts, "0W", "part of the cap kept free, because readings lag", func(s *Site) *float64 { return &s.PowerGuardWatts }),
	bind("heartbeat_interval", span(10*time.Millisecond, time.Minute), "500ms", "time between heartbeats of instances", func(s *Site) *time.Duration { return &s.HeartbeatInterval }),
	bind("shard_targets", count("targets", 1, 1024), "32", "targets of one owner at most", func(s *Site) *int { return &s.ShardTargets }),
	bind("store_writes", number("per second", 1, 1e6), "300", "writes that all instances together may make to the platform's table", func(s *Site) *float64 { return &s.StoreWritesPerSec }),
	bind("store_reads", number("per second", 1, 1e6), "2000", "reads that all instances together may make from the platform's table", func(s *Site) *float64 { return &s.StoreReadsPerSec }),
	bind("progress_interval", span(time.Millisecond, time.Minute), "50ms", "time between an entry's progress reports to an owner", func(s *Site) *time.Duration { return &s.ProgressInterval }),
	bind("tick_interval", span(time.Millisecond, time.Second), "10ms", "time between ticks of the scheduler", func(s *Site) *time.Duration { return &s.TickInterval }),
}

var serviceFields = []field[Service]{
	required(bind("kind", oneOf(KindModel, KindPlain), "", "model: generations on model engines; plain: HTTP calls", func(s *Service) *string { return &s.Kind })),
	bind("models", list(kindLabel), "", "model names that callers may ask for; kind model only", func(s *Service) *[]string { return &s.Models }),
	bind("fencing", oneOf(FencingEnforced, FencingIgnored), FencingIgnored, "whether targets refuse orders that carry an old fencing number", func(s *Service) *string { return &s.Fencing }),
	bind("resumes", kindBool, "false", "whether engines resume a stream from a token index", func(s *Service) *bool { return &s.Resumes }),
	bind("idempotent", kindBool, "false", "whether a generation with a key may run more than once; leave false when unsure; kind model only", func(s *Service) *bool { return &s.Idempotent }),
	bind("model", kindLabel, "", "model that its engines are kept at; empty: not managed", func(s *Service) *string { return &s.Model }),
	bind("version", kindLabel, "", "version of model", func(s *Service) *string { return &s.Version }),
	bind("adapters", list(kindLabel), "", "adapters that its engines are kept at", func(s *Service) *[]string { return &s.Adapters }),
}

var targetFields = []field[Target]{
	required(bind("addr", kindAddr, "", "where the target listens", func(t *Target) *string { return &t.Addr })),
	required(bind("failure_domain", kindName, "", "failure domain of the target, one of site.failure_domains", func(t *Target) *string { return &t.FailureDomain })),
	bind("instance", kindName, "", "machine that carries the target", func(t *Target) *string { return &t.Instance }),
	bind("kv_tokens", count("tokens", 0, maxCount), "0", "key-value memory; 0: learnt from load reports", func(t *Target) *int { return &t.KVTokens }),
	bind("max_batch", count("sequences", 0, 65536), "0", "sequences at once; 0: learnt from load reports", func(t *Target) *int { return &t.MaxBatch }),
	bind("idle_power", kindWatts, "0W", "power when nothing runs", func(t *Target) *float64 { return &t.IdleWatts }),
	bind("sequence_power", kindWatts, "0W", "power added by each active sequence", func(t *Target) *float64 { return &t.SeqWatts }),
	bind("draining", kindBool, "false", "no new work", func(t *Target) *bool { return &t.Draining }),
}

var routeFields = []field[Route]{
	required(bind("prefix", kindPath, "", "path prefix; the longest match wins", func(r *Route) *string { return &r.Prefix })),
	bind("methods", list(kindMethod), "", "methods it serves; empty: any", func(r *Route) *[]string { return &r.Methods }),
	bind("idempotent", kindBool, "false", "whether a call may run more than once; leave false when unsure", func(r *Route) *bool { return &r.Idempotent }),
}

var workspaceFields = []field[Workspace]{
	required(bind("keys", list(kindKeyHash), "", "hashes of its bearer tokens", func(w *Workspace) *[][32]byte { return &w.KeyHashes })),
	bind("services", kindNames, "", "services that it may use; empty: all", func(w *Workspace) *[]string { return &w.Services }),
	required(bind("classes", kindNames, "", "classes that it may name; the first is its default", func(w *Workspace) *[]string { return &w.Classes })),
	bind("parent", kindName, "", "workspace whose values under services it inherits", func(w *Workspace) *string { return &w.Parent }),
}

var policyFields = []field[Policy]{
	bind("priority", count("rank", 0, 1000), "50", "higher is served first", func(p *Policy) *int { return &p.Priority }),
	bind("urgent", kindBool, "false", "short work that headroom is kept for", func(p *Policy) *bool { return &p.Urgent }),
	bind("weight", number("share", 0.001, 1e6), "1", "share within a class, relative to other workspaces", func(p *Policy) *float64 { return &p.Weight }),
	bind("max_wait", span(0, 7*day), "30s", "bound on the wait in a queue; what would wait longer is refused", func(p *Policy) *time.Duration { return &p.MaxWait }),
	bind("queue_bound", count("requests", 0, maxCount), "256", "queued requests of a workspace and class; 0: no bound", func(p *Policy) *int { return &p.QueueBound }),
	bind("concurrency", count("requests", 0, maxCount), "0", "requests in progress over all entries; 0: no limit", func(p *Policy) *int { return &p.Concurrency }),
	bind("rate", number("per second", 0, 1e6), "0", "requests accepted over all entries; 0: no limit", func(p *Policy) *float64 { return &p.RatePerSecond }),
	bind("max_tokens", count("tokens", 0, maxCount), "0", "bound on the output of a generation; 0: none", func(p *Policy) *int { return &p.MaxTokens }),
	bind("deadline", span(0, 7*day), "0s", "time for the whole answer; a caller may name less, not more; 0s: none", func(p *Policy) *time.Duration { return &p.Deadline }),
	bind("max_preemptions", count("moves", 0, 1000), "2", "after so many moves a generation is no victim again; 0: it is never moved", func(p *Policy) *int { return &p.MaxPreemptions }),
	bind("memory_risk", number("chance", 0, 1), "0.1", "accepted chance that an engine runs out of memory over the horizon; urgent work is placed by the mean", func(p *Policy) *float64 { return &p.MemoryRisk }),
	bind("max_attempts", count("attempts", 1, 100), "4", "attempts of a request, the first one included", func(p *Policy) *int { return &p.MaxAttempts }),
	bind("retry_budget", number("fraction", 0, 1), "0.1", "retries as a fraction of first attempts", func(p *Policy) *float64 { return &p.RetryBudget }),
	bind("stall_floor", span(time.Millisecond, day), "2s", "a stream without a token for so long is stalled", func(p *Policy) *time.Duration { return &p.StallFloor }),
	bind("max_silence", span(time.Millisecond, 7*day), "5m", "a call without a deadline is given up on a target that sends nothing for so long", func(p *Policy) *time.Duration { return &p.MaxSilence }),
	bind("max_body", kindBytes, "1MiB", "bound on a request's body", func(p *Policy) *int { return &p.MaxBody }),
	bind("slow_reader_buffer", count("tokens", 1, maxCount), "4096", "tokens kept for a caller that reads slowly", func(p *Policy) *int { return &p.SlowReaderBuffer }),
	bind("slow_reader_wait", span(0, day), "10s", "time that a full buffer is borne before the stream is cancelled", func(p *Policy) *time.Duration { return &p.SlowReaderWait }),
}
