package httpfront

import (
	"errors"
	"sync"
	"time"

	"dewhill/internal/lineproto"
	"dewhill/internal/lingeringclose"
)

const (
	discardBufferBytes = 32 << 10
	maxDiscardedBytes  = 128 << 20 // input that is read and discarded
)

var discardBuffers = sync.Pool{New: func() any { return new([discardBufferBytes]byte) }}

// readLoop reads messages until the connection ends or the server closes it.
func (s *Server) readLoop(c *connection) {
	defer s.goroutineDone(c)
	err := s.readRequests(c)
	s.loop.PostUrgent(func() { s.removeConnection(c) })
	// A client that has half-closed and reads nothing must not keep its slot.
	_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeoutMS * time.Millisecond))
	if errors.Is(err, errConnectionClosed) {
		lingeringclose.DiscardInput(c.socket, maxDiscardedBytes)
	}
}

// readRequests passes messages to the event loop one at a time: it waits for the
// response before it reads the next message.
func (s *Server) readRequests(c *connection) error {
	buffer := lineproto.New(c, maxHeadBytes)
	for {
		if err := buffer.WaitForData(); err != nil {
			return err
		}
		if err := s.readMessage(c, buffer); err != nil {
			return err
		}
		last, err := s.awaitResponse(c, buffer)
		if err != nil {
			return err
		}
		if last {
			// Input after the last response is not handled as a request.
			c.closeWrite(responseLinger)
			return errConnectionClosed
		}
	}
}

// readMessage reads one message and posts it to the event loop, or posts the
// rejection of a malformed message.
func (s *Server) readMessage(c *connection, buffer *lineproto.Buffer) error {
	c.readStartedMS.Store(int64(s.loop.Now()))
	if !c.setState(stateRequest) {
		return errConnectionClosed
	}
	m, err := readRequest(buffer, s.maxBodyBytes)
	c.readStartedMS.Store(0)
	if buffer.Buffered() == 0 {
		c.clearState(stateUnparsed)
	}
	var malformed *requestError
	if errors.As(err, &malformed) {
		s.loop.Post(func() { s.reject(c, malformed) })
		return nil
	}
	if err != nil {
		return err
	}
	m.arrivedAtMS = c.arrivedAtMS(buffer.Buffered())
	s.loop.Post(func() { s.handle(c, m) })
	return nil
}

// awaitResponse waits for the response to a message. Meanwhile it keeps reading, so
// that a disconnect is noticed even after pipelined input. Up to maxPipelined bytes
// of that input are buffered. More input, up to maxDiscardedBytes, is discarded
// and makes the response the last one on the connection.
func (s *Server) awaitResponse(c *connection, buffer *lineproto.Buffer) (last bool, err error) {
	c.awaitingResponse = true
	defer func() { c.awaitingResponse = false }()
	discarded := 0
	for {
		select {
		case last, open := <-c.written:
			if !open {
				return false, errConnectionClosed
			}
			return last || discarded > 0, nil
		default:
		}
		switch {
		case buffer.Buffered() < s.maxPipelined:
			err = buffer.Fill()
		case discarded < maxDiscardedBytes:
			var n int
			n, err = readAndDiscard(c)
			discarded += n
		default:
			return false, lineproto.ErrTooLong
		}
		if err != nil && !errors.Is(err, errResponseWritten) {
			return false, err
		}
	}
}

func readAndDiscard(c *connection) (int, error) {
	p := discardBuffers.Get().(*[discardBufferBytes]byte)
	defer discardBuffers.Put(p)
	return c.Read(p[:])
}
