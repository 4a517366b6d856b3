// Package rest is the platform's front: it takes requests over HTTP/1.1 and
// gives their answers. It decides nothing about them.
//
// What it guarantees of a connection: a call is taken, and then answered, or it
// is not taken and the connection ends; a call that crosses the end is never
// taken. A client that goes is seen while its call is open, whatever it has sent
// ahead. No close of the front's own resets away an answer that it has written:
// what still comes is read until the client closes too, for a bounded time.
package rest

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dewhill/internal/core"
	"dewhill/internal/lines"
	"dewhill/internal/statement"
)

// Host is the event loop that the front hands its requests to. Post and Now may
// be called from any goroutine, the rest only from the loop's own.
type Host interface {
	Post(func())
	PostFirst(func()) // ahead of what is posted
	Now() float64
	Submit(r core.Request, work any, answer func(core.Answer, any)) error
	Abandon(id string)
	Away(id string, away bool) // the client may have gone, or is back
	Leave(id string)           // nobody waits, but the outcome is to be known
	After(ms float64, f func())
	Report() []byte
}

// Counters count what the front takes in and answers.
type Counters struct {
	Connections, Calls, Requests, Malformed, Overload, Abandoned int
	Served, Refused, Failed, Polls, LostWriters                  int
	AcceptErrors                                                 int
	Silent, TooSlow, NotTaken, Idle, Evicted, SentAway           int            // connections closed by the front, by cause
	NoPlace                                                      int            // and unheard, as no place came free
	Away                                                         int            // of clients that had been given a path
	Wrong                                                        map[string]int // messages rejected, by cause
	Classes                                                      []Outcomes     // of requests, by class
}

// Outcomes count the answers to a class's requests.
type Outcomes struct{ Served, Refused, Failed int }

const (
	prefix = "/api/v2/"
	polls  = "/polls/"

	holdMs   = 5000     // how long a call is held before it is answered with a path to call next
	chunk    = 64 << 10 // text of rows in one answer
	onItsWay = 80.0     // ms before its client's deadline that a request is out of time
	keepMs   = 5000     // how long an answer is kept after it was first given
	mostKept = 256      // answers kept for a call that is made again

	sweepMs    = 100.0
	messageIn  = 2000.0                 // ms for a message to come in whole, the first of a connection from its accept on
	writeIn    = 5000.0                 // and for an answer to be taken
	idleFor    = 5000.0                 // and without a call: clients close after 4 s themselves
	quietFor   = 250.0                  // and without a whole first message before the place may go to another
	callIn     = 1000.0                 // ms in which a client calls a path that it was given
	drainFor   = 2 * time.Second        // that is still read after the last answer
	shutFor    = 250 * time.Millisecond // and after a close without one
	briefFor   = 50 * time.Millisecond  // and where its place is needed: a call that crosses a close is sent again within it
	mostAhead  = 64 << 10               // bytes that a client may send ahead of an answer
	leastAhead = 4 << 10                // where memory is shortest
	drainMost  = 128 << 20              // and how much
	acceptGap  = 10 * time.Millisecond  // between tries to accept where descriptors are short
	placeIn    = 100 * time.Millisecond // that one that is accepted waits for a place: clients take it for heard
	sameTime   = 10.0                   // ms in which bytes came at the same time
)

// Front is the state of the front. Only the loop's goroutine touches it.
type Front struct {
	host    Host
	classes map[string]int
	most    int           // client connections that are served; a few more are told to come back
	slots   chan struct{} // one token for each connection that holds a descriptor
	placing sync.Mutex
	full    bool // no place came free in time; guarded by placing
	body    int  // largest body
	ahead   int  // most bytes kept of what is sent ahead
	limits  []Limits
	Count   Counters
	conns   map[*conn]bool
	open    map[string]*exchange
	kept    []string // ids of exchanges whose answer is kept, oldest first
	leaving bool
	away    bool // clients are sent away
	ends    bool // no connection is taken any more
	wait    int  // what Srv-Wait-Ms says where the front itself refuses
}

// exchange is a request from its first call to the end of its last answer.
type exchange struct {
	id     string
	class  int
	conn   *conn // that waits for an answer, or nil
	path   bool  // the client has been given a path
	calls  int   // made so far, to know an outdated hold
	done   bool
	chunks [][][]byte
	final  response // where there are no rows
	next   int      // chunk that the waiting call asks for
	due    float64  // when its client has called the path that it was given, or does not come any more
	giver  *conn    // that the path was given on last, until it is called
	away   bool     // that connection has gone, and the client has not called again
}

// What a connection's state holds. At 0 it rests: nothing of a call has come that
// is not answered. Guards the crossing of a call and a close: the loop shuts a
// connection only from rest, in one step, and what is read after that is no call.
const (
	bitCall  = 1 << iota // from the first byte of a call to the last of its answer
	bitAhead             // bytes are read that no call was made of
	bitShut              // no call is taken any more
)

// conn is a client's connection.
type conn struct {
	nc       net.Conn
	out      chan *response
	answered chan bool // one token for each call answered; true: it was the last
	ex       *exchange // that it waits for
	gave     *exchange // whose path it was given last
	calls    int
	excess   bool // over the budget
	ending   bool // its last answer is given: what still comes is drained
	closed   bool
	due      float64      // until when its client is to call a path that it was given
	users    atomic.Int32 // goroutines that use it: the last gives its place back
	awaits   bool         // the reader's: an answer is waited for
	got      int          // the reader's: bytes that came
	arrivals []arrival    // the reader's: and when, of those that no call was made of
	now      func() float64
	state    atomic.Int32
	over     atomic.Bool // nothing is written any more

	quiet   atomic.Int64 // when it was accepted, or answered last, in the host's ms
	reading atomic.Int64 // when the message being read began; 0: none
	writing atomic.Int64 // and the answer being written. A deadline on each would cost a runtime timer each.
}

// arrival tells when the bytes before a place in the stream were there.
type arrival struct {
	upto int
	at   float64
}

// Limits bound what a request of a class may ask for.
type Limits struct {
	Name string
	Work float64 // ms on one core; more can't be done in time by any engine
	// Keyed: engines know a repeat by the client's idempotency key, so that a
	// request without one is malformed.
	Keyed bool
}

// Options are the front's settings.
type Options struct {
	Classes     []Limits
	Connections int // that are served at once
	MemoryMB    int // of the whole program; 0: not limited
	WaitMs      int // what Srv-Wait-Ms says where the front itself refuses
}

// New returns a front that serves the classes by name.
func New(host Host, o Options) *Front {
	f := &Front{host: host, classes: map[string]int{}, most: o.Connections, conns: map[*conn]bool{},
		slots: make(chan struct{}, o.Connections+o.Connections/4), open: map[string]*exchange{}, wait: o.WaitMs,
		limits: o.Classes, body: mostBody, ahead: mostAhead}
	f.Count.Wrong = map[string]int{}
	f.Count.Classes = make([]Outcomes, len(o.Classes))
	if o.MemoryMB > 0 {
		// Guards the memory where every connection sends as much as it may.
		f.body = min(mostBody, max(leastBody, o.MemoryMB<<20/8/max(1, cap(f.slots))))
		f.ahead = min(mostAhead, max(leastAhead, o.MemoryMB<<20/16/max(1, cap(f.slots))))
	}
	for i, c := range o.Classes {
		f.classes[c.Name] = i
	}
	host.After(sweepMs, f.sweep)
	return f
}

// sweep ends connections that have stood still for too long: a client that says
// nothing, never ends its message or never takes its answer is told so or
// closed, and holds no descriptor.
func (f *Front) sweep() {
	f.sweepConns()
	f.host.After(sweepMs, f.sweep)
}

func (f *Front) sweepConns() {
	now := f.host.Now()
	for c := range f.conns {
		began, quiet := float64(c.reading.Load()), float64(c.quiet.Load())
		if c.calls == 0 {
			began = quiet // dribbling does not prolong it
		}
		switch t := float64(c.writing.Load()); {
		case t > 0 && now-t > writeIn:
			f.Count.NotTaken++
			f.gone(c)
			c.nc.Close()
		case c.closed || c.ending:
		case c.reading.Load() > 0 && now-began > messageIn:
			f.Count.TooSlow++
			f.reject(c, &badCall{408, "the message does not end"})
		case now < c.due:
		case f.ends && (c.calls > 0 || now-quiet > quietFor), f.away && now-quiet > quietFor:
			f.shut(c, &f.Count.SentAway, shutFor)
		case c.calls == 0 && now-quiet > messageIn:
			f.shut(c, &f.Count.Silent, shutFor)
		case now-quiet > idleFor:
			f.shut(c, &f.Count.Idle, shutFor)
		}
	}
	for len(f.conns) > f.most && f.evict() {
	}
	for _, ex := range f.open {
		if f.ends && ex.conn == nil && !ex.done && now > ex.due {
			f.abandon(ex) // its client can't come back
		} else if ex.away && !ex.done && now > ex.due {
			ex.away = false
			f.host.Leave(ex.id) // what is out goes on, should it come back after all
		}
	}
}

// shut ends a connection that rests, and counts it; false where it doesn't rest.
// What lies unread counts as a call: where the program's core is taken, it may
// lie there for long. The client is told in the same step, and what still comes
// is read for a time.
func (f *Front) shut(c *conn, count *int, within time.Duration) bool {
	if lines.Pending(c.nc) || !c.state.CompareAndSwap(0, bitShut) {
		return false
	}
	*count++
	c.finish(within)
	f.gone(c)
	return true
}

// evict ends the connection that needs its place least, with nothing open on
// it: one that is answered and drained, one that has said nothing yet though a
// client's call comes at once, the one idle for longest, and last one whose
// message has long begun and does not end. It guards the places of those that
// call against those that stay for good and those that come by the hundred and
// say nothing, or half of something.
func (f *Front) evict() bool {
	now := f.host.Now()
	var passed []*conn // over: a call has come on them
	for {
		c, rank := f.leastNeeded(now, passed)
		switch {
		case c == nil:
			return false
		case rank == 0: // its answer has gone out, and the client has not closed yet
			f.gone(c)
			c.nc.SetReadDeadline(time.Now().Add(briefFor))
		case rank == 3: // it is told to come again, whatever still comes
			c.nc.SetWriteDeadline(time.Now().Add(briefFor))
			f.reply(c, &response{status: 503, waitMs: f.wait, body: errBody("Rejected"), last: true, within: briefFor})
			f.gone(c)
		default:
			within := briefFor
			if now-float64(c.quiet.Load()) > quietFor {
				within = 0 // what it was answered has arrived: nothing can be reset away
			}
			if n := 0; !f.shut(c, &n, within) {
				passed = append(passed, c)
				continue
			}
		}
		f.Count.Evicted++
		return true
	}
}

// leastNeeded returns the connection that needs its place least, and how little.
// It asks the system nothing: with hundreds of connections, and hundreds more
// that come, that would take the program's core.
func (f *Front) leastNeeded(now float64, passed []*conn) (worst *conn, rank int) {
	rank, since := 4, int64(0)
	for c := range f.conns {
		r, q, began := 2, c.quiet.Load(), c.reading.Load()
		if began > 0 && c.calls == 0 {
			began = q
		}
		switch {
		case c.closed || now < c.due || len(passed) > 0 && slices.Contains(passed, c):
			continue
		case c.ending:
			if c.writing.Load() > 0 || len(c.out) > 0 {
				continue
			}
			r = 0
		case began > 0 && now-float64(began) > quietFor:
			r, q = 3, began
		case c.state.Load() != 0:
			continue
		case c.calls == 0:
			if now-float64(q) <= quietFor {
				continue
			}
			r = 1
		}
		if r < rank || r == rank && q < since {
			worst, rank, since = c, r, q
		}
	}
	return worst, rank
}

// Relieve makes room where the system is out of descriptors: the connection that
// needs its place least goes.
func (f *Front) Relieve() { f.evict() }

// Serve accepts clients until the listener is closed. None waits in the backlog
// for long: what lies there unread counts as taken, before what comes after it
// on other connections.
func (f *Front) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			// Guards against running out of descriptors: the connection stays in
			// the backlog and is accepted when others have closed.
			f.host.Post(func() { f.Count.AcceptErrors++; f.Relieve() })
			time.Sleep(acceptGap)
			continue
		}
		f.Take(nc)
	}
}

// place waits for a place, and has another give its own up. Once none came free
// in time, those that come do not wait before one does: each would wait for all
// that came before.
func (f *Front) place() bool {
	f.placing.Lock()
	defer f.placing.Unlock()
	select {
	case f.slots <- struct{}{}:
		f.full = false
		return true
	default:
	}
	f.host.PostFirst(f.Relieve)
	if f.full {
		return false
	}
	timer := time.NewTimer(placeIn)
	defer timer.Stop()
	select {
	case f.slots <- struct{}{}:
		return true
	case <-timer.C:
		f.full = true
		return false
	}
}

// take serves a connection that has a place.
func (f *Front) take(nc net.Conn) {
	c := f.conn(nc)
	c.users.Store(2)
	f.host.Post(func() { f.accept(c) })
	go f.read(c)
	go f.write(c)
}

// Take serves a connection that was accepted, or closes it where no place comes
// free.
func (f *Front) Take(nc net.Conn) {
	if f.place() {
		f.take(nc)
		return
	}
	nc.Close()
	f.host.Post(func() { f.Count.NoPlace++ })
}

// Away sends clients away, or ends that: while it holds, the front says that it
// isn't healthy, each request's answer is the last on its connection, and idle
// connections are closed.
func (f *Front) Away(on bool) { f.away = on }

// Finish tells the front that no connection is taken any more: those that rest
// are shut, and each answer is the last on its connection, so that no call comes
// that the program's end would cut off.
func (f *Front) Finish() {
	f.ends = true
	for c := range f.conns {
		if c.ending {
			c.nc.SetReadDeadline(time.Now().Add(shutFor))
		}
	}
	f.sweepConns()
}

func (f *Front) conn(nc net.Conn) *conn {
	c := &conn{nc: nc, out: make(chan *response, 4), answered: make(chan bool, 4), now: f.host.Now}
	c.quiet.Store(int64(f.host.Now()))
	return c
}

// left notes that a goroutine is done with the connection. The last gives its
// place back.
func (f *Front) left(c *conn) {
	if c.users.Add(-1) == 0 {
		c.nc.Close()
		<-f.slots
	}
}

// mark sets bits of the state, unless the connection is shut.
func (c *conn) mark(bits int32) bool {
	for {
		old := c.state.Load()
		if old&bitShut != 0 {
			return false
		}
		if c.state.CompareAndSwap(old, old|bits) {
			return true
		}
	}
}

// unmark takes bits from the state and returns what it was.
func (c *conn) unmark(bits int32) int32 { return c.state.And(^bits) }

var (
	errShut  = errors.New("the connection is shut")
	errWoken = errors.New("an answer has been written")
)

// Read reads what the client sends; what comes once the connection is shut is
// dropped. The writer wakes a reader that may have a call at hand by a deadline
// that has passed.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.nc.Read(p)
		if n > 0 {
			if c.arrived(n); !c.mark(bitAhead) {
				return 0, errShut
			}
		}
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || c.over.Load() {
			return n, err
		}
		c.nc.SetReadDeadline(time.Time{})
		if c.over.Load() { // since then: its deadline must stand
			c.nc.SetReadDeadline(time.Now().Add(shutFor))
		}
		if c.awaits {
			return 0, errWoken
		}
	}
}

// arrived notes that bytes have come.
func (c *conn) arrived(n int) {
	c.got += n
	if now, k := c.now(), len(c.arrivals); k > 0 && now < c.arrivals[k-1].at+sameTime {
		c.arrivals[k-1].upto = c.got
	} else {
		c.arrivals = append(c.arrivals, arrival{c.got, now})
	}
}

// came is when the last byte was there before those that are left unused. It
// guards the deadline of a call sent ahead: its time starts at its last byte, not
// when the answer before it is given.
func (c *conn) came(left int) float64 {
	for len(c.arrivals) > 1 && c.arrivals[0].upto < c.got-left {
		c.arrivals = c.arrivals[1:]
	}
	return c.arrivals[0].at
}

// finish ends what is written on a connection. What still comes is read for a
// time: a close over unread bytes resets the connection, and the client could
// lose the answer.
func (c *conn) finish(within time.Duration) {
	if c.over.Swap(true) {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(within))
	if t, ok := c.nc.(*net.TCPConn); ok {
		t.CloseWrite()
	} else {
		c.nc.Close()
	}
}

func (f *Front) accept(c *conn) {
	f.Count.Connections++
	if c.closed {
		return
	}
	f.conns[c] = true
	for len(f.conns) > f.most && f.evict() {
	}
	c.excess = len(f.conns) > f.most
}

// read parses calls and hands them to the loop, one at a time.
func (f *Front) read(c *conn) {
	defer f.left(c)
	err := f.calls(c)
	f.host.PostFirst(func() { f.gone(c) })
	// Guards the place of one that has half closed and takes no answer.
	c.nc.SetWriteDeadline(time.Now().Add(time.Duration(writeIn) * time.Millisecond))
	if err == errShut {
		drain(c.nc)
	}
}

// calls takes calls until the connection ends or is shut.
func (f *Front) calls(c *conn) error {
	b := lines.New(c, mostHead)
	for {
		if err := b.Wait(); err != nil {
			return err
		}
		c.reading.Store(int64(f.host.Now()))
		if !c.mark(bitCall) {
			return errShut
		}
		msg, err := readCall(b, f.body)
		c.reading.Store(0)
		if b.Buffered() == 0 {
			c.unmark(bitAhead)
		}
		var wrong *badCall
		if errors.As(err, &wrong) {
			f.host.Post(func() { f.reject(c, wrong) })
		} else if err != nil {
			return err
		} else {
			msg.at = c.came(b.Buffered())
			f.host.Post(func() { f.call(c, msg) })
		}
		if last, err := f.await(c, b); err != nil {
			return err
		} else if last {
			// What is pipelined behind a last answer is not read as a call.
			c.finish(drainFor)
			return errShut
		}
	}
}

// await waits for the answer to a call, and reads on meanwhile: so the client's
// going is seen, behind whatever it has sent ahead. Of that a bounded part is
// kept; where more comes, the answer is the last.
func (f *Front) await(c *conn, b *lines.Buffer) (last bool, err error) {
	c.awaits = true
	defer func() { c.awaits = false }()
	flood := 0
	for {
		select {
		case last, ok := <-c.answered:
			if !ok {
				return false, errShut
			}
			return last || flood > 0, nil
		default:
		}
		if b.Buffered() < f.ahead {
			err = b.More()
		} else if flood < drainMost {
			p := junk.Get().(*[32 << 10]byte)
			var n int
			n, err = c.Read(p[:])
			flood += n
			junk.Put(p)
		} else {
			err = lines.ErrTooLong
		}
		if err != nil && err != errWoken {
			return false, err
		}
	}
}

var junk = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// drain takes in what is still on its way until the deadline that finish has
// set: closing at once would reset the connection, and a client that is still
// sending could lose the answer.
func drain(nc net.Conn) {
	p := junk.Get().(*[32 << 10]byte)
	defer junk.Put(p)
	for n := 0; n < drainMost; {
		k, err := nc.Read(p[:])
		if n += k; err != nil {
			return
		}
	}
}

// write sends what the loop queued. It ends when the loop closes the queue.
func (f *Front) write(c *conn) {
	defer f.left(c)
	for r := range c.out {
		c.writing.Store(int64(f.host.Now()))
		err := r.write(c.nc)
		c.writing.Store(0)
		if err != nil {
			c.nc.Close()
		} else if r.last {
			c.finish(r.within)
		}
		c.quiet.Store(int64(f.host.Now()))
		c.answered <- r.last || err != nil
		if c.unmark(bitCall)&bitAhead != 0 && !r.last {
			c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the reader: a call may be at hand
		}
	}
	close(c.answered)
	c.finish(shutFor)
}

// gone ends a connection. A request whose client has no path to come back by
// is abandoned with it.
func (f *Front) gone(c *conn) {
	f.drop(c)
	delete(f.conns, c)
}

func (f *Front) drop(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	close(c.out)
	if ex := c.ex; ex != nil {
		c.ex, ex.conn = nil, nil
		switch {
		case ex.done:
		case ex.path:
			f.unattended(ex)
		default:
			f.abandon(ex)
		}
	}
	if ex := c.gave; ex != nil && ex.giver == c && !ex.done {
		f.unattended(ex)
	}
}

// unattended notes that the connection of a client that has a path has gone. It
// may have gone with it, or make its call again on a new one at once: until that
// is known no attempt begins.
func (f *Front) unattended(ex *exchange) {
	f.Count.Away++
	ex.away, ex.giver = true, nil
	if now := f.host.Now(); ex.due == 0 || now <= ex.due {
		ex.due = now + callIn
	}
	f.host.Away(ex.id, true)
}

func (f *Front) abandon(ex *exchange) {
	delete(f.open, ex.id)
	if !ex.done {
		f.Count.Abandoned++
		f.host.Abandon(ex.id)
	}
}

// reply queues a response. The queue holds more than a client can wait for, so
// a full one means that the connection is of no use.
func (f *Front) reply(c *conn, r *response) {
	if c.closed {
		return
	}
	// The call of a path comes on the same connection.
	if r.poll != "" {
		c.due = f.host.Now() + callIn
	} else {
		r.last = r.last || f.away || f.ends
	}
	if f.ends {
		r.within = shutFor
	} else if r.within == 0 {
		r.within = drainFor
	}
	c.ex, c.ending = nil, r.last
	select {
	case c.out <- r:
	default:
		f.Count.LostWriters++
		f.drop(c)
	}
}

func (f *Front) reject(c *conn, wrong *badCall) {
	if c.ending {
		return
	}
	f.Count.Malformed++
	f.Count.Wrong[wrong.why]++
	f.reply(c, &response{status: wrong.status, body: errBody(wrong.why), last: true})
}

func (f *Front) call(c *conn, m *call) {
	f.Count.Calls++
	c.calls++
	c.due = 0
	switch {
	case c.closed || c.ending: // it was told that its message came too slowly
	case m.method == "GET" && m.path == "/-/healthy":
		status := 200
		if f.leaving || f.away {
			status = 503
		}
		f.reply(c, &response{status: status, body: []byte("{}"), last: m.last})
	case m.method == "GET" && m.path == "/-/counters":
		f.reply(c, &response{status: 200, body: f.host.Report(), last: m.last})
	case strings.HasPrefix(m.path, polls):
		f.poll(c, m)
	case strings.HasPrefix(m.path, prefix):
		if m.method != "POST" {
			f.reject(c, &badCall{405, "only POST"})
		} else if err := f.submit(c, m); err != nil {
			var wrong *badCall
			if !errors.As(err, &wrong) {
				wrong = &badCall{409, err.Error()}
			}
			if class, ok := f.classes[strings.TrimPrefix(m.path, prefix)]; ok {
				f.Count.Classes[class].Failed++
			}
			f.reject(c, wrong)
		}
	default:
		f.reject(c, &badCall{404, "no such path"})
	}
}

// request reads a request's fields. What is malformed never reaches an engine.
func (f *Front) request(m *call) (r core.Request, err error) {
	class, ok := f.classes[strings.TrimPrefix(m.path, prefix)]
	if !ok {
		return r, bad(404, "unknown class")
	}
	r.Class = class
	if r.ID, err = m.one("Req-Id"); err != nil {
		return r, err
	} else if !isID(r.ID) {
		return r, bad(400, "bad Req-Id")
	}
	text, err := m.one("Req-Wait-Ms")
	if err != nil {
		return r, err
	}
	wait, err := digits(text)
	if err != nil || wait <= 0 || wait > mostWait {
		return r, bad(400, "bad Req-Wait-Ms")
	}
	// Guards answers that are given at the last moment: on a busy core one may be
	// on its way for tens of milliseconds, and after the deadline it is lost.
	r.At, r.GiveUpAt = m.at, m.at+float64(wait)-min(onItsWay, float64(wait)/10)
	// Guards what the decisions learn: one figure out of range would outweigh a
	// day's true ones.
	if r.Work, err = m.amount("Req-Cost", f.limits[class].Work); err != nil {
		return r, err
	}
	if r.MemoryMB, err = m.amount("X-Mb", mostMB); err != nil {
		return r, err
	}
	if r.Key, err = m.one("Req-Key"); err != nil {
		return r, err
	}
	if len(r.Key) > mostKey {
		return r, bad(400, "bad Req-Key")
	}
	if len(m.body) == 0 {
		return r, bad(400, "no statement")
	}
	r.Dataset = statement.Group(string(m.body))
	return r, nil
}

func (f *Front) submit(c *conn, m *call) error {
	r, err := f.request(m)
	if err != nil {
		return err
	}
	key, err := m.idempotencyKey(f.limits[r.Class].Keyed)
	if err != nil {
		return err
	}
	f.Count.Requests++
	if c.excess {
		// Guards the budget of descriptors: a client over it is told to come back.
		f.Count.Overload++
		f.Count.Refused++
		f.Count.Classes[r.Class].Refused++
		f.reply(c, &response{status: 503, waitMs: f.wait, body: errBody("Rejected"), last: true})
		return nil
	}
	ex := &exchange{id: r.ID, class: r.Class}
	if f.open[r.ID] != nil {
		return bad(409, "Req-Id is in use")
	}
	f.open[r.ID] = ex
	f.hold(c, ex, 0)
	err = f.host.Submit(r, core.Query{Statement: m.body, IdempotencyKey: key}, func(a core.Answer, result any) { f.finish(ex, a, result) })
	if err != nil {
		delete(f.open, r.ID)
		c.ex, ex.conn = nil, nil
	}
	return err
}

// hold lets a call wait for news of its request.
func (f *Front) hold(c *conn, ex *exchange, next int) {
	ex.conn, ex.next, ex.giver, ex.due = c, next, nil, 0
	ex.calls++
	c.ex = ex
	id, calls := ex.id, ex.calls // and not the exchange: its rows must not live on for that long
	f.host.After(holdMs, func() {
		if ex := f.open[id]; ex != nil && ex.conn != nil && ex.calls == calls && !ex.done {
			c := ex.conn
			ex.conn, ex.path, ex.due = nil, true, f.host.Now()+callIn
			f.Count.Polls++
			c.gave, ex.giver = ex, c
			f.reply(c, &response{status: 200, poll: ex.pathTo(0)})
		}
	})
}

func (ex *exchange) pathTo(k int) string { return fmt.Sprintf("%s%s/%d", polls, ex.id, k) }

// finish takes the final answer and gives it to the call that waits for it.
func (f *Front) finish(ex *exchange, a core.Answer, result any) {
	ex.done = true
	class := &f.Count.Classes[ex.class]
	switch a.Outcome {
	case core.Served:
		f.Count.Served++
		class.Served++
		pages, _ := result.([][]byte)
		ex.chunks = chunks(pages)
	case core.Refused:
		f.Count.Refused++
		class.Refused++
		ex.final = response{status: 503, waitMs: int(math.Ceil(a.Wait)), body: errBody("Rejected")}
	default:
		f.Count.Failed++
		class.Failed++
		ex.final = response{status: 502, body: errBody("Failed")}
		if a.Late {
			ex.final = response{status: 504, body: errBody("Deadline")}
		}
	}
	if ex.conn != nil {
		f.give(ex)
	} else {
		f.keep(ex)
	}
}

// chunks groups pages into answers.
func chunks(pages [][]byte) (out [][][]byte) {
	size := chunk + 1
	for _, p := range pages {
		if size += len(p); size > chunk {
			out, size = append(out, nil), len(p)
		}
		out[len(out)-1] = append(out[len(out)-1], p)
	}
	if out == nil {
		out = [][][]byte{nil}
	}
	return out
}

// give answers the waiting call.
func (f *Front) give(ex *exchange) {
	c := ex.conn
	ex.conn = nil
	if ex.chunks == nil {
		r := ex.final
		f.reply(c, &r)
	} else {
		r := &response{status: 200, pages: ex.chunks[ex.next]}
		if ex.next+1 < len(ex.chunks) {
			r.poll, ex.path = ex.pathTo(ex.next+1), true
		}
		f.reply(c, r)
	}
	if !ex.path {
		delete(f.open, ex.id)
		return
	}
	f.keep(ex)
}

// keep keeps an answer for a call that is made again on a new connection, for
// a while and within a bound.
func (f *Front) keep(ex *exchange) {
	if !slices.Contains(f.kept, ex.id) {
		f.kept = append(f.kept, ex.id)
	}
	if len(f.kept) > mostKept {
		f.forget(f.kept[0])
	}
	calls := ex.calls
	f.host.After(keepMs, func() {
		if ex.calls == calls && f.open[ex.id] == ex {
			f.forget(ex.id)
		}
	})
}

func (f *Front) forget(id string) {
	f.kept = slices.DeleteFunc(f.kept, func(k string) bool { return k == id })
	if ex := f.open[id]; ex != nil && ex.done {
		delete(f.open, id)
	}
}

// poll is a call of a path that an earlier answer gave.
func (f *Front) poll(c *conn, m *call) {
	id, num, _ := strings.Cut(strings.TrimPrefix(m.path, polls), "/")
	k, err := digits(num)
	ex := f.open[id]
	if err != nil || ex == nil || ex.done && ex.chunks != nil && k >= len(ex.chunks) {
		f.reject(c, &badCall{404, "no such result"})
		return
	}
	switch m.method {
	case "GET":
		if old := ex.conn; old != nil {
			// The client makes its call again on a new connection: the old one is dead.
			ex.conn, old.ex = nil, nil
			f.drop(old)
		}
		if f.hold(c, ex, k); ex.away {
			ex.away = false
			f.host.Away(ex.id, false)
		}
		if ex.done {
			f.give(ex)
		}
	case "DELETE":
		if old := ex.conn; old != nil {
			ex.conn, old.ex = nil, nil
			f.drop(old)
		}
		f.abandon(ex)
		f.reply(c, &response{status: 200, body: []byte("{}"), last: m.last})
	default:
		f.reject(c, &badCall{405, "only GET or DELETE"})
	}
}

// Leave tells the front that the program is about to end.
func (f *Front) Leave() { f.leaving = true }

// Idle reports whether nothing is owed to any client and every connection has
// ended; no more are taken by then.
func (f *Front) Idle() bool {
	for _, ex := range f.open {
		if !ex.done || ex.conn != nil {
			return false
		}
	}
	return len(f.conns) == 0
}
