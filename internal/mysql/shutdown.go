package mysql

import (
	"errors"
	"os"
	"time"

	"dewhill/internal/lineproto"
)

// A shutdown has three steps. At its beginning, clients still connect and send commands,
// so all connections are served as before. Once the listener is closed, connections
// without an open command are closed: at once, or after a grace for clients that have just
// connected, or have just prepared the statement that they are about to execute. At the shutdown deadline
// every open statement is answered, and later ones are rejected.

const (
	shutdownLoginGrace   = 500 * time.Millisecond // for the login of a client that has connected
	shutdownCommandGrace = 250 * time.Millisecond // for a command that is expected soon
	shutdownReceiveTime  = time.Second            // for the rest of a command that has begun to arrive
)

// BeginShutdown is called when the process has received SIGTERM. Clients are served until the
// listener is closed.
func (s *Server) BeginShutdown() {}

// StopAccepting must be called once the listener is closed. It closes the connections of
// idle clients; other connections are closed after their response. A client whose command
// has arrived but has not been read yet is not idle.
func (s *Server) StopAccepting() {
	s.notAccepting.Store(true)
	for c := range s.clients {
		c.limitRead()
	}
}

// ReachShutdownDeadline must be called after all open statements were answered, when the
// platform is about to kill the process. Statements that wait for a lease, for a load at
// another front end, or for their turn are answered. Those that still arrive are rejected, and idle connections
// are not waited for.
func (s *Server) ReachShutdownDeadline() {
	s.shutdownDeadlinePassed = true
	s.keyOrder.beginAll()
	if s.Leases != nil {
		s.Leases.ExpireRequests()
	}
}

// Idle reports whether the process may end: no client waits for a response, and unless the
// shutdown deadline has passed, no client is about to send a command.
func (s *Server) Idle() bool {
	if !s.shutdownDeadlinePassed {
		return len(s.clients) == 0
	}
	for c := range s.clients {
		if c.busy || c.receiving.Load() {
			return false
		}
	}
	return true
}

// limitRead limits the time for the client's next input after the listener was closed. It
// may be called from any goroutine. While a statement runs, the limit has no effect.
func (c *client) limitRead() {
	limit := shutdownCommandGrace
	switch {
	case c.receiving.Load() || lineproto.HasUnread(c.stream.conn):
		limit = shutdownReceiveTime
	case !c.loggedIn.Load():
		limit = shutdownLoginGrace
	case !c.expected.Load():
		limit = 0
	}
	_ = c.stream.conn.SetReadDeadline(time.Now().Add(limit))
}

// setLoginDeadline limits the time for the login.
func (c *client) setLoginDeadline() {
	_ = c.stream.conn.SetDeadline(time.Now().Add(loginTimeout))
	if c.server.notAccepting.Load() {
		c.limitRead()
	}
}

// awaitCommand waits until a command begins to arrive. It reports false if the client
// disconnects or sends nothing for too long.
func (c *client) awaitCommand() bool {
	for c.stream.buffer.Buffered() == 0 {
		_ = c.stream.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		if c.server.notAccepting.Load() { // checked after the deadline was set, which StopAccepting sets too
			c.limitRead()
		}
		err := c.stream.buffer.Fill()
		if errors.Is(err, os.ErrDeadlineExceeded) && lineproto.HasUnread(c.stream.conn) {
			continue // a command arrived when the time was over
		}
		if err != nil {
			c.closedIdle = true
			return false
		}
	}
	c.receiving.Store(true)
	return true
}

// readCommand reads a command that has begun to arrive. A client that was idle when the
// listener was closed may have a read deadline that is too short for the rest of it.
func (c *client) readCommand() ([]byte, error) {
	receiveBy := time.Now().Add(shutdownReceiveTime)
	payload, err := c.stream.readPacket()
	for errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(receiveBy) {
		_ = c.stream.conn.SetReadDeadline(receiveBy)
		payload, err = c.stream.readPacket()
	}
	return payload, err
}
