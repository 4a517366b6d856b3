package lineproto

import (
	"errors"
	"net"
	"syscall"
)

// HasUnread reports whether bytes that have arrived on a connection are still
// unread. On a busy core, input may stay unread for a long time, so callers check
// HasUnread before they close an idle connection. Otherwise a request could be
// lost.
func HasUnread(c net.Conn) bool {
	n, _ := peek(c)
	return n > 0
}

// PeerClosed reports whether the peer has closed a connection and all input before
// the close has been read, or the peer has reset the connection.
func PeerClosed(c net.Conn) bool {
	n, err := peek(c)
	return n == 0 && err == nil || errors.Is(err, syscall.ECONNRESET)
}

// peek returns 1 if a byte can be read now, 0 without an error at the end of the
// stream, and -1 if no input is available or the connection does not support the
// check.
func peek(c net.Conn) (int, error) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return -1, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return -1, err
	}
	n := -1
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return -1, controlErr
	}
	return n, err
}
