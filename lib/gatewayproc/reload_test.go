package gatewayproc

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/retry"
	"anvilwick.example/anvilwick/lib/tunnel"
)

// Operators change the settings file and send SIGHUP, whose default action would end the process with all of its streams. The
// file must be read again and its bounds apply from then on; an unreadable file changes nothing.
func TestHangupReloadsSettings(t *testing.T) {
	answers := make(chan struct {
		cfg Config
		err error
	}, 2)
	read := make(chan struct{}, 2)
	p := &Process{
		fleet: fleet.New("z"), retryBudget: retry.NewInstanceBudget(0, 10, 10*time.Second), tunnels: tunnel.NewClient(nil, "a", "z", nil),
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.site.Reload = func() (Config, error) {
		select {
		case a := <-answers:
			read <- struct{}{}
			return a.cfg, a.err
		case <-ctx.Done():
			return Config{}, ctx.Err()
		}
	}
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, syscall.SIGHUP) // so that a signal sent too early does not end this test
	defer signal.Stop(caught)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.reloadOnHangup(ctx, caught)
	}()
	defer func() {
		cancel()
		<-done
	}()
	hangup := func(cfg Config, err error) {
		answers <- struct {
			cfg Config
			err error
		}{cfg, err}
		for {
			must.NoError(t, syscall.Kill(syscall.Getpid(), syscall.SIGHUP))
			select {
			case <-read:
				return
			case <-time.After(50 * time.Millisecond): // the process was not listening yet
			}
		}
	}
	hangup(Config{}, errors.New("no such file"))
	must.Eq(t, 7, p.retryBudget.Remaining(time.Now(), "s"))
	hangup(Config{RetryFloor: 100}, nil)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && p.retryBudget.Remaining(time.Now(), "s") != 70; {
		time.Sleep(time.Millisecond)
	}
	must.Eq(t, 70, p.retryBudget.Remaining(time.Now(), "s"))
}
