package localsite

// Link names that are passed to Config.LinkProxy.
func platformLink(from string) string   { return "platform of " + from }
func targetLink(name string) string     { return "target " + name }
func controlLink(control string) string { return "entry of " + control }
func meshLink(entry string) string      { return "mesh of " + entry }
func callerLink(entry string) string    { return "callers of " + entry }

// proxiedAddr returns the address to configure for a link: the one that LinkProxy returns, or else addr.
func (s *Site) proxiedAddr(link, addr string) string {
	if s.cfg.LinkProxy == nil {
		return addr
	}
	out, err := s.cfg.LinkProxy(link, addr)
	if err != nil && s.proxyErr == nil {
		s.proxyErr = err
	}
	return out
}
