package proc

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// forkMu is held while addresses are probed and while a process is started. Until it calls exec, a forked child holds all
// open files of this process. Forked during a probe, it would keep the probed port listening for a moment after the probe
// was closed, and the process meant to use the port would find it taken.
var forkMu sync.Mutex

// Addrs returns n loopback addresses (IP:port) that were just free, all on one random IP address of 127/8.
//
// A port on 127.0.0.1 could become the source port of any connection between being found and being used, and the process
// would then fail to start. Outgoing connections use 127.0.0.1, so a port on another address stays free.
func Addrs(n int) ([]string, error) {
	forkMu.Lock()
	defer forkMu.Unlock()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	addrs := make([]string, 0, n)
	for range n {
		ln, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return nil, fmt.Errorf("find a free port: %w", err)
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}
