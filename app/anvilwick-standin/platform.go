package main

import (
	"flag"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"anvilwick.example/anvilwick/lib/standin/platform"
)

func platformCommand() *ffcli.Command {
	fs := flag.NewFlagSet("platform", flag.ContinueOnError)
	var cfg platform.Config
	addr := fs.String("addr", "127.0.0.1:0", "address to listen on, IP:port; port 0 picks one")
	list := fs.String("instances", "", "JSON file with the initial instance list")
	fs.Float64Var(&cfg.WritesPerSec, "writes-per-sec", 300, "limit of transactions")
	fs.Float64Var(&cfg.ReadsPerSec, "reads-per-sec", 2000, "limit of reads")
	fs.DurationVar(&cfg.ListLag, "list-lag", 2*time.Second, "lag of the instance list")
	fs.Float64Var(&cfg.WeightsPerSec, "weights-per-sec", 1, "limit of transfers started from the weight store")
	fs.DurationVar(&cfg.AnswerDelay, "answer-delay", 0, "service time of every request")
	fs.Uint64Var(&cfg.Seed, "seed", 1, "seed of random faults")
	return newCommand(fs, "the platform: table, object store, instance list, weight store", func() (server, error) {
		return platform.Start(*addr, *list, cfg)
	})
}
