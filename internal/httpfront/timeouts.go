package httpfront

import (
	"time"

	"dewhill/internal/lineproto"
)

const (
	sweepIntervalMS  = 100.0
	requestTimeoutMS = 2000.0 // for a message to be complete; of a connection's first one from its accept on
	idleTimeoutMS    = 5000.0 // without a message: clients close after 4 s themselves
)

// sweep ends connections and exchanges that have timed out.
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
		readStarted = idleSince // sending byte by byte does not prolong it
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

// mustDrain reports whether an idle connection must close because the
// server drains or ends.
func (s *Server) mustDrain(c *connection, idle float64) bool {
	if s.notAccepting && c.requestCount > 0 {
		return true
	}
	return (s.notAccepting || s.draining) && idle > evictableAfterMS
}

// closeIfIdle closes a connection if it is idle, counts it, and reports whether it
// did. Bytes that lie unread count as a message: on a busy core they may lie
// there for long.
func (s *Server) closeIfIdle(c *connection, counter *int, linger time.Duration) bool {
	if lineproto.HasUnread(c.socket) || !c.state.CompareAndSwap(0, stateClosed) {
		return false
	}
	*counter++
	c.closeWrite(linger)
	s.removeConnection(c)
	return true
}

// endIfNotPolled ends an exchange whose client has not polled in time.
func (s *Server) endIfNotPolled(ex *exchange, now float64) {
	if ex.completed || now <= ex.pollDueMS {
		return
	}
	switch {
	case s.notAccepting && ex.waiting == nil:
		s.abandon(ex) // its client can't come back
	case ex.clientDisconnected:
		ex.clientDisconnected = false
		s.loop.DetachRequest(ex.id)
	}
}
