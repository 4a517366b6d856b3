package httpfront

import (
	"slices"
	"time"
)

const (
	// evictableAfterMS without a complete message or with nothing sent makes a
	// connection evictable: a client's message comes at once.
	evictableAfterMS = 250.0
	// evictionLinger is short, as the slot is needed. A message that crosses the
	// close is sent again within it.
	evictionLinger = 50 * time.Millisecond
)

// evictionRank orders connections by how little they need their slot.
type evictionRank int

const (
	rankAnswered   evictionRank = iota // the last response is written, and the client has not closed yet
	rankNoMessage                      // nothing has been sent
	rankIdle                           // nothing is open
	rankIncomplete                     // a message has begun long ago and is not complete
	rankNone                           // not evictable
)

// FreeDescriptor evicts a connection when the system is out of descriptors.
func (s *Server) FreeDescriptor() { s.evict() }

// evictExcess evicts connections over the limit, as far as there are evictable
// ones.
func (s *Server) evictExcess() {
	for len(s.connections) > s.maxConnections {
		if !s.evict() {
			return
		}
	}
}

// evict ends the connection that needs its slot least, and reports whether there
// was one. Clients that stay for good, or come by the hundred and send nothing
// or half a message, must not keep others out.
func (s *Server) evict() bool {
	now := s.loop.Now()
	var busy []*connection // on which a message has arrived meanwhile
	for {
		c, rank := s.evictionCandidate(now, busy)
		switch rank {
		case rankNone:
			return false
		case rankAnswered:
			s.removeConnection(c)
			_ = c.socket.SetReadDeadline(time.Now().Add(evictionLinger))
		case rankIncomplete:
			s.rejectIncomplete(c)
		case rankNoMessage, rankIdle:
			if !s.closeIfIdle(c, new(int), evictionLingerFor(c, now)) {
				busy = append(busy, c)
				continue
			}
		}
		s.Counters.Evicted++
		return true
	}
}

// evictionLingerFor returns for how long input of an evicted connection is read.
// Where its last response has long arrived, nothing can be reset away.
func evictionLingerFor(c *connection, now float64) time.Duration {
	if now-float64(c.idleSinceMS.Load()) > evictableAfterMS {
		return 0
	}
	return evictionLinger
}

// rejectIncomplete tells a client to come again, whatever it still sends.
func (s *Server) rejectIncomplete(c *connection) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(evictionLinger))
	r := s.rejection()
	r.linger = evictionLinger
	s.respond(c, r)
	s.removeConnection(c)
}

// evictionCandidate returns the connection that needs its slot least, except for busy
// ones, with its rank; rankNone if there is none. It makes no system call: with
// hundreds of connections that would take the whole core.
func (s *Server) evictionCandidate(now float64, busy []*connection) (*connection, evictionRank) {
	var worst *connection
	worstRank := rankNone
	worstSince := int64(0)
	for c := range s.connections {
		if len(busy) > 0 && slices.Contains(busy, c) {
			continue
		}
		rank, since := c.evictionRank(now)
		if rank < worstRank || rank == worstRank && since < worstSince {
			worst = c
			worstRank = rank
			worstSince = since
		}
	}
	return worst, worstRank
}

// evictionRank returns a connection's rank, and since when it has it.
func (c *connection) evictionRank(now float64) (rank evictionRank, sinceMS int64) {
	idleSince := c.idleSinceMS.Load()
	readStarted := c.readStartedMS.Load()
	if readStarted > 0 && c.requestCount == 0 {
		readStarted = idleSince
	}
	long := func(sinceMS int64) bool { return now-float64(sinceMS) > evictableAfterMS }
	switch {
	case c.closed || now < c.pollDueMS:
		return rankNone, 0
	case c.ending:
		if c.writeStartedMS.Load() > 0 || len(c.responses) > 0 {
			return rankNone, 0
		}
		return rankAnswered, idleSince
	case readStarted > 0 && long(readStarted):
		return rankIncomplete, readStarted
	case c.state.Load() != 0:
		return rankNone, 0
	case c.requestCount > 0:
		return rankIdle, idleSince
	case long(idleSince):
		return rankNoMessage, idleSince
	default:
		return rankNone, 0
	}
}
