// Package rest is the platform's front: it takes requests over HTTP/1.1 and
// gives their answers. It decides nothing about them.
package rest

import (
	"errors"
	"fmt"
	"math"
	"net"
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
	Now() float64
	Submit(r core.Request, work any, answer func(core.Answer, any)) error
	Abandon(id string)
	After(ms float64, f func())
	Report() []byte
}

// Counters count what the front takes in and answers.
type Counters struct {
	Connections, Calls, Requests, Malformed, Overload, Abandoned int
	Served, Refused, Failed, Polls, LostWriters                  int
	AcceptErrors                                                 int
	Silent, TooSlow, NotTaken, Idle, Evicted, SentAway           int            // connections closed by the front, by cause
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

	sweepMs   = 100.0
	messageIn = 2000.0                // ms for a message to come in whole, the first of a connection from its accept on
	writeIn   = 5000.0                // and for an answer to be taken
	idleFor   = 5000.0                // and without a call: clients close after 4 s themselves
	quietFor  = 250.0                 // and without a first message before the place may go to another
	drainFor  = 2 * time.Second       // that is still read after the last answer
	drainMost = 128 << 20             // and how much
	acceptGap = 10 * time.Millisecond // between tries to accept where descriptors are short
)

// Front is the state of the front. Only the loop's goroutine touches it.
type Front struct {
	host    Host
	classes map[string]int
	most    int           // client connections that are served; a few more are told to come back
	slots   chan struct{} // one token for each connection that holds a descriptor
	body    int           // largest body
	limits  []Limits
	Count   Counters
	conns   map[*conn]bool
	open    map[string]*exchange
	kept    []string // ids of exchanges whose answer is kept, oldest first
	leaving bool
	away    bool // clients are sent away
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
}

// conn is a client's connection.
type conn struct {
	nc       net.Conn
	out      chan *response
	answered chan bool // one token for each call answered; true: it was the last
	ex       *exchange // that it waits for
	calls    int
	excess   bool // over the budget
	ending   bool // its last answer is given: what still comes is drained
	closed   bool
	shut     func() // closes the connection and gives its place back, once

	busy    atomic.Bool  // from the first byte of a call to the last of its answer
	quiet   atomic.Int64 // when it was accepted, or answered last, in the host's ms
	reading atomic.Int64 // when the message being read began; 0: none
	writing atomic.Int64 // and the answer being written. A deadline on each would cost a runtime timer each.
}

// Limits bound what a request of a class may ask for.
type Limits struct {
	Name string
	Work float64 // ms on one core; more can't be done in time by any engine
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
		limits: o.Classes, body: mostBody}
	f.Count.Wrong = map[string]int{}
	f.Count.Classes = make([]Outcomes, len(o.Classes))
	if o.MemoryMB > 0 {
		// Guards the memory where every connection sends as much as it may.
		f.body = min(mostBody, max(leastBody, o.MemoryMB<<20/8/max(1, cap(f.slots))))
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
	now := f.host.Now()
	for c := range f.conns {
		began, quiet := float64(c.reading.Load()), float64(c.quiet.Load())
		if c.calls == 0 {
			began = quiet // dribbling does not prolong it
		}
		switch t := float64(c.writing.Load()); {
		case t > 0 && now-t > writeIn:
			f.Count.NotTaken++
			f.end(c)
		case c.closed || c.ending:
		case c.reading.Load() > 0 && now-began > messageIn:
			f.Count.TooSlow++
			f.reject(c, &badCall{408, "the message does not end"})
		case c.busy.Load():
		case f.away && now-quiet > quietFor && !lines.Pending(c.nc):
			f.Count.SentAway++
			f.end(c)
		case c.calls == 0 && now-quiet > messageIn:
			f.Count.Silent++
			f.end(c)
		case now-quiet > idleFor && !lines.Pending(c.nc):
			f.Count.Idle++
			f.end(c)
		}
	}
	for len(f.conns) > f.most && f.evict() {
	}
	f.host.After(sweepMs, f.sweep)
}

// evict closes the connection that needs its place least, with nothing open on
// it: one that is answered and drained, one that has said nothing yet though a
// client's call comes at once, the one idle for longest. It guards the places
// of those that call against those that stay for good and those that come by
// the hundred and say nothing.
func (f *Front) evict() bool {
	var worst *conn
	rank, since := 3, int64(0)
	now := f.host.Now()
	for c := range f.conns {
		r, q := 2, c.quiet.Load()
		switch {
		case c.closed || c.busy.Load() || lines.Pending(c.nc):
			continue
		case c.ending:
			r = 0
		case c.calls == 0 && now-float64(q) > quietFor:
			r = 1
		case c.calls == 0:
			continue
		}
		if r < rank || r == rank && q < since {
			worst, rank, since = c, r, q
		}
	}
	if worst == nil {
		return false
	}
	f.Count.Evicted++
	f.end(worst)
	return true
}

// Serve accepts clients until the listener is closed. Where no place is left,
// connections wait in the backlog: closed unheard, their requests would fail.
func (f *Front) Serve(l net.Listener) {
	for {
		f.slots <- struct{}{}
		nc, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil {
			// Guards against running out of descriptors: the connection stays in
			// the backlog and is accepted when others have closed.
			<-f.slots
			f.host.Post(func() { f.Count.AcceptErrors++ })
			time.Sleep(acceptGap)
			continue
		}
		f.take(nc)
	}
}

// take serves a connection that has a place.
func (f *Front) take(nc net.Conn) {
	c := f.conn(nc)
	f.host.Post(func() { f.accept(c) })
	go f.read(c)
	go f.write(c)
}

// Take serves a connection that was accepted elsewhere. It waits for a place.
func (f *Front) Take(nc net.Conn) {
	f.slots <- struct{}{}
	f.take(nc)
}

// Away sends clients away, or ends that: while it holds, the front says that it
// isn't healthy, each request's answer is the last on its connection, and idle
// connections are closed.
func (f *Front) Away(on bool) { f.away = on }

func (f *Front) conn(nc net.Conn) *conn {
	c := &conn{nc: nc, out: make(chan *response, 4), answered: make(chan bool, 4)}
	c.quiet.Store(int64(f.host.Now()))
	c.shut = sync.OnceFunc(func() { nc.Close(); <-f.slots })
	return c
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

// read parses calls and hands them to the loop, one at a time. While a call is
// open it waits for the next byte, and so sees the client close.
func (f *Front) read(c *conn) {
	b := lines.New(c.nc, mostHead)
	defer f.host.Post(func() { f.gone(c) })
	for {
		if b.Wait() != nil {
			return
		}
		c.busy.Store(true)
		c.reading.Store(int64(f.host.Now()))
		msg, err := readCall(b, f.body)
		c.reading.Store(0)
		var wrong *badCall
		if errors.As(err, &wrong) {
			f.host.Post(func() { f.reject(c, wrong) })
		} else if err != nil {
			return
		} else {
			msg.at = f.host.Now()
			f.host.Post(func() { f.call(c, msg) })
			if b.Wait() != nil {
				return
			}
		}
		// What is pipelined behind a last answer is not read as a call.
		if last, ok := <-c.answered; !ok {
			return
		} else if last {
			drain(c.nc)
			return
		}
	}
}

var junk = sync.Pool{New: func() any { return new([32 << 10]byte) }}

// drain takes in what is still on its way until the deadline that write has
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
	for r := range c.out {
		c.writing.Store(int64(f.host.Now()))
		err := r.write(c.nc)
		c.writing.Store(0)
		if t, ok := c.nc.(*net.TCPConn); ok && r.last && err == nil {
			t.SetReadDeadline(time.Now().Add(drainFor)) // ends drain, and a message that is being read
			t.CloseWrite()
		}
		if err != nil {
			c.shut()
		}
		c.quiet.Store(int64(f.host.Now()))
		c.busy.Store(false)
		c.answered <- r.last || err != nil
	}
	close(c.answered)
	c.shut()
}

// end closes a connection of the front's own accord.
func (f *Front) end(c *conn) {
	f.gone(c)
	c.shut()
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
		if !ex.path && !ex.done {
			f.abandon(ex)
		}
	}
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
	r.last = r.last || f.away && r.poll == ""
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
	if len(r.Key) > 256 {
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
	err = f.host.Submit(r, m.body, func(a core.Answer, result any) { f.finish(ex, a, result) })
	if err != nil {
		delete(f.open, r.ID)
		c.ex, ex.conn = nil, nil
	}
	return err
}

// hold lets a call wait for news of its request.
func (f *Front) hold(c *conn, ex *exchange, next int) {
	ex.conn, ex.next = c, next
	ex.calls++
	c.ex = ex
	id, calls := ex.id, ex.calls // and not the exchange: its rows must not live on for that long
	f.host.After(holdMs, func() {
		if ex := f.open[id]; ex != nil && ex.conn != nil && ex.calls == calls && !ex.done {
			c := ex.conn
			ex.conn, ex.path = nil, true
			f.Count.Polls++
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
		f.hold(c, ex, k)
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

// Idle reports whether nothing is owed to any client.
func (f *Front) Idle() bool {
	for c := range f.conns {
		// Where clients are sent away, each connection is closed or has its last
		// answer before the program ends: one just accepted may carry a request.
		if !c.closed && (c.busy.Load() || f.away && !c.ending) {
			return false
		}
	}
	for _, ex := range f.open {
		if !ex.done || ex.conn != nil {
			return false
		}
	}
	return true
}
