package main

import (
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/enginemodel"
	"anvilwick.example/anvilwick/lib/standin/engine"
	"anvilwick.example/anvilwick/lib/standin/plain"
)

func engineCommand() *ffcli.Command {
	fs := flag.NewFlagSet("engine", flag.ContinueOnError)
	cfg := engine.Config{Engine: enginemodel.Default()}
	m := &cfg.Engine
	fs.StringVar(&cfg.Addr, "addr", "127.0.0.1:0", "address to listen on, IP:port; port 0 picks one")
	fs.StringVar(&cfg.Model, "model", "planner-70b", "loaded model")
	fs.StringVar(&cfg.ModelVersion, "model-version", "1", "version of the model")
	fs.StringVar(&cfg.Software, "software", "", "version of its software, named in each token; empty: none")
	fs.StringVar(&cfg.Role, "role", "mixed", "mixed, prefill or decode")
	fs.BoolVar(&cfg.Fencing, "fencing", false, "reject commands with an old fencing number")
	fs.BoolVar(&cfg.NoResume, "no-resume", false, "reject requests that start beyond token 0")
	fs.BoolVar(&cfg.Poison, "poison", false, "crash while running a prompt that contains [poison]")
	fs.Uint64Var(&cfg.Incarnation, "incarnation", 0, "reported incarnation; 0: from the clock")
	fs.Uint64Var(&m.Seed, "seed", 1, "seed of the model's random choices")
	fs.DurationVar(&m.StepBase, "step-base", m.StepBase, "time of a decode step with an empty batch")
	fs.DurationVar(&m.StepPerSeq, "step-per-seq", m.StepPerSeq, "time added for each sequence in the batch")
	fs.DurationVar(&m.StepPerContext, "step-per-context", m.StepPerContext, "time added for each token of context")
	fs.DurationVar(&m.StepPerPrefill, "step-per-prefill", m.StepPerPrefill, "time added for each prompt token prefilled")
	fs.IntVar(&m.MaxBatch, "max-batch", m.MaxBatch, "maximum number of sequences in a batch")
	fs.IntVar(&m.KVTokens, "kv-tokens", m.KVTokens, "key-value memory in tokens")
	fs.IntVar(&m.CacheTokens, "cache-tokens", m.CacheTokens, "prefix cache in tokens")
	fs.DurationVar(&m.ReportLag, "report-lag", m.ReportLag, "maximum age of load reports")
	fs.BoolVar(&m.DropPreempted, "drop-preempted", false, "end preempted streams instead of queueing them again")
	fs.Float64Var(&m.IdleWatts, "idle-watts", m.IdleWatts, "power of the idle engine")
	fs.Float64Var(&m.SeqWatts, "seq-watts", m.SeqWatts, "power added for each sequence in the batch")
	return newCommand(fs, "a model engine: lib/engineapi over the model of lib/enginemodel", func() (server, error) {
		return engine.Start(cfg)
	})
}

func plainCommand() *ffcli.Command {
	fs := flag.NewFlagSet("plain", flag.ContinueOnError)
	cfg := plain.Config{}
	fs.StringVar(&cfg.Addr, "addr", "127.0.0.1:0", "address to listen on, IP:port; port 0 picks one")
	fs.StringVar(&cfg.Name, "name", "plain", "name returned in each answer")
	fs.DurationVar(&cfg.Delay, "delay", 5*time.Millisecond, "duration of a call")
	fs.IntVar(&cfg.Capacity, "capacity", 64, "maximum number of concurrent calls; more are refused with 503")
	fs.DurationVar(&cfg.ReportLag, "report-lag", time.Second, "maximum age of load reports")
	return newCommand(fs, "a plain service that counts executions by ID", func() (server, error) {
		return plain.Start(cfg)
	})
}
