package httpfront

import (
	"slices"
	"time"
)

const (
	// evictableAfterMS is how long a connection may stay without a message or with an
	// incomplete one before it can be evicted. Clients send a message at once after
	// they connect.
	evictableAfterMS = 250.0
	// evictionLinger is how long input of an evicted connection is read. It is short,
	// as the slot is needed. A client whose message crosses the close sends the message
	// again within this time.
	evictionLinger = 50 * time.Millisecond
)

// evictionRank orders connections for eviction, lowest first.
type evictionRank int

const (
	rankResponded  evictionRank = iota // the last response is written, but the client has not closed
	rankNoMessage                      // the client has sent no message
	rankIdle                           // no request is open
	rankIncomplete                     // a message is incomplete for longer than evictableAfterMS
	rankNone                           // not evictable
)

// FreeDescriptor evicts a connection when the system is out of descriptors.
func (s *Server) FreeDescriptor() { s.evict() }

// evictExcess evicts connections until their number is within the limit or no
// evictable connection is left.
func (s *Server) evictExcess() {
	for len(s.connections) > s.maxConnections {
		if !s.evict() {
			return
		}
	}
}

// evict closes the connection of the lowest eviction rank and reports whether there
// was one to close. Clients that never disconnect, or hundreds of clients that send
// nothing or half a message, must not keep others out.
func (s *Server) evict() bool {
	now := s.loop.Now()
	var busy []*connection // connections on which a message has arrived meanwhile
	for {
		c, rank := s.evictionCandidate(now, busy)
		switch rank {
		case rankNone:
			return false
		case rankResponded:
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

// evictionLingerFor returns how long input of an evicted connection is read. It is 0
// if the connection has been idle for longer than evictableAfterMS: the last response
// has arrived by then, so a reset can't discard it.
func evictionLingerFor(c *connection, now float64) time.Duration {
	if now-float64(c.idleSinceMS.Load()) > evictableAfterMS {
		return 0
	}
	return evictionLinger
}

// rejectIncomplete rejects an incomplete message, asking the client to retry later,
// and removes the connection. Further input of the message is discarded.
func (s *Server) rejectIncomplete(c *connection) {
	_ = c.socket.SetWriteDeadline(time.Now().Add(evictionLinger))
	r := s.rejection()
	r.linger = evictionLinger
	s.respond(c, r)
	s.removeConnection(c)
}

// evictionCandidate returns the connection to evict next and its rank, or rankNone if
// no connection is evictable. Connections in busy are skipped. evictionCandidate
// makes no system calls: with hundreds of connections they would occupy the whole
// core.
func (s *Server) evictionCandidate(now float64, busy []*connection) (*connection, evictionRank) {
	var candidate *connection
	candidateRank := rankNone
	candidateSince := int64(0)
	for c := range s.connections {
		if len(busy) > 0 && slices.Contains(busy, c) {
			continue
		}
		rank, since := c.evictionRank(now)
		if rank < candidateRank || rank == candidateRank && since < candidateSince {
			candidate = c
			candidateRank = rank
			candidateSince = since
		}
	}
	return candidate, candidateRank
}

// evictionRank returns the connection's rank and the time since which the rank
// applies.
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
		return rankResponded, idleSince
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
