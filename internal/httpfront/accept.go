package httpfront

import (
	"net"
	"time"

	"dewhill/internal/acceptloop"
)

// slotTimeout limits the wait for a free slot. It is short because a client whose
// connection is accepted expects the server to read its request.
const slotTimeout = 100 * time.Millisecond

// Serve accepts connections until the listener is closed. It leaves no connection in
// the backlog for long, because a request that is unread there still counts as
// accepted before later requests on other connections.
func (s *Server) Serve(listener net.Listener) {
	acceptloop.Run(listener, s.ServeConn, func(error) { s.loop.Post(s.acceptFailed) })
}

// acceptFailed counts a failed accept and evicts a connection, as the process may be
// out of descriptors.
func (s *Server) acceptFailed() {
	s.Counters.AcceptErrors++
	s.FreeDescriptor()
}

// ServeConn serves an accepted connection, or closes it if no slot is available.
func (s *Server) ServeConn(socket net.Conn) {
	if s.acquireSlot() {
		s.serveWithSlot(socket)
		return
	}
	_ = socket.Close()
	s.loop.Post(func() { s.Counters.NoSlot++ })
}

// acquireSlot takes a slot and reports whether it did. If no slot is free, it
// requests an eviction and waits up to slotTimeout. After a timeout, later calls do
// not wait until a slot is free again: calls are serialized, so each would wait for
// all calls before it.
func (s *Server) acquireSlot() bool {
	s.admission.Lock()
	defer s.admission.Unlock()
	select {
	case s.slots <- struct{}{}:
		s.noSlotFree = false
		return true
	default:
	}
	s.loop.PostUrgent(s.FreeDescriptor)
	if s.noSlotFree {
		return false
	}
	timer := time.NewTimer(slotTimeout)
	defer timer.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-timer.C:
		s.noSlotFree = true
		return false
	}
}

// serveWithSlot starts the goroutines of a connection.
func (s *Server) serveWithSlot(socket net.Conn) {
	c := s.newConnection(socket)
	c.goroutines.Store(goroutinesPerConn)
	s.loop.Post(func() { s.register(c) })
	go s.readLoop(c)
	go s.writeLoop(c)
}

// register adds a connection to the server. It runs on the event loop.
func (s *Server) register(c *connection) {
	s.Counters.Connections++
	if c.closed {
		return
	}
	s.connections[c] = true
	s.evictExcess()
	c.overLimit = len(s.connections) > s.maxConnections
}
