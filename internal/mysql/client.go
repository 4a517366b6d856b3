package mysql

import (
	"errors"
	"sync/atomic"
	"time"
)

// client is a client's connection, served by a goroutine of its own.
type client struct {
	server        *Server
	stream        *stream
	connectionID  uint32
	connectedAtMS float64
	loggedIn      atomic.Bool

	// Of the connection's goroutine.
	user            string
	database        string
	statements      map[uint32]*preparedStatement
	lastStatementID uint32
	ranStatement    bool // the current command went to the event loop
	overflowed      bool // more came ahead than is buffered: the current answer is the last
	discarded       []byte

	// Of the event loop.
	busy         bool // an answer is owed
	disconnected bool
	requestID    string      // abandoned when the client disconnects; empty: none
	load         *loadRecord // with an id, that the client waits for
}

// serve serves the connection until it ends.
func (c *client) serve(tooMany bool) {
	defer func() {
		c.stream.closeGracefully()
		c.server.loop.Post(func() { delete(c.server.clients, c) })
	}()
	_ = c.stream.conn.SetDeadline(time.Now().Add(loginTimeout))
	if tooMany {
		c.refuse(&Error{codeTooManyConnections, "08004", "Too many connections"})
		return
	}
	if !c.logIn() {
		return
	}
	_ = c.stream.conn.SetDeadline(time.Time{})
	_ = c.stream.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
	for !c.server.shuttingDown.Load() {
		if !c.serveCommand() {
			return
		}
		_ = c.stream.conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
	}
}

// refuse sends a last error.
func (c *client) refuse(e *Error) {
	c.writeError(e)
	_ = c.stream.flush() // the connection ends either way
}

// logIn reports whether the client has logged in.
func (c *client) logIn() bool {
	login, err := c.server.authenticate(c.stream, c.connectionID)
	var denied *Error
	if errors.As(err, &denied) {
		c.count(func(counters *ServerCounters) { counters.DeniedLogins++ })
		c.refuse(denied)
	}
	if err != nil {
		return false
	}
	c.user = login.user
	c.database = login.database
	c.loggedIn.Store(true)
	return true
}

// serveCommand reads a command and answers it, and reports whether the
// connection goes on.
func (c *client) serveCommand() bool {
	c.stream.sequence = 0
	payload, err := c.stream.readPacket()
	var malformed *Error
	if errors.As(err, &malformed) {
		c.count(func(counters *ServerCounters) { counters.Malformed++ })
		c.refuse(malformed)
	}
	if err != nil || len(payload) == 0 || !c.handleCommand(payload[0], payload[1:]) {
		return false
	}
	_ = c.stream.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.stream.flush(); err != nil {
		return false
	}
	if c.ranStatement {
		c.ranStatement = false
		c.server.loop.Post(func() { c.busy = false })
	}
	return !c.overflowed
}

func (c *client) writeError(e *Error) { c.stream.queuePacket(e.packet()) }

func (c *client) writeOK() { c.stream.queuePacket(okPacket(0, 0)) }

// count changes the counters on the event loop.
func (c *client) count(change func(*ServerCounters)) {
	c.server.loop.Post(func() { change(&c.server.Counters) })
}
