package httpfront

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"dewhill/internal/lingeringclose"
)

// The bits of a connection's state. With no bit set, the connection is idle: all
// received input has been parsed and responded to. The event loop sets stateClosed
// only on an idle connection, by one atomic change from 0; input that is read after
// that is not handled as a request.
const (
	stateRequest  = 1 << iota // from the first byte of a message to the last of its response
	stateUnparsed             // bytes have been read that are not part of a parsed message
	stateClosed               // no further message is accepted
)

const (
	arrivalResolutionMS = 10.0 // bytes that arrive within this time are recorded as one arrival
	responseQueueLength = 4    // more than the number of responses a client can wait for
	goroutinesPerConn   = 2

	closeLinger = 250 * time.Millisecond // how long input is read after a close without a response
)

var (
	errConnectionClosed = errors.New("connection is closed")
	errResponseWritten  = errors.New("a response has been written")
)

// connection is a client connection. One goroutine reads from it and another writes
// to it.
type connection struct {
	socket     net.Conn
	now        func() float64
	responses  chan *response // response queue; closed by disconnect
	written    chan bool      // one value for each response written; true for the last one
	state      atomic.Int32
	goroutines atomic.Int32 // number still using the connection; the last one frees the slot

	// Accessed only by the event loop.
	exchange         *exchange // whose response the connection waits for
	pollPathExchange *exchange // whose poll path was last sent on this connection
	requestCount     int
	overLimit        bool
	ending           bool // the last response is queued
	closed           bool
	pollDueMS        float64 // when the client must have polled

	// Accessed only by the reader.
	awaitingResponse bool
	bytesRead        int
	arrivals         []arrival // of bytes that are not part of a parsed message

	writeClosed atomic.Bool // the write side is closed

	// Times in milliseconds of the event loop's clock; 0 if unset. Socket deadlines
	// are not used because each would cost a runtime timer.
	idleSinceMS    atomic.Int64 // when the connection was accepted or its last response written
	readStartedMS  atomic.Int64 // when reading the current message began
	writeStartedMS atomic.Int64 // when writing the current response began
}

// arrival records that all bytes before an offset in the stream had arrived at a
// time.
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

// goroutineDone records that a goroutine no longer uses a connection. The last
// goroutine closes the socket and frees the slot.
func (s *Server) goroutineDone(c *connection) {
	if c.goroutines.Add(-1) == 0 {
		_ = c.socket.Close()
		<-s.slots
	}
}

// setState sets bits of the state unless the connection is closed, and reports
// whether it set them.
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

// clearState clears bits of the state and returns the previous state.
func (c *connection) clearState(bits int32) int32 { return c.state.And(^bits) }

// Read reads input from the client. Input that arrives after the connection is
// closed is discarded. If a message may be buffered, the writer wakes the reader by
// setting a read deadline in the past.
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
		if c.writeClosed.Load() { // closed meanwhile: closeWrite's deadline must stay
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

// arrivedAtMS returns when the last parsed byte arrived, given the number of
// unparsed bytes after it. The deadline of a pipelined request counts from that
// time, not from the response to the previous request.
func (c *connection) arrivedAtMS(unparsed int) float64 {
	for len(c.arrivals) > 1 && c.arrivals[0].endOffset < c.bytesRead-unparsed {
		c.arrivals = c.arrivals[1:]
	}
	return c.arrivals[0].atMS
}

// closeWrite closes the write side and limits further reading to linger. Calls after
// the first have no effect.
func (c *connection) closeWrite(linger time.Duration) {
	if c.writeClosed.Swap(true) {
		return
	}
	lingeringclose.CloseWrite(c.socket, linger)
}

// removeConnection disconnects a connection and removes it from the server.
func (s *Server) removeConnection(c *connection) {
	s.disconnect(c)
	delete(s.connections, c)
}

// disconnect ends a connection. Its request is abandoned unless the client has a
// poll path and so can fetch the result on another connection.
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
		case ex.pollPathsSent > 0:
			s.clientDisconnected(ex)
		default:
			s.abandon(ex)
		}
	}
	if ex := c.pollPathExchange; ex != nil && ex.pollPathConnection == c && !ex.completed {
		s.clientDisconnected(ex)
	}
}
