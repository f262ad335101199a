package faultproxy

import (
	"fmt"
	"sync"
)

// Set holds the proxies of a site by link name.
type Set struct {
	mu     sync.Mutex
	byName map[string]*Proxy
}

// Add inserts a proxy into the link to addr and returns the proxy's address.
func (s *Set) Add(link, addr string) (string, error) {
	p, err := New(link, addr)
	if err != nil {
		return "", err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = map[string]*Proxy{}
	}
	s.byName[link] = p
	return p.Addr(), nil
}

// Get returns the proxy of a link.
func (s *Set) Get(link string) (*Proxy, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, ok := s.byName[link]
	if !ok {
		return nil, fmt.Errorf("faultproxy: no link %q", link)
	}
	return p, nil
}

// Set changes the mode of the proxy of a link.
func (s *Set) Set(link string, m Mode) error {
	r, err := s.Get(link)
	if err != nil {
		return err
	}
	r.Set(m)
	return nil
}

// Close closes all proxies.
func (s *Set) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.byName {
		p.Close()
	}
}
