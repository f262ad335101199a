package localsite

// Names of links for Config.Via.
func linkToPlatform(from string) string { return "platform of " + from }
func linkToTarget(name string) string   { return "target " + name }
func linkToEntry(control string) string { return "entry of " + control }
func linkOfMesh(entry string) string    { return "mesh of " + entry }
func linkOfCallers(entry string) string { return "callers of " + entry }

// via returns the address by which a link is configured.
func (s *Site) via(link, addr string) string {
	if s.cfg.LinkProxy == nil {
		return addr
	}
	out, err := s.cfg.LinkProxy(link, addr)
	if err != nil && s.err == nil {
		s.err = err
	}
	return out
}
