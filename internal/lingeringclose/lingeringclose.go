// Package lingeringclose closes a connection without losing the last bytes written
// to it. Closing a connection that has unread input resets it, and the reset may
// overtake the last response. So the write side is closed first, and input is
// discarded until the peer closes as well, for a limited time.
package lingeringclose

import (
	"net"
	"time"
)

// CloseWrite closes the write side of a connection and sets a read deadline of
// linger from now. A connection that does not support half-close is closed.
func CloseWrite(conn net.Conn, linger time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(linger)) // fails only if the connection is closed
	halfCloser, ok := conn.(interface{ CloseWrite() error })
	if !ok {
		_ = conn.Close()
		return
	}
	_ = halfCloser.CloseWrite()
}

// discardBytes is the buffer size of DiscardInput.
const discardBytes = 4 << 10

// DiscardInput reads and discards input until the peer closes, the deadline that
// CloseWrite has set passes, or maxBytes have been read. In each of these cases the
// caller closes the connection next.
func DiscardInput(conn net.Conn, maxBytes int64) {
	buffer := make([]byte, discardBytes)
	for maxBytes > 0 {
		n, err := conn.Read(buffer[:min(discardBytes, maxBytes)])
		if err != nil {
			return
		}
		maxBytes -= int64(n)
	}
}
