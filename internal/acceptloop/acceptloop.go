// Package acceptloop accepts connections for a server until its listener is
// closed.
package acceptloop

import (
	"errors"
	"net"
	"time"
)

// backoff is the delay after a failed accept. Without it, a shortage of
// descriptors or memory would keep a core busy.
const backoff = 10 * time.Millisecond

// Run accepts connections until the listener is closed and calls handle with each
// connection. Run calls failed with every other error and retries after a delay,
// because none of the errors that accept(2) lists means that the listener has
// ended:
//
//   - EMFILE, ENFILE, ENOBUFS, ENOMEM: descriptors or memory are short. The
//     connection stays in the backlog until resources are free again.
//   - ECONNABORTED, EPROTO, EPERM: the connection of one client failed or a
//     firewall rejects it. The next accept may succeed.
//
// handle and failed are called on the caller's goroutine, one at a time.
func Run(listener net.Listener, handle func(net.Conn), failed func(error)) {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			handle(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			failed(err)
			time.Sleep(backoff)
		}
	}
}
