package mysql

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

const discardBufferBytes = 32 << 10

// disconnectWatch reads on while a client's statement runs, so that a disconnect
// is noticed behind whatever the client has sent ahead: up to a packet of that is
// buffered, and if more comes the current answer is the last. Nothing else may
// read until stop has returned.
type disconnectWatch struct {
	client       *client
	disconnected chan struct{} // closed if the client disconnects
	done         chan struct{} // closed when nothing is read any more
	stopping     atomic.Bool
}

// watchDisconnect begins to read on.
func (c *client) watchDisconnect() *disconnectWatch {
	w := &disconnectWatch{client: c, disconnected: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// stop ends the watch by a read deadline that is now.
func (w *disconnectWatch) stop() {
	w.stopping.Store(true)
	_ = w.client.stream.conn.SetReadDeadline(time.Now())
	<-w.done
}

func (w *disconnectWatch) run() {
	defer close(w.done)
	for {
		err := w.client.readAhead()
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			close(w.disconnected)
			return
		}
		// A deadline that stop did not set is that of an idle client.
		if !w.stopping.Load() {
			_ = w.client.stream.conn.SetReadDeadline(time.Time{})
		}
		if w.stopping.Load() {
			return
		}
	}
}

// readAhead reads once what the client sends ahead of an answer.
func (c *client) readAhead() error {
	if c.stream.buffer.Buffered() <= MaxPacketBytes {
		return c.stream.buffer.Fill()
	}
	c.overflowed = true
	if c.discardBuffer == nil {
		c.discardBuffer = make([]byte, discardBufferBytes)
	}
	_, err := c.stream.conn.Read(c.discardBuffer)
	return err
}

// handleDisconnect cancels what the client no longer waits for. A load with an
// id goes on if an attempt is in flight, as its outcome may be asked for again,
// but no further one begins.
func (c *client) handleDisconnect() {
	c.disconnected = true
	c.busy = false
	if c.requestID != "" {
		c.server.Counters.Abandoned++
		c.server.loop.AbandonRequest(c.requestID)
		c.requestID = ""
	}
	load := c.load
	if load == nil {
		return
	}
	c.load = nil
	load.waitingClients--
	if load.waitingClients == 0 && !load.finished && load.requestID != "" {
		c.server.Counters.Abandoned++
		c.server.loop.DetachRequest(load.requestID)
	}
}
