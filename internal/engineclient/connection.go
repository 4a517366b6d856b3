package engineclient

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync/atomic"

	"dewhill/control"
	"dewhill/internal/descriptors"
	"dewhill/internal/lineproto"
)

const (
	unresponsiveAfterMS = 500    // without a reply while one is outstanding
	maxUnresponsive     = 4      // unresponsive connections per engine before one of them is used
	staleReplyWindowMS  = 10_000 // for which replies may still arrive for an id that has ended
	deliveryDelayMS     = 10     // allowed for a command to reach its engine
	commandQueueLength  = 512
)

// errNotAccepting is the reason for closing a connection whose engine reads nothing.
var errNotAccepting = errors.New("engine accepts no data")

// connection is a connection to an engine. Only the event loop uses its fields,
// except for socket and commands, which the reader and writer goroutines use too,
// and writeStartedMS, which is atomic.
type connection struct {
	engine       *engine
	addr         string
	socket       net.Conn // nil until connected
	commands     chan command
	exchanges    map[string]*exchange // open, by id
	cancelledIDs map[string]bool      // ids cancelled on this connection: replies may still arrive
	endedIDs     map[string]bool      // ids that ended without a result: duplicates may still arrive

	idleSinceMS    float64      // when the last exchange ended
	lastActivityMS float64      // last reply, or start of the wait for one if that is later
	writeStartedMS atomic.Int64 // start of the write that is in progress; 0: none

	connected          bool
	closed             bool
	closedLocally      bool // rather than by the engine or the network
	descriptorShortage bool // the dial failed because no file descriptor was free
	writeFailed        bool // nothing more is written, but replies are still read
	goroutinesDone     int  // of the reader and the writer
}

const goroutinesPerConnection = 2

func newConnection(e *engine) *connection {
	return &connection{
		engine:       e,
		addr:         e.addr,
		commands:     make(chan command, commandQueueLength),
		exchanges:    map[string]*exchange{},
		cancelledIDs: map[string]bool{},
		endedIDs:     map[string]bool{},
	}
}

// outdated reports whether the connection's engine was removed or has a new address.
func (c *connection) outdated() bool { return c.engine.removed || c.addr != c.engine.addr }

// idle reports whether the connection is established and has no open exchange.
func (c *connection) idle() bool { return c.connected && len(c.exchanges) == 0 }

// awaitsReply reports whether the engine may still reply to an exchange.
func (c *connection) awaitsReply() bool { return len(c.exchanges)+len(c.cancelledIDs) > 0 }

// canSend reports whether a request with an id may be written. An id that is open,
// cancelled or ended on this connection must not be used again: a reply could
// belong to either attempt.
func (c *connection) canSend(id string) bool {
	usable := !c.closed && !c.writeFailed && c.addr == c.engine.addr
	return usable && c.exchanges[id] == nil && !c.cancelledIDs[id] && !c.endedIDs[id]
}

// preferredTo reports whether a request should be sent on this connection rather
// than on another. Established connections come first, then those with more open
// requests.
func (c *connection) preferredTo(other *connection) bool {
	if other == nil || c.connected != other.connected {
		return other == nil || c.connected
	}
	return len(c.exchanges) > len(other.exchanges)
}

// exchangesInOrder returns the open exchanges in the order in which they started.
func (c *connection) exchangesInOrder() []*exchange {
	list := make([]*exchange, 0, len(c.exchanges))
	for _, ex := range c.exchanges {
		list = append(list, ex)
	}
	slices.SortFunc(list, func(a, b *exchange) int {
		return cmp.Or(cmp.Compare(a.startedMS, b.startedMS), cmp.Compare(a.id, b.id))
	})
	return list
}

// openExchange adds an exchange to a connection and enqueues its first command, if
// the connection is established; dialDone enqueues it otherwise.
func (p *Pool) openExchange(c *connection, ex *exchange) {
	if !c.awaitsReply() {
		c.lastActivityMS = p.loop.Now()
	}
	ex.connection = c
	c.exchanges[ex.id] = ex
	if c.connected {
		p.enqueue(c, ex.startCommand)
	}
}

// enqueue passes a command to the connection's writer. The queue is far larger than
// a connection's requests need, so a full queue means that the engine reads nothing,
// and the connection is closed.
func (p *Pool) enqueue(c *connection, cmd command) {
	if c.closed {
		return
	}
	select {
	case c.commands <- cmd:
	default:
		p.closeConnection(c, errNotAccepting)
	}
}

// selectConnection returns a connection for a request, possibly one that is still
// being established, or nil if none is available. An unresponsive connection may be
// broken even if other connections to the same engine work. A new connection is
// therefore opened beside it, unless maxUnresponsive connections are unresponsive
// already: a request that waits for a new connection provably never ran.
func (p *Pool) selectConnection(e *engine, id string) *connection {
	var best, lastUnresponsive *connection
	unresponsive := 0
	for _, c := range e.connections {
		if !c.canSend(id) || len(c.exchanges) >= p.options.StreamsPerConnection {
			continue
		}
		if p.unresponsive(c) {
			unresponsive++
			lastUnresponsive = c
			continue
		}
		if c.preferredTo(best) {
			best = c
		}
	}
	switch {
	case best != nil:
		return best
	case unresponsive >= maxUnresponsive:
		return lastUnresponsive
	case unresponsive > 0:
		p.Counters.UnresponsiveConnections++
	}
	return p.dial(e)
}

// unresponsive reports whether replies are outstanding on a connection and none has
// arrived for more than unresponsiveAfterMS.
func (p *Pool) unresponsive(c *connection) bool {
	return c.connected && c.awaitsReply() && p.loop.Now()-c.lastActivityMS > unresponsiveAfterMS
}

// dial opens a connection. It returns nil if the pool is at its limit and has no
// idle connection to close.
func (p *Pool) dial(e *engine) *connection {
	if p.connectionCount >= p.options.MaxConnections && !p.closeLongestIdle() {
		return nil
	}
	c := newConnection(e)
	e.connections = append(e.connections, c)
	p.connectionCount++
	p.Counters.Dials++
	go func() {
		socket, err := net.DialTimeout("tcp", c.addr, p.options.ConnectTimeout)
		p.loop.Post(func() { p.dialDone(c, socket, err) })
	}()
	return c
}

// closeLongestIdle closes the connection that has been idle longest, and reports
// whether there was an idle connection. It also closes connections whose write has
// timed out.
func (p *Pool) closeLongestIdle() bool {
	var longestIdle *connection
	for _, e := range p.engines {
		for _, c := range e.connections {
			if p.writeTimedOut(c) {
				p.closeConnection(c, errNotAccepting)
				continue
			}
			if c.idle() && (longestIdle == nil || c.idleSinceMS < longestIdle.idleSinceMS) {
				longestIdle = c
			}
		}
	}
	if longestIdle == nil {
		return false
	}
	p.closeConnection(longestIdle, nil)
	return true
}

// dialDone handles the result of a dial.
func (p *Pool) dialDone(c *connection, socket net.Conn, err error) {
	if err != nil {
		p.Counters.DialFailures++
		p.closeConnection(c, err)
		return
	}
	if c.closed {
		_ = socket.Close()
		return
	}
	c.socket = socket
	c.connected = true
	c.idleSinceMS = p.loop.Now()
	c.lastActivityMS = p.loop.Now()
	go p.readLoop(c)
	go p.writeLoop(c)
	for _, ex := range c.exchangesInOrder() {
		p.enqueue(c, ex.startCommand)
	}
}

// readLoop reads replies until reading fails.
func (p *Pool) readLoop(c *connection) {
	buffer := lineproto.New(c.socket, maxLineBytes)
	for {
		r, err := readReply(buffer)
		if err != nil {
			p.loop.Post(func() {
				p.closeConnection(c, err)
				p.goroutineDone(c)
			})
			return
		}
		p.loop.Post(func() { p.handleReply(c, r) })
	}
}

// goroutineDone records that a connection's reader or writer has ended. When both
// have ended, no further write or reply can change how the exchanges end.
func (p *Pool) goroutineDone(c *connection) {
	c.goroutinesDone++
	if c.goroutinesDone == goroutinesPerConnection {
		p.endOpenExchanges(c)
	}
}

// closeConnection closes a connection. The error is the reason, or nil if it is no
// longer needed. The exchanges of an established connection end when its goroutines
// have ended.
func (p *Pool) closeConnection(c *connection, err error) {
	if c.closed {
		return
	}
	malformed := errors.Is(err, errMalformedReply) || errors.Is(err, lineproto.ErrTooLong)
	c.closed = true
	c.closedLocally = err == nil || malformed || errors.Is(err, errNotAccepting)
	close(c.commands)
	if c.socket != nil {
		_ = c.socket.Close()
	}
	p.connectionCount--
	c.engine.connections = slices.DeleteFunc(c.engine.connections, func(o *connection) bool { return o == c })
	if malformed {
		p.logMalformedReply(c, err)
	}
	if len(c.exchanges) > 0 {
		p.Counters.ConnectionsLost++
	}
	if descriptors.Exhausted(err) {
		p.handleDescriptorShortage(c)
	}
	if !c.connected {
		p.endOpenExchanges(c)
	}
	if c.engine.removed && len(c.engine.connections) == 0 {
		delete(p.engines, c.engine.id)
	}
}

func (p *Pool) logMalformedReply(c *connection, err error) {
	p.Counters.MalformedReplies++
	if p.Counters.MalformedReplies < maxLoggedFaults {
		p.loop.Logf("engine %s: %v", c.engine.id, err)
	}
}

func (p *Pool) handleDescriptorShortage(c *connection) {
	c.descriptorShortage = true
	p.Counters.NoConnection++
	if p.Counters.NoConnection < maxLoggedFaults {
		p.loop.Logf("out of descriptors for engine %s", c.engine.id)
	}
	if p.options.OnDescriptorShortage != nil {
		p.options.OnDescriptorShortage()
	}
}

// endOpenExchanges ends the exchanges of a closed connection. A request that was not
// written completely never ran; any other may have run. A shortage of descriptors
// in this process does not count as a failure of the engine.
func (p *Pool) endOpenExchanges(c *connection) {
	for _, ex := range c.exchangesInOrder() {
		p.Counters.LostWithConnection++
		switch {
		case c.descriptorShortage:
			p.endExchange(ex, control.NotSent)
		case ex.stage.Load() != stageWritten:
			p.Counters.Truncated++
			p.endExchange(ex, control.ConnectFailed)
		case c.closedLocally:
			// The attempt may still be running until the close reaches the engine.
			p.endAfterDelivery(ex, ex.lostResult())
		default:
			p.endExchange(ex, ex.lostResult())
		}
	}
}

// lostResult returns the result of an exchange whose connection was lost after the
// request was written.
func (ex *exchange) lostResult() control.Result {
	if ex.cancelled {
		return control.Cancelled
	}
	return control.Reset
}
