package mysql

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

const discardBufferBytes = 32 << 10

// disconnectWatcher reads from a client's connection while its statement runs, to
// detect a disconnect even if the client has sent further commands ahead. Up to
// MaxPacketBytes of them are buffered. If the client sends more, the excess is
// discarded and the connection is closed after the current response. Nothing else may
// read from the connection until stop has returned.
type disconnectWatcher struct {
	client       *client
	disconnected chan struct{} // closed if the client disconnects
	done         chan struct{} // closed when the watcher has stopped reading
	stopping     atomic.Bool
}

// watchDisconnect starts a disconnectWatcher.
func (c *client) watchDisconnect() *disconnectWatcher {
	w := &disconnectWatcher{client: c, disconnected: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// stop ends the pending read with a read deadline and waits for the watcher to end.
func (w *disconnectWatcher) stop() {
	w.stopping.Store(true)
	_ = w.client.stream.conn.SetReadDeadline(time.Now())
	<-w.done
}

func (w *disconnectWatcher) run() {
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
		// If stop did not set the deadline, it is the one for idle clients.
		if !w.stopping.Load() {
			_ = w.client.stream.conn.SetReadDeadline(time.Time{})
		}
		if w.stopping.Load() {
			return
		}
	}
}

// readAhead reads once from the client, before the response to its statement.
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

// handleDisconnect cancels the client's request. A load with an id that no other
// client waits for is detached instead: its attempts in flight continue, because a
// client may repeat the load to get the outcome, but no further attempt starts.
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
