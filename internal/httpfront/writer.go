package httpfront

import "time"

const (
	writeTimeoutMS = 5000            // for the client to read a response
	responseLinger = 2 * time.Second // how long input is read after the last response
)

// wakeDeadline is a read deadline in the past, which wakes a blocked reader.
var wakeDeadline = time.Unix(1, 0)

// respond queues a response. The queue holds more responses than a client can wait
// for; if it is full, the connection is disconnected.
func (s *Server) respond(c *connection, r *response) {
	if c.closed {
		return
	}
	if r.pollPath != "" { // the client polls on the same connection
		c.pollDueMS = s.loop.Now() + pollTimeoutMS
	} else if s.draining || s.notAccepting {
		r.closeAfter = true
	}
	switch {
	case s.notAccepting:
		r.linger = closeLinger
	case r.linger == 0:
		r.linger = responseLinger
	}
	c.exchange = nil
	c.ending = r.closeAfter
	select {
	case c.responses <- r:
	default:
		s.Counters.StalledWriters++
		s.disconnect(c)
	}
}

// writeLoop writes responses until disconnect closes their queue.
func (s *Server) writeLoop(c *connection) {
	defer s.goroutineDone(c)
	for r := range c.responses {
		s.writeResponse(c, r)
	}
	close(c.written)
	c.closeWrite(closeLinger)
}

func (s *Server) writeResponse(c *connection, r *response) {
	c.writeStartedMS.Store(int64(s.loop.Now()))
	err := r.write(c.socket)
	c.writeStartedMS.Store(0)
	switch {
	case err != nil:
		_ = c.socket.Close()
	case r.closeAfter:
		c.closeWrite(r.linger)
	}
	c.idleSinceMS.Store(int64(s.loop.Now()))
	c.written <- r.closeAfter || err != nil
	unparsed := c.clearState(stateRequest)&stateUnparsed != 0
	if unparsed && !r.closeAfter {
		_ = c.socket.SetReadDeadline(wakeDeadline) // a message may be buffered
	}
}
