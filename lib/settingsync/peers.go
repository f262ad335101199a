package settingsync

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/meshpb"
)

// peerTick is the time between looks at what peers have.
const peerTick = 250 * time.Millisecond

// peerView is what peers say they have.
type peerView struct {
	revisions map[string]uint64
	behind    time.Time // when a peer was first ahead since the last revision learnt; zero: none is
}

// SetPeerRevisions tells which revisions the peers have, by instance, as their heartbeats say. Instances left out are forgotten.
func (s *Sync) SetPeerRevisions(revisions map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.revisions = maps.Clone(revisions)
}

// peerLoop fetches what peers have and the table did not bring. In the ordinary case the table is quicker and
// cheaper, as it carries differences. When the store is down, peers are the only source: an instance replaced
// meanwhile gets its settings from them.
func (s *Sync) peerLoop(ctx context.Context) {
	for {
		if instance, ok := s.ahead(time.Now()); ok {
			s.fetch(ctx, instance)
		}
		if !pause(ctx, jittered(peerTick)) {
			return
		}
	}
}

// ahead picks one of the peers that have the highest revision, when that is over the one seen and the table had its
// time to bring it. An instance that has nothing in force yet asks at once.
func (s *Sync) ahead(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, holders := s.peers.highest()
	if highest <= s.seen.revision {
		s.peers.behind = time.Time{}
		return "", false
	}
	if s.peers.behind.IsZero() {
		s.peers.behind = now
	}
	if s.held != nil && now.Sub(s.peers.behind) < s.cfg.PeerDelay {
		return "", false
	}
	return holders[rand.IntN(len(holders))], true
}

// highest returns the highest revision of any peer, and the peers that have it.
func (v *peerView) highest() (uint64, []string) {
	var highest uint64
	var holders []string
	for instance, revision := range v.revisions {
		if revision > highest {
			highest = revision
			holders = holders[:0]
		}
		if revision == highest {
			holders = append(holders, instance)
		}
	}
	return highest, holders
}

func (s *Sync) fetch(ctx context.Context, instance string) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.PeerTimeout)
	defer cancel()
	body, err := s.cfg.Peers.FetchSettings(ctx, instance, s.Offer())
	if err != nil {
		fetchFailed(instance, err)
		return
	}
	s.learnBody(body, "peer "+instance)
}

// awaitSources holds the first swap back for a moment. An instance that has just been replaced may hear first from a
// table replica that lags while its peers hold a newer revision, or first from peers while the table has a newer one
// that the instance before it had in force already. Put into force at once, the older one would undo an accepted
// change there. It goes on as soon as both were heard and neither is ahead. It waits for peers, which there may not be,
// no longer than StartGrace, and for a table that may be down no longer than TableGrace once peers were heard.
func (s *Sync) awaitSources(ctx context.Context) bool {
	if s.cfg.Peers == nil {
		return true
	}
	deadline := time.Now().Add(s.cfg.StartGrace)
	peersHeard := false
	for time.Now().Before(deadline) {
		peers, table := s.level()
		if peers && table {
			break
		}
		if peers && !peersHeard {
			peersHeard = true
			deadline = earlier(deadline, time.Now().Add(s.cfg.TableGrace))
		}
		if !pause(ctx, peerTick/10) {
			return false
		}
	}
	return ctx.Err() == nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// level reports whether peers were heard and none is ahead, and whether the table was heard.
func (s *Sync) level() (peers, table bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, _ := s.peers.highest()
	return highest > 0 && highest <= s.seen.revision, s.heard
}

// OfferStream is one stream between two instances.
type OfferStream interface {
	Read(*meshpb.SettingsOffer) error
	Write(*meshpb.SettingsBody) error
}

// Serve answers the offers of one peer until the stream ends.
func (s *Sync) Serve(c OfferStream) error {
	for {
		var offer meshpb.SettingsOffer
		if err := c.Read(&offer); err != nil {
			return err
		}
		if err := c.Write(s.Answer(&offer)); err != nil {
			return err
		}
	}
}
