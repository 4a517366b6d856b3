package httpfront

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"dewhill/internal/lingeringclose"
)

// The bits of a connection's state. At 0 it is idle: all that has come is
// answered. The event loop closes a connection only from idle, in one step, and
// what is read after that is no request.
const (
	stateRequest  = 1 << iota // from the first byte of a message to the last of its response
	stateUnparsed             // bytes are read that no message was made of
	stateClosed               // no message is taken any more
)

const (
	arrivalResolutionMS = 10.0 // bytes within it count as arrived together
	responseQueueLength = 4    // a client can wait for fewer
	goroutinesPerConn   = 2

	closeLinger = 250 * time.Millisecond // for which input is read after a close without a response
)

var (
	errConnectionClosed = errors.New("connection is closed")
	errResponseWritten  = errors.New("a response has been written")
)

// connection is a client's connection. It has a goroutine that reads and one
// that writes.
type connection struct {
	socket     net.Conn
	now        func() float64
	responses  chan *response // closed by disconnect
	written    chan bool      // a token for each response written; true: it was the last
	state      atomic.Int32
	goroutines atomic.Int32 // that still use it: the last one frees its slot

	// Of the event loop.
	exchange         *exchange // that it waits for
	pollPathExchange *exchange // whose path was last given on it
	requestCount     int
	overLimit        bool
	ending           bool // its last response is queued
	closed           bool
	pollDueMS        float64 // by when the client is to poll a path

	// Of the reader.
	awaitingResponse bool
	bytesRead        int
	arrivals         []arrival // of bytes that no message was made of

	writeClosed atomic.Bool // nothing is written any more

	// Times in the loop's milliseconds, 0: none. Deadlines on the socket would
	// cost a runtime timer each.
	idleSinceMS    atomic.Int64 // when it was accepted, or last answered
	readStartedMS  atomic.Int64 // of the message that is being read
	writeStartedMS atomic.Int64 // of the response that is being written
}

// arrival is when the bytes before an offset in the stream had arrived.
type arrival struct {
	endOffset int
	atMS      float64
}

func (s *Server) newConnection(socket net.Conn) *connection {
	c := &connection{
		socket:    socket,
		responses: make(chan *response, responseQueueLength),
		written:   make(chan bool, responseQueueLength),
		now:       s.loop.Now,
	}
	c.idleSinceMS.Store(int64(s.loop.Now()))
	return c
}

// goroutineDone notes that a goroutine no longer uses a connection. The last one
// frees its slot.
func (s *Server) goroutineDone(c *connection) {
	if c.goroutines.Add(-1) == 0 {
		_ = c.socket.Close()
		<-s.slots
	}
}

// setState sets bits of the state, and reports whether the connection was not
// closed.
func (c *connection) setState(bits int32) bool {
	for {
		old := c.state.Load()
		if old&stateClosed != 0 {
			return false
		}
		if c.state.CompareAndSwap(old, old|bits) {
			return true
		}
	}
}

// clearState clears bits of the state and returns what it was.
func (c *connection) clearState(bits int32) int32 { return c.state.And(^bits) }

// Read reads what the client sends. What comes once the connection is closed is
// dropped. The writer wakes a reader that may have a message by a deadline in
// the past.
func (c *connection) Read(p []byte) (int, error) {
	for {
		n, err := c.socket.Read(p)
		if n > 0 {
			c.recordArrival(n)
			if !c.setState(stateUnparsed) {
				return 0, errConnectionClosed
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.writeClosed.Load() {
			return n, err
		}
		_ = c.socket.SetReadDeadline(time.Time{})
		if c.writeClosed.Load() { // since then: its deadline must stand
			_ = c.socket.SetReadDeadline(time.Now().Add(closeLinger))
		}
		if c.awaitingResponse {
			return 0, errResponseWritten
		}
	}
}

func (c *connection) recordArrival(n int) {
	c.bytesRead += n
	now := c.now()
	last := len(c.arrivals) - 1
	if last >= 0 && now < c.arrivals[last].atMS+arrivalResolutionMS {
		c.arrivals[last].endOffset = c.bytesRead
		return
	}
	c.arrivals = append(c.arrivals, arrival{c.bytesRead, now})
}

// arrivedAtMS returns when the last byte before those that are still unparsed
// arrived. The deadline of a request that was sent ahead counts from then, not
// from the response before it.
func (c *connection) arrivedAtMS(unparsed int) float64 {
	for len(c.arrivals) > 1 && c.arrivals[0].endOffset < c.bytesRead-unparsed {
		c.arrivals = c.arrivals[1:]
	}
	return c.arrivals[0].atMS
}

// closeWrite ends what is written, once. What still comes is read for a time.
func (c *connection) closeWrite(linger time.Duration) {
	if c.writeClosed.Swap(true) {
		return
	}
	lingeringclose.CloseWrite(c.socket, linger)
}

// removeConnection ends a connection and forgets it.
func (s *Server) removeConnection(c *connection) {
	s.disconnect(c)
	delete(s.connections, c)
}

// disconnect ends a connection. Its request is abandoned unless the client has a
// path by which to come back.
func (s *Server) disconnect(c *connection) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.responses)
	if ex := c.exchange; ex != nil {
		ex.detach()
		switch {
		case ex.completed:
		case ex.pollPathSent:
			s.clientDisconnected(ex)
		default:
			s.abandon(ex)
		}
	}
	if ex := c.pollPathExchange; ex != nil && ex.pollPathConnection == c && !ex.completed {
		s.clientDisconnected(ex)
	}
}
