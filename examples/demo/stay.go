package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"anvilwick.example/anvilwick/lib/localsite"
)

const (
	startLimit = 30 * time.Second
	stopLimit  = 30 * time.Second
)

// runUntilInterrupted starts the site and runs it until ctx is done.
func runUntilInterrupted(ctx context.Context, bin string, logs io.Writer) error {
	sctx, cancel := context.WithTimeout(ctx, startLimit)
	site, err := startSite(sctx, bin, logs)
	cancel()
	if err != nil {
		return err
	}
	defer site.Close()
	printCommands(site, bin)
	<-ctx.Done()
	fmt.Println("demo: stopping all processes by SIGTERM")
	tctx, tcancel := context.WithTimeout(context.WithoutCancel(ctx), stopLimit)
	defer tcancel()
	return site.Stop(tctx)
}

// printCommands prints commands to try; [len=60] makes the stand-in engine answer with 60 tokens.
func printCommands(site *localsite.Site, bin string) {
	entry := site.Entries[0]
	key := localsite.WorkspaceKey(workspace)
	fmt.Printf(`The site runs. In another terminal:

  # a streamed answer
  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model": "%s", "stream": true, "messages": [{"role": "user", "content": "Which streets first? [len=60]"}]}'

  # a plain call
  curl http://%s/dispatch/status?id=bin-day -H 'Authorization: Bearer %s'

  # what operators see
  export ANVILWICK_OPERATOR_TOKEN=%s ANVILWICK_PLATFORM=%s
  export ANVILWICK_OPS=%s
  %s/anvilwick-ctl status -ops %s
  %s/anvilwick-ctl targets
  %s/anvilwick-ctl drain engine-1
  %s/anvilwick-ctl settings show

Stop it with Ctrl-C.
`, entry.Addr, key, model, entry.Addr, key, localsite.OperatorToken, site.Platform.Addr, opsAddrs(site.Controls), bin, opsAddrs(site.Entries), bin, bin, bin)
}

// opsAddrs returns the operators' addresses of the nodes, separated by commas.
func opsAddrs(nodes []*localsite.Node) string {
	var addrs []string
	for _, n := range nodes {
		addrs = append(addrs, n.OpsAddr)
	}
	return strings.Join(addrs, ",")
}
