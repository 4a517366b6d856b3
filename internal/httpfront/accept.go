package httpfront

import (
	"net"
	"time"

	"dewhill/internal/acceptloop"
)

const (
	// slotTimeout limits the wait for free slots since connections began to queue. It is
	// short because a request that is unread in the queue is counted from when it is read:
	// the deadline passed on to engines would be later than that of its client.
	slotTimeout = 100 * time.Millisecond
	// emptyBacklogWait is the time for which Accept must wait to show that no connection
	// was queued.
	emptyBacklogWait = time.Millisecond
)

// Serve accepts connections until the listener is closed. It leaves no connection in
// the backlog for long, because a request that is unread there still counts as
// accepted before later requests on other connections.
func (s *Server) Serve(listener net.Listener) {
	acceptloop.Run(queueListener{listener, s}, s.ServeConn, func(error) { s.loop.Post(s.acceptFailed) })
}

// queueListener notices when no connection is queued at its listener.
type queueListener struct {
	net.Listener
	server *Server
}

// Accept waits for a connection. If it has to wait, those before it have been served.
func (l queueListener) Accept() (net.Conn, error) {
	startedAt := time.Now()
	conn, err := l.Listener.Accept()
	if time.Since(startedAt) >= emptyBacklogWait {
		l.server.queueEmptied()
	}
	return conn, err
}

func (s *Server) queueEmptied() {
	s.admission.Lock()
	defer s.admission.Unlock()
	s.slotWaitUntil = time.Time{}
	s.noSlotFree = false
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
// requests an eviction and waits, up to slotTimeout after the first call that waited
// since connections began to queue: calls are serialized, so each waits for all calls
// before it. After a timeout, later calls do not wait until a slot is free again or no
// connection is queued.
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
	if s.slotWaitUntil.IsZero() {
		s.slotWaitUntil = time.Now().Add(slotTimeout)
	}
	timer := time.NewTimer(time.Until(s.slotWaitUntil))
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
