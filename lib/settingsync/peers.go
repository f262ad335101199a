package settingsync

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"

	"anvilwick.example/anvilwick/lib/ctxtime"
	"anvilwick.example/anvilwick/lib/meshpb"
)

// peerCheckInterval is the time between checks for a newer revision at a peer.
const peerCheckInterval = 250 * time.Millisecond

// peerRevisions holds the revisions that peers last reported.
type peerRevisions struct {
	revisions  map[string]uint64
	aheadSince time.Time // when a peer was first ahead of the highest revision seen here; zero: no peer is ahead
}

// SetPeerRevisions replaces the peers' revisions, by instance, with those in their latest heartbeats.
func (s *Sync) SetPeerRevisions(revisions map[string]uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.revisions = maps.Clone(revisions)
}

// peerLoop fetches revisions that peers have and the table did not deliver. Normally the table is faster and cheaper,
// because it stores deltas. While the store is down, peers are the only source: an instance replaced meanwhile gets its
// settings from them.
func (s *Sync) peerLoop(ctx context.Context) {
	for {
		if instance, ok := s.pickNewerPeer(time.Now()); ok {
			s.fetch(ctx, instance)
		}
		if !ctxtime.Sleep(ctx, withJitter(peerCheckInterval)) {
			return
		}
	}
}

// pickNewerPeer returns a random peer among those with the highest revision, if that is above the highest seen here and
// the table had PeerDelay to deliver it. An instance without active settings does not wait.
func (s *Sync) pickNewerPeer(now time.Time) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, holders := s.peers.highest()
	if highest <= s.seen.revision {
		s.peers.aheadSince = time.Time{}
		return "", false
	}
	if s.peers.aheadSince.IsZero() {
		s.peers.aheadSince = now
	}
	if s.active != nil && now.Sub(s.peers.aheadSince) < s.cfg.PeerDelay {
		return "", false
	}
	return holders[rand.IntN(len(holders))], true
}

// highest returns the highest revision of all peers, and the peers that have it.
func (v *peerRevisions) highest() (uint64, []string) {
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
		reportFetchError(instance, err)
		return
	}
	s.observeBody(body, "peer "+instance)
}

// awaitSources delays the first swap until both table and peers were read and no peer is ahead. A replaced instance may
// first read a lagging table replica while its peers have a newer revision, or first hear from peers while the table has
// a newer revision that its predecessor already had in force. Activating the older one would undo an accepted change on
// this instance. The wait is bounded: StartGrace for peers, which may not exist, and TableGrace for a table that may be
// down, counted from the first contact with peers.
func (s *Sync) awaitSources(ctx context.Context) bool {
	if s.cfg.Peers == nil {
		return true
	}
	deadline := time.Now().Add(s.cfg.StartGrace)
	peersSeen := false
	for time.Now().Before(deadline) {
		peers, table := s.sourcesReady()
		if peers && table {
			break
		}
		if peers && !peersSeen {
			peersSeen = true
			deadline = earlierOf(deadline, time.Now().Add(s.cfg.TableGrace))
		}
		if !ctxtime.Sleep(ctx, peerCheckInterval/10) {
			return false
		}
	}
	return ctx.Err() == nil
}

func earlierOf(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sourcesReady reports whether peers reported revisions and none is ahead, and whether the table was read.
func (s *Sync) sourcesReady() (peers, table bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, _ := s.peers.highest()
	return highest > 0 && highest <= s.seen.revision, s.tableRead
}

// OfferStream is a settings stream between two instances.
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
