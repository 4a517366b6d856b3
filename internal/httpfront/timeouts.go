package httpfront

import (
	"time"

	"dewhill/internal/lineproto"
)

const (
	sweepIntervalMS  = 100.0
	requestTimeoutMS = 2000.0 // for a complete message; for the first message, counted from the accept
	idleTimeoutMS    = 5000.0 // without a message; clients close idle connections after 4 s
)

// sweep closes connections and ends exchanges that have timed out. It runs every
// sweepIntervalMS.
func (s *Server) sweep() {
	s.closeTimedOut()
	s.loop.After(sweepIntervalMS, s.sweep)
}

func (s *Server) closeTimedOut() {
	now := s.loop.Now()
	for c := range s.connections {
		s.closeIfTimedOut(c, now)
	}
	s.evictExcess()
	for _, ex := range s.exchanges {
		s.endIfNotPolled(ex, now)
	}
}

// closeIfTimedOut closes a connection whose client sends nothing, does not
// complete its message or does not read its response in time.
func (s *Server) closeIfTimedOut(c *connection, now float64) {
	idleSince := float64(c.idleSinceMS.Load())
	idle := now - idleSince
	readStarted := float64(c.readStartedMS.Load())
	reading := readStarted > 0
	if c.requestCount == 0 {
		readStarted = idleSince // sending byte by byte does not extend the timeout
	}
	writeStarted := float64(c.writeStartedMS.Load())
	switch {
	case writeStarted > 0 && now-writeStarted > writeTimeoutMS:
		s.Counters.ClosedUnread++
		s.removeConnection(c)
		_ = c.socket.Close()
	case c.closed || c.ending:
	case reading && now-readStarted > requestTimeoutMS:
		s.Counters.ClosedSlow++
		s.reject(c, &requestError{408, "the message does not end"})
	case now < c.pollDueMS:
	case s.mustDrain(c, idle):
		s.closeIfIdle(c, &s.Counters.ClosedDraining, closeLinger)
	case c.requestCount == 0 && idle > requestTimeoutMS:
		s.closeIfIdle(c, &s.Counters.ClosedNoMessage, closeLinger)
	case idle > idleTimeoutMS:
		s.closeIfIdle(c, &s.Counters.ClosedIdle, closeLinger)
	}
}

// mustDrain reports whether an idle connection must be closed because the server
// drains or shuts down.
func (s *Server) mustDrain(c *connection, idle float64) bool {
	if s.notAccepting && c.requestCount > 0 {
		return true
	}
	return (s.notAccepting || s.draining) && idle > evictableAfterMS
}

// closeIfIdle closes a connection if it is idle, increments counter, and reports
// whether the connection was closed. A connection with unread input is not idle: on a
// busy core a message may stay unread for a long time.
func (s *Server) closeIfIdle(c *connection, counter *int, linger time.Duration) bool {
	if lineproto.HasUnread(c.socket) || !c.state.CompareAndSwap(0, stateClosed) {
		return false
	}
	*counter++
	c.closeWrite(linger)
	s.removeConnection(c)
	return true
}

// endIfNotPolled ends an exchange whose client has not polled in time. During shutdown
// an exchange without a waiting message is abandoned; otherwise the request of a
// disconnected client is detached.
func (s *Server) endIfNotPolled(ex *exchange, now float64) {
	if ex.completed || now <= ex.pollDueMS {
		return
	}
	switch {
	case s.notAccepting && ex.waiting == nil:
		s.abandon(ex) // its client can't connect again
	case ex.clientDisconnected:
		ex.clientDisconnected = false
		s.loop.DetachRequest(ex.id)
	}
}
