package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"anvilwick.example/anvilwick/lib/fleet"
	"anvilwick.example/anvilwick/lib/targetdial"
	"anvilwick.example/anvilwick/lib/tunnel"
	"anvilwick.example/anvilwick/lib/wirehttp"
)

// aliveWatch is how long a target must keep a connection open after it broke off a call to count as alive. An address may accept connections although its
// target has died: a listener is closed last, or a forwarder accepts for it.
const aliveWatch = 400 * time.Millisecond

// contactPoll is the interval of checks whether anything arrives from other targets.
const contactPoll = 5 * time.Millisecond

// errOwnLink means that this instance can't distinguish a dead target from its own lost link.
var errOwnLink = errors.New("gateway: the own link may be lost")

var errClosedAgain = errors.New("gateway: the target accepted a connection and closed it")

// provesDeath reports whether the error of checkDeath shows that the target's process has ended. A target that is silent may be cut off, frozen or
// busy: its runs have not crashed it, as far as anybody knows.
func provesDeath(err error) bool {
	if errors.Is(err, errOwnLink) || errors.Is(err, targetdial.ErrLinkLost) && !errors.Is(err, tunnel.ErrUnreachable) {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, errClosedAgain) {
		return true
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// lastWordsTime is how long after a target's death what it sent before may still arrive.
const lastWordsTime = 50 * time.Millisecond

// checkDeath returns an error if a target that broke off a call has died. The calls that it broke off at the same time share one check.
func (g *Gateway) checkDeath(target fleet.Info) error {
	_, err, _ := g.deathChecks.Do(fmt.Sprint(target.ID, "/", target.Born), func() (any, error) {
		return nil, g.watchTarget(target)
	})
	return err
}

func (g *Gateway) watchTarget(target fleet.Info) error {
	broke := time.Now()
	conn, err := g.dialAgain(target)
	if errors.Is(err, syscall.ECONNREFUSED) && !g.reachesOthers(target, time.Now()) {
		// A lost link refuses connections as a dead target does. A peer may reach the target by now, or know that it does not.
		if conn, err = g.dialAgain(target); err != nil && !errors.Is(err, tunnel.ErrUnreachable) {
			err = errors.Join(errOwnLink, err)
		}
	}
	if err != nil {
		return err
	}
	defer conn.Close()
	if conn.StaysOpen(aliveWatch) {
		return g.replaced(target)
	}
	switch err := g.openByPeer(target); {
	case err == nil:
		return g.replaced(target)
	case !isDirect(conn) && !errors.Is(err, tunnel.ErrUnreachable) && !errors.Is(err, errClosedAgain):
		return errors.Join(errOwnLink, err) // the peer may have closed the first one
	}
	if g.Fleet.LastContact(target.ID).After(broke.Add(lastWordsTime)) {
		return g.replaced(target) // it closes connections, and answers on others
	}
	return errClosedAgain
}

func (g *Gateway) dialAgain(target fleet.Info) (*wirehttp.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	return g.Pool.Dial(ctx, target.Addr)
}

// probedOthers is the number of other targets that are tried when one refuses a connection.
const probedOthers = 3

// reachesOthers reports whether anything arrives from other targets over this instance's own links after a time. It tries some, and waits.
func (g *Gateway) reachesOthers(target fleet.Info, since time.Time) bool {
	if g.Links == nil {
		return true
	}
	for _, other := range g.Fleet.Others(target.ID, probedOthers) {
		go g.Links.Probe(other.Addr, 0)
	}
	for end := since.Add(aliveWatch); time.Now().Before(end); time.Sleep(contactPoll) {
		if g.Links.ContactSince(since) {
			return true
		}
	}
	return false
}

// openByPeer returns an error unless a target keeps a connection open that a peer carries: then this instance's own link to it resets connections.
func (g *Gateway) openByPeer(target fleet.Info) error {
	if g.Links == nil {
		return errClosedAgain
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	nc, err := g.Links.DialByPeer(ctx, target.Addr)
	if err != nil {
		return err
	}
	conn := wirehttp.NewConn(nc, target.Addr)
	defer conn.Close()
	if !conn.StaysOpen(aliveWatch) {
		return errClosedAgain
	}
	return nil
}

// replaced returns an error if the list of targets shows that another process has taken a target's place.
func (g *Gateway) replaced(target fleet.Info) error {
	if now, ok := g.Fleet.Info(target.ID); ok && now.Born != target.Born {
		return fmt.Errorf("gateway: the target was started again: born=%d, was born=%d", now.Born, target.Born)
	}
	if next, ok := g.Fleet.Successor(target.ID); ok {
		return fmt.Errorf("gateway: another target has the address: id=%s", next.ID)
	}
	return nil
}
