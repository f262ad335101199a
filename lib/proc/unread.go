package proc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Further layout of sock_diag(7) messages, in bytes, and states of sockets.
const (
	diagState       = syscall.NLMSG_HDRLEN + 1
	diagReceived    = syscall.NLMSG_HDRLEN + 56 // bytes that have been received and not read
	stateEstablish  = 1
	stateCloseWait  = 8
	stateListen     = 10
	stateTimeWait   = 6
	diagReplyBuffer = 256 << 10
	// holdingStates are the states of sockets that a process may have. Tens of thousands may wait for their time on a busy machine, and a dump of them
	// takes tens of milliseconds.
	holdingStates = allStates &^ (1 << stateTimeWait)
)

// socket is an IPv4 TCP socket of the machine as the kernel describes it.
type socket struct {
	state    byte
	port     uint16
	addr     [4]byte
	received uint32 // bytes
	inode    uint32 // 0: no process has it
}

// UnreadBytes returns the bytes that the kernel has received on the IPv4 TCP connections of a process and that it has not read, with those of
// connections that it has not accepted yet.
func UnreadBytes(pid int) (int64, error) {
	own, err := socketInodes(pid)
	if err != nil {
		return 0, err
	}
	all, err := shared.get(time.Now())
	if err != nil {
		return 0, err
	}
	listening := make(map[uint16][][4]byte)
	for _, s := range all {
		if s.state == stateListen && own[s.inode] {
			listening[s.port] = append(listening[s.port], s.addr)
		}
	}
	total := int64(0)
	for _, s := range all {
		if s.state != stateListen && (own[s.inode] || s.awaitsAccept(listening[s.port])) {
			total += int64(s.received)
		}
	}
	return total, nil
}

// awaitsAccept reports whether a connection waits to be accepted at one of the listening addresses of its port.
func (s socket) awaitsAccept(listening [][4]byte) bool {
	if s.inode != 0 || s.state != stateEstablish && s.state != stateCloseWait {
		return false
	}
	for _, addr := range listening {
		if addr == s.addr || addr == [4]byte{} {
			return true
		}
	}
	return false
}

// socketInodes returns the inodes of a process's sockets.
func socketInodes(pid int) (map[uint32]bool, error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	f, err := os.Open(dir)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	names, err := f.Readdirnames(-1)
	if err != nil {
		return nil, err
	}
	own := make(map[uint32]bool)
	for _, name := range names {
		link, err := os.Readlink(dir + "/" + name)
		if err != nil {
			continue // it has just been closed
		}
		text, ok := strings.CutPrefix(link, "socket:[")
		if !ok {
			continue
		}
		if n, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); err == nil {
			own[uint32(n)] = true
		}
	}
	return own, nil
}

// dumpAge is the age up to which a dump of the machine's sockets is used again: all processes that are watched share it.
const dumpAge = unreadInterval * 9 / 10

// sharedDump is the last dump of the machine's sockets. It is safe for concurrent use.
type sharedDump struct {
	mu   sync.Mutex
	at   time.Time
	list []socket
}

var shared sharedDump

// get returns the sockets as of dumpAge ago at most. Callers must not change them.
func (d *sharedDump) get(now time.Time) ([]socket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.at) < dumpAge {
		return d.list, nil
	}
	list, err := sockets()
	if err != nil {
		return nil, err
	}
	d.at, d.list = now, list
	return list, nil
}

// sockets returns the IPv4 TCP sockets of the machine.
func sockets() ([]socket, error) {
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return nil, fmt.Errorf("proc: sock_diag: %w", err)
	}
	defer func() { _ = syscall.Close(fd) }()
	request := diagMessage(syscall.NLM_F_REQUEST|syscall.NLM_F_DUMP, holdingStates)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("proc: sock_diag: %w", err)
	}
	var all []socket
	buf := make([]byte, diagReplyBuffer)
	for {
		n, _, err := syscall.Recvfrom(fd, buf, 0)
		if err != nil {
			return nil, fmt.Errorf("proc: sock_diag: %w", err)
		}
		var done bool
		if all, done, err = appendSockets(all, buf[:n]); done || err != nil {
			return all, err
		}
	}
}

var errDump = errors.New("proc: sock_diag: the kernel does not list its sockets")

// appendSockets appends the sockets of a part of the kernel's reply; done reports its end.
func appendSockets(all []socket, reply []byte) (_ []socket, done bool, err error) {
	for len(reply) >= syscall.NLMSG_HDRLEN {
		size := int(binary.NativeEndian.Uint32(reply))
		if size < syscall.NLMSG_HDRLEN || size > len(reply) {
			return all, true, errDump
		}
		switch kind := binary.NativeEndian.Uint16(reply[4:]); {
		case kind == syscall.NLMSG_DONE:
			return all, true, nil
		case kind != sockDiagByFamily || size < diagAnswerInode+4:
			return all, true, errDump
		}
		all = append(all, socket{
			state: reply[diagState], port: binary.BigEndian.Uint16(reply[diagSourcePort:]), addr: [4]byte(reply[diagReplySource:]),
			received: binary.NativeEndian.Uint32(reply[diagReceived:]), inode: binary.NativeEndian.Uint32(reply[diagAnswerInode:]),
		})
		reply = reply[min(len(reply), (size+syscall.NLMSG_ALIGNTO-1)&^(syscall.NLMSG_ALIGNTO-1)):]
	}
	return all, false, nil
}
