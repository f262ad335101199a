package proc

import (
	"encoding/binary"
	"fmt"
	"net"
	"os"
	"syscall"
)

// HasSocket reports whether a process has the connected TCP socket with a local and a remote IPv4 address.
func HasSocket(pid int, local, remote net.Addr) (bool, error) {
	inode, err := socketInode(local, remote)
	if err != nil {
		return false, err
	}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	fds, err := os.ReadDir(dir)
	if err != nil {
		return false, err
	}
	want := fmt.Sprintf("socket:[%d]", inode)
	for _, fd := range fds {
		if link, err := os.Readlink(dir + "/" + fd.Name()); err == nil && link == want {
			return true, nil
		}
	}
	return false, nil
}

// Layout of the kernel's sock_diag(7) messages, in bytes, and the numbers that syscall does not define.
const (
	netlinkSockDiag  = 4
	sockDiagByFamily = 20
	diagRequestSize  = syscall.NLMSG_HDRLEN + 56
	diagPorts        = syscall.NLMSG_HDRLEN + 8 // source and destination
	diagSource       = diagPorts + 4
	diagDestination  = diagSource + 16
	diagCookie       = diagDestination + 20
	diagSourcePort   = syscall.NLMSG_HDRLEN + 4 // in replies
	diagReplySource  = diagSourcePort + 4
	diagAnswerInode  = syscall.NLMSG_HDRLEN + 68
	allStates        = 0xffffffff
)

// socketInode asks the kernel for the inode of a socket. The table in /proc/net/tcp takes too long to read on a busy machine.
func socketInode(local, remote net.Addr) (uint32, error) {
	request, err := diagRequest(local, remote)
	if err != nil {
		return 0, err
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, netlinkSockDiag)
	if err != nil {
		return 0, fmt.Errorf("proc: sock_diag: %w", err)
	}
	defer syscall.Close(fd)
	if err := syscall.Sendto(fd, request, 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, fmt.Errorf("proc: sock_diag: %w", err)
	}
	answer := make([]byte, 4<<10)
	n, _, err := syscall.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, fmt.Errorf("proc: sock_diag: %w", err)
	}
	if n < diagAnswerInode+4 || binary.NativeEndian.Uint16(answer[4:]) != sockDiagByFamily {
		return 0, fmt.Errorf("proc: no socket from %v to %v", local, remote)
	}
	return binary.NativeEndian.Uint32(answer[diagAnswerInode:]), nil
}

func diagRequest(local, remote net.Addr) ([]byte, error) {
	from, ok := local.(*net.TCPAddr)
	to, ok2 := remote.(*net.TCPAddr)
	if !ok || !ok2 || from.IP.To4() == nil || to.IP.To4() == nil {
		return nil, fmt.Errorf("proc: no IPv4 addresses: %v, %v", local, remote)
	}
	b := diagMessage(syscall.NLM_F_REQUEST, allStates)
	binary.BigEndian.PutUint16(b[diagPorts:], uint16(from.Port))
	binary.BigEndian.PutUint16(b[diagPorts+2:], uint16(to.Port))
	copy(b[diagSource:], from.IP.To4())
	copy(b[diagDestination:], to.IP.To4())
	for i := range 8 {
		b[diagCookie+i] = 0xff // no cookie
	}
	return b, nil
}

// diagMessage returns a request for IPv4 TCP sockets in some states.
func diagMessage(flags uint16, states uint32) []byte {
	b := make([]byte, diagRequestSize)
	binary.NativeEndian.PutUint32(b, diagRequestSize)
	binary.NativeEndian.PutUint16(b[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(b[6:], flags)
	b[syscall.NLMSG_HDRLEN] = syscall.AF_INET
	b[syscall.NLMSG_HDRLEN+1] = syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(b[syscall.NLMSG_HDRLEN+4:], states)
	return b
}
