package fakes

import (
	"bufio"
	"io"
	"net"
	"strings"
	"time"
)

// closeRaceWindow is the time within which a request may cross the close of a connection without an
// open request. The client then sends it again once.
const closeRaceWindow = 50 * time.Millisecond

// Connection is a client's connection that carries one request after another. It is opened when it
// is needed.
type Connection struct {
	Addr string
	// MayOpen reports whether the client may open a connection now; nil: always.
	MayOpen func() bool

	conn   net.Conn
	reader *bufio.Reader
	used   bool // a response was received on the connection
}

// Close closes the connection if it is open.
func (c *Connection) Close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// open opens the connection if necessary, and reports whether it is open.
func (c *Connection) open() bool {
	if c.conn != nil {
		return true
	}
	if c.MayOpen != nil && !c.MayOpen() {
		return false
	}
	conn, err := net.DialTimeout("tcp", c.Addr, connectTimeout)
	if err != nil {
		return false
	}
	c.conn, c.reader, c.used = conn, bufio.NewReader(conn), false
	return true
}

// Call sends requests in one write, and returns their outcomes. The requests after the first are
// sent ahead of its response.
func (c *Connection) Call(requests ...Request) []Outcome {
	outcomes := make([]Outcome, len(requests))
	for i, q := range requests {
		outcomes[i] = Outcome{Request: q, FrontEndAddr: c.Addr, Sent: time.Now()}
	}
	if !c.open() {
		return outcomes
	}
	reused := c.used
	c.exchange(outcomes)
	for i := range outcomes {
		if o := &outcomes[i]; o.isUnread(reused, i > 0) {
			*o = c.sendAgain(o)
		}
	}
	return outcomes
}

// isUnread reports whether the request crossed the end of its connection, so that the front end
// need not have read it: the connection was resting, or the request was sent ahead of the last
// response on the connection.
func (o *Outcome) isUnread(reused, sentAhead bool) bool {
	if reused && !o.Written {
		return true
	}
	crossed := reused && o.Ended.Sub(o.Sent) <= closeRaceWindow+Tolerance
	return o.ClosedUnanswered && (crossed || sentAhead)
}

// sendAgain sends a request once more, on a new connection.
func (c *Connection) sendAgain(first *Outcome) Outcome {
	c.Close()
	now := time.Now()
	again := []Outcome{{Request: first.Request, FrontEndAddr: c.Addr, Sent: now, Resent: now, FirstSent: first.Sent}}
	if c.open() {
		c.exchange(again)
	}
	return again[0]
}

// exchange writes the requests and reads all responses. Polls are sent behind the requests, so that
// their responses come after those to the requests.
func (c *Connection) exchange(outcomes []Outcome) {
	var messages strings.Builder
	timeout := time.Duration(0)
	for i := range outcomes {
		messages.WriteString(outcomes[i].Message())
		timeout = max(timeout, outcomes[i].Timeout+lateResponseWait)
		if outcomes[i].DisconnectAfter > 0 {
			timeout = outcomes[i].DisconnectAfter
		}
	}
	now := time.Now()
	_ = c.conn.SetDeadline(now.Add(timeout))
	_, err := io.WriteString(c.conn, messages.String())
	var waiting []*Outcome
	for i := range outcomes {
		outcomes[i].Sent = now
		outcomes[i].Written = err == nil
		waiting = append(waiting, &outcomes[i])
	}
	isOpen := err == nil
	for isOpen && len(waiting) > 0 {
		o := waiting[0]
		waiting = waiting[1:]
		if len(outcomes) > 1 {
			o.headOfLineAt = time.Now()
		}
		path := o.readResponse(c.reader)
		o.Ended = time.Now()
		if path != "" && o.poll(c.conn, path) {
			waiting = append(waiting, o)
		}
		c.used = c.used || o.ProtocolError == ""
		isOpen = o.ProtocolError == "" && !o.Disconnected && !o.closesConnection
	}
	c.endUnanswered(waiting)
	if !isOpen {
		c.Close()
		return
	}
	if n := c.reader.Buffered(); n > 0 {
		last := &outcomes[len(outcomes)-1]
		last.ProtocolError = "bytes after the last response"
		c.Close()
	}
}

// endUnanswered records that the connection ended before the responses to these requests.
func (c *Connection) endUnanswered(waiting []*Outcome) {
	for _, o := range waiting {
		o.Ended = time.Now()
		o.ClosedUnanswered = o.responses == 0
		if o.Written && o.ProtocolError == "" {
			o.ProtocolError = "no complete response: the connection has ended"
		}
	}
}
