// Package sockbuf bounds what the kernel receives on connections ahead of their reader.
//
// Bytes that were received and not read count towards the memory of a process on platforms that limit it. By default the kernel takes 128 KiB
// and more for each connection, whatever their number.
package sockbuf

import "syscall"

// TargetBytes is the receive buffer of a connection to a target. With what the kernel takes besides it is enough for 100 Mbit/s over 2 ms.
const TargetBytes = 16 << 10

// Control returns the Control hook of a net.Dialer or net.ListenConfig whose connections receive about a number of bytes ahead of their reader: the
// kernel takes up to twice as many. Connections that are accepted have the buffer of their listener.
func Control(bytes int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error { return setReceive(c, bytes) }
}

// SetReceive sets the receive buffer of connections that a listener accepts from now on.
func SetReceive(c syscall.Conn, bytes int) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return setReceive(raw, bytes)
}

// setReceive sets the size of a receive buffer. A system that refuses keeps its own size, which is no error.
func setReceive(raw syscall.RawConn, bytes int) error {
	return raw.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
}
