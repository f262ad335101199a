package relay

import (
	"fmt"
	"sync"
)

// Set holds the relays of a site by link name.
type Set struct {
	mu     sync.Mutex
	byName map[string]*Relay
}

// Add inserts a relay into the link to addr and returns the relay's address.
func (s *Set) Add(link, addr string) (string, error) {
	r, err := New(link, addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]*Relay{}
	}
	s.byName[link] = r
	return r.Addr(), nil
}

// Get returns the relay of a link.
func (s *Set) Get(link string) (*Relay, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byName[link]
	if !ok {
		return nil, fmt.Errorf("relay: no link %q", link)
	}
	return r, nil
}

// Set changes the mode of the relay of a link.
func (s *Set) Set(link string, m Mode) error {
	r, err := s.Get(link)
	if err != nil {
		return err
	}
	r.Set(m)
	return nil
}

// Close closes all relays.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.byName {
		r.Close()
	}
}
