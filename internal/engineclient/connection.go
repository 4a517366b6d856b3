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
	unresponsiveAfterMS = 500    // without a word while a reply is owed
	maxUnresponsive     = 4      // such connections to an engine before one is used all the same
	staleReplyWindowMS  = 10_000 // for which replies may still come to an id that has ended
	deliveryDelayMS     = 10     // that a command may take to its engine
	commandQueueLength  = 512
)

// errNotAccepting closes a connection whose engine reads nothing.
var errNotAccepting = errors.New("engine accepts no data")

// connection is a connection to an engine. Its fields belong to the event loop,
// except for socket, which its goroutines use, and writeStartedMS.
type connection struct {
	engine       *engine
	addr         string
	socket       net.Conn // nil until connected
	commands     chan command
	exchanges    map[string]*exchange // open, by id
	cancelledIDs map[string]bool      // ids that were cancelled here: replies may still come
	endedIDs     map[string]bool      // ids that ended without a result: duplicates may still come

	idleSinceMS    float64 // when the last exchange ended
	lastActivityMS float64 // when the engine last replied, or began to owe a reply
	writeStartedMS atomic.Int64

	connected          bool
	closed             bool
	closedLocally      bool // not by the engine or the network
	descriptorShortage bool // it could not be opened for want of a descriptor
	writeFailed        bool // nothing is written any more, but replies are still read
	goroutinesDone     int  // of reader and writer
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

// outdated reports whether the connection's engine was removed or moved.
func (c *connection) outdated() bool { return c.engine.removed || c.addr != c.engine.addr }

// idle reports whether the connection is up and nothing is open on it.
func (c *connection) idle() bool { return c.connected && len(c.exchanges) == 0 }

// awaitsReply reports whether the engine may still have to reply.
func (c *connection) awaitsReply() bool { return len(c.exchanges)+len(c.cancelledIDs) > 0 }

// accepts reports whether a request with an id may be written. An id that is
// open, cancelled or ended here must not be used again: a reply could belong to
// either attempt.
func (c *connection) canSend(id string) bool {
	usable := !c.closed && !c.writeFailed && c.addr == c.engine.addr
	return usable && c.exchanges[id] == nil && !c.cancelledIDs[id] && !c.endedIDs[id]
}

// preferredTo reports whether a request is better sent here than on another
// connection: on one that is up, and has most requests open.
func (c *connection) preferredTo(other *connection) bool {
	if other == nil || c.connected != other.connected {
		return other == nil || c.connected
	}
	return len(c.exchanges) > len(other.exchanges)
}

// exchangesInOrder returns the open exchanges in the order of their start.
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

// openExchange opens an exchange on a connection.
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

// enqueue hands a command to the connection's writer. The queue has far more
// room than a connection's requests need: if it is full, nothing is written.
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

// selectConnection returns a connection for a request, which may still have to
// come up; nil if there is none. A connection that owes a reply and is silent
// may lead nowhere, whatever others to the engine do: unless there are too many
// of these, a new one is opened, and a request that waits for that never ran.
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

func (p *Pool) unresponsive(c *connection) bool {
	return c.connected && c.awaitsReply() && p.loop.Now()-c.lastActivityMS > unresponsiveAfterMS
}

// dial opens a connection; nil if the pool is at its limit.
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

// closeIdlest closes the connection that has been idle longest, and reports
// whether there was one.
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

// dialDone takes the result of a dial.
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

// readLoop reads replies until the connection ends.
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

// goroutineDone notes that a connection's reader or writer has ended. When both
// have, it is known what was written and what was replied.
func (p *Pool) goroutineDone(c *connection) {
	c.goroutinesDone++
	if c.goroutinesDone == goroutinesPerConnection {
		p.endOpenExchanges(c)
	}
}

// closeConnection closes a connection because of an error, or of none. If it was
// connected, its exchanges are settled when its goroutines have ended.
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

// settleExchanges ends what was open on a closed connection. What was not
// written completely never ran; of the rest it is not known. A shortage of
// descriptors here is not held against the engine.
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
			// The close takes its time to arrive, and until then the attempt runs.
			p.endAfterDelivery(ex, ex.lostResult())
		default:
			p.endExchange(ex, ex.lostResult())
		}
	}
}

// lostResult is the result of an exchange that its connection took along.
func (ex *exchange) lostResult() control.Result {
	if ex.cancelled {
		return control.Cancelled
	}
	return control.Reset
}
