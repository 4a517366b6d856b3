package mysql

import (
	"errors"
	"sync/atomic"
	"time"
)

// client is a client's connection, which is served by its own goroutine.
type client struct {
	server        *Server
	stream        *stream
	connectionID  uint32
	connectedAtMS float64
	loggedIn      atomic.Bool
	receiving     atomic.Bool // a command has begun to arrive and has not been answered
	expected      atomic.Bool // the next command is expected soon: after the login, or to execute what was prepared

	// Used only by the connection's goroutine.
	user            string
	database        string
	statements      map[uint32]*preparedStatement
	lastStatementID uint32
	ranStatement    bool   // the current command was passed to the event loop
	overflowed      bool   // the client sent more ahead than is buffered: the current response is the last
	discardBuffer   []byte // receives input beyond the limit of the buffer
	closedIdle      bool   // the connection is closed because no command has arrived

	// Used only on the event loop.
	busy         bool // a statement has not been answered yet
	disconnected bool
	requestID    string      // request to abandon if the client disconnects; empty: none
	load         *loadRecord // load with an id that the client waits for
}

// serve serves the connection until it is closed.
func (c *client) serve(tooMany bool) {
	defer c.end()
	c.setLoginDeadline()
	if tooMany {
		c.sendFinalError(&Error{codeTooManyConnections, "08004", "Too many connections"})
		return
	}
	if !c.logIn() {
		return
	}
	_ = c.stream.conn.SetDeadline(time.Time{})
	for c.awaitCommand() {
		stays := c.serveCommand()
		c.receiving.Store(false)
		if !stays {
			return
		}
	}
}

// end closes the connection. The process need not wait for a connection that is closed
// because its client has sent nothing: no response is on its way.
func (c *client) end() {
	remove := func() { delete(c.server.clients, c) }
	if c.closedIdle {
		c.server.loop.Post(remove)
		c.stream.closeGracefully()
		return
	}
	c.stream.closeGracefully()
	c.server.loop.Post(remove)
}

// sendFinalError sends an error after which the connection is closed.
func (c *client) sendFinalError(e *Error) {
	c.writeError(e)
	_ = c.stream.flush() // the connection is closed in any case
}

// logIn authenticates the client and reports whether it has logged in.
func (c *client) logIn() bool {
	login, err := c.server.authenticate(c.stream, c.connectionID)
	var rejection *Error
	if errors.As(err, &rejection) {
		c.updateCounters(func(counters *ServerCounters) { counters.DeniedLogins++ })
		c.sendFinalError(rejection)
	}
	if err != nil || acceptLogin(c.stream) != nil {
		return false
	}
	c.user = login.user
	c.database = login.database
	c.loggedIn.Store(true)
	c.expected.Store(true)
	return true
}

// serveCommand reads a command and sends the response. It reports whether the connection
// stays open.
func (c *client) serveCommand() bool {
	c.stream.sequence = 0
	payload, err := c.readCommand()
	var malformed *Error
	if errors.As(err, &malformed) {
		c.updateCounters(func(counters *ServerCounters) { counters.Malformed++ })
		c.sendFinalError(malformed)
	}
	if err != nil || len(payload) == 0 {
		return false
	}
	command := payload[0] // the payload is valid until the client's next input is read
	if !c.handleCommand(command, payload[1:]) {
		return false
	}
	_ = c.stream.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := c.stream.flush(); err != nil {
		return false
	}
	c.expected.Store(command == comStmtPrepare || command == comStmtLongData)
	if c.ranStatement {
		c.ranStatement = false
		c.server.loop.Post(func() { c.busy = false })
	}
	return !c.overflowed
}

func (c *client) writeError(e *Error) { c.stream.queuePacket(e.packet()) }

func (c *client) writeOK() { c.stream.queuePacket(okPacket(0, 0)) }

// updateCounters calls change with the server's counters on the event loop.
func (c *client) updateCounters(change func(*ServerCounters)) {
	c.server.loop.Post(func() { change(&c.server.Counters) })
}
