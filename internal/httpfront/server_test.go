package httpfront

import (
	"net"
	"testing"

	"dewhill/internal/dispatch"
)

// fakeLoop is an event loop whose clock and timers the test drives.
type fakeLoop struct {
	now          float64
	timers       []func()
	respond      map[string]func(dispatch.Response, any)
	submitted    map[string]dispatch.Request
	abandoned    []string
	disconnected map[string]bool
	detached     []string
}

func (loop *fakeLoop) Post(f func())              { f() }
func (loop *fakeLoop) PostUrgent(f func())        { f() }
func (loop *fakeLoop) Now() float64               { return loop.now }
func (loop *fakeLoop) After(ms float64, f func()) { loop.timers = append(loop.timers, f) }
func (loop *fakeLoop) AbandonRequest(id string)   { loop.abandoned = append(loop.abandoned, id) }
func (loop *fakeLoop) CountersJSON() []byte       { return []byte("{}") }
func (loop *fakeLoop) SetClientDisconnected(id string, disconnected bool) {
	loop.disconnected[id] = disconnected
}
func (loop *fakeLoop) DetachRequest(id string) { loop.detached = append(loop.detached, id) }
func (loop *fakeLoop) Submit(r dispatch.Request, w any, respond func(dispatch.Response, any)) error {
	loop.respond[r.ID] = respond
	if loop.submitted == nil {
		loop.submitted = map[string]dispatch.Request{}
	}
	loop.submitted[r.ID] = r
	return nil
}

func (loop *fakeLoop) runTimers() {
	list := loop.timers
	loop.timers = nil
	for _, f := range list {
		f()
	}
}

// testOptions configure a server with one class of requests.
var testOptions = Options{Classes: []ClassLimits{{Name: "lookup", MaxWorkMS: 1e6}}, MaxConnections: 10, RetryAfterMS: 500}

// newFakeServer returns a server, its event loop, and a function that connects a client.
func newFakeServer() (*fakeLoop, *Server, func() *connection) {
	loop := &fakeLoop{now: 1000, respond: map[string]func(dispatch.Response, any){}, disconnected: map[string]bool{}}
	server := New(loop, testOptions)
	return loop, server, func() *connection {
		socket, _ := net.Pipe()
		c := server.newConnection(socket)
		server.register(c)
		return c
	}
}

const testID = "00000000000000aa"

func submit(server *Server, c *connection) {
	server.handle(c, &request{method: "POST", path: "/api/v2/lookup", fields: map[string][]string{"Req-Id": {testID}, "Req-Wait-Ms": {"9000"}}, body: []byte("x")})
}

// submitSlow submits a request that is not completed before the poll timer, and returns
// the poll path that its client is sent.
func submitSlow(loop *fakeLoop, server *Server, c *connection) (path string) {
	submit(server, c)
	loop.runTimers()
	return (<-c.responses).pollPath
}

func get(server *Server, c *connection, method, path string) {
	server.handle(c, &request{method: method, path: path})
}

// TestPollOnNewConnection checks that the client of a request that takes long is sent a
// poll path, and that polls repeated on new connections receive the response until it is
// released.
func TestPollOnNewConnection(t *testing.T) {
	loop, server, dial := newFakeServer()
	a := dial()
	submit(server, a)
	loop.runTimers() // no response before the poll timer
	r := <-a.responses
	if r.pollPath != "/polls/"+testID+"/0" || r.pages != nil {
		t.Fatalf("response %+v, want a poll path and no pages", r)
	}
	get(server, a, "GET", r.pollPath)
	server.removeConnection(a) // the connection breaks before the response; the client has a poll path
	if len(loop.abandoned) != 0 {
		t.Fatal("the request was abandoned although its client has a poll path")
	}
	b := dial()
	get(server, b, "GET", r.pollPath)
	loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{[]byte("a\tb\tc\n")})
	for range 2 { // the second poll repeats the first
		if got := <-b.responses; got.status != 200 || len(got.pages) != 1 || got.pollPath != "" {
			t.Fatalf("response %+v, want status 200, one page and no poll path", got)
		}
		b = dial()
		get(server, b, "GET", r.pollPath)
	}
	<-b.responses
	loop.runTimers()
	if len(server.exchanges) != 0 || len(server.retained) != 0 {
		t.Errorf("%d exchanges open and %d retained, want none", len(server.exchanges), len(server.retained))
	}
}

// TestAbandon checks that a request is abandoned by DELETE and by a disconnect before its
// client has a poll path.
func TestAbandon(t *testing.T) {
	loop, server, dial := newFakeServer()
	a := dial()
	submit(server, a)
	server.removeConnection(a)
	if len(loop.abandoned) != 1 {
		t.Error("a disconnect did not abandon the request")
	}
	a = dial()
	path := submitSlow(loop, server, a)
	get(server, a, "GET", path)
	b := dial()
	get(server, b, "DELETE", path)
	if len(loop.abandoned) != 2 || !a.closed || (<-b.responses).status != 200 || len(server.exchanges) != 0 {
		t.Errorf("DELETE: abandoned %v, %d exchanges open", loop.abandoned, len(server.exchanges))
	}
}

// TestChunks checks that a long result is sent in several responses, with each page in
// exactly one of them.
func TestChunks(t *testing.T) {
	loop, server, dial := newFakeServer()
	c := dial()
	submit(server, c)
	page := make([]byte, 40<<10)
	loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{page, page, page})
	n := 0
	for r := <-c.responses; ; r = <-c.responses {
		n += len(r.pages)
		if r.pollPath == "" {
			break
		}
		get(server, c, "GET", r.pollPath)
	}
	if n != 3 {
		t.Errorf("received %d pages, want 3", n)
	}
}

// isClosed reports whether the server has closed the connection. It panics if the reader
// of a closed connection would still accept a message.
func isClosed(c *connection) bool {
	if c.closed && !c.ending && c.setState(stateUnparsed) {
		panic("a closed connection would still accept a message")
	}
	return c.closed
}

// TestEvictionOrder checks the order of eviction: first a connection whose last response
// is written, then a connection without any message for a while, then the longest idle
// connection, then a connection with an incomplete message. A connection with an open
// request is never evicted.
func TestEvictionOrder(t *testing.T) {
	loop, server, dial := newFakeServer()
	var all []*connection
	for k := range 10 {
		c := dial()
		c.idleSinceMS.Store(int64(1000 + k))
		c.requestCount = 1
		all = append(all, c)
	}
	all[0].setState(stateRequest)
	all[5].requestCount = 0
	all[7].ending = true
	all[8].setState(stateRequest) // its message stays incomplete
	all[8].readStartedMS.Store(1000)
	loop.now += 2 * evictableAfterMS
	for k, want := range []int{7, 5, 1, 2} {
		if next := dial(); next.overLimit {
			t.Errorf("connection %d is over the limit", k)
		} else {
			next.setState(stateRequest)
		}
		if !isClosed(all[want]) {
			t.Errorf("new connection %d: connection %d was not closed", k, want)
		}
	}
	for _, k := range []int{0, 3, 4, 6, 8, 9} {
		if isClosed(all[k]) {
			t.Errorf("connection %d was closed", k)
		}
		all[k].setState(stateRequest)
	}
	if c := dial(); c.overLimit || !isClosed(all[8]) || (<-all[8].responses).status != 503 {
		t.Error("a connection with an incomplete message was not evicted with status 503")
	} else {
		c.setState(stateRequest)
	}
	if c := dial(); !c.overLimit {
		t.Error("with all slots busy, an additional connection is not over the limit")
	}
	if len(server.connections) != 11 {
		t.Errorf("%d connections, want 10 and one over the limit", len(server.connections))
	}
}

// TestStalledConnectionsAreClosed checks that connections without any message are closed,
// that clients with an incomplete message receive a 408, and that idle connections stay
// open for idleTimeoutMS, which is longer than clients keep them.
func TestStalledConnectionsAreClosed(t *testing.T) {
	loop, server, dial := newFakeServer()
	silent := dial()
	slow := dial()
	idle := dial()
	expired := dial()
	slow.setState(stateRequest)
	slow.readStartedMS.Store(1500)
	idle.requestCount = 1
	expired.requestCount = 1
	idle.idleSinceMS.Store(2000)
	loop.now += requestTimeoutMS + 1
	loop.runTimers()
	if r := <-slow.responses; r.status != 408 || !r.closeAfter || !isClosed(silent) || isClosed(idle) || isClosed(expired) {
		t.Errorf("response %+v; closed: silent %v, idle %v, expired %v", r, isClosed(silent), isClosed(idle), isClosed(expired))
	}
	server.handle(slow, &request{method: "GET", path: "/-/healthy"}) // its message is completed after the response
	if len(slow.responses) != 0 {
		t.Error("a second response was sent")
	}
	loop.now = 1000 + idleTimeoutMS + 1
	loop.runTimers()
	if isClosed(idle) || !isClosed(expired) {
		t.Errorf("closed: idle %v, expired %v; want false, true", isClosed(idle), isClosed(expired))
	}
	if c := server.Counters; c.ClosedNoMessage != 1 || c.ClosedSlow != 1 || c.ClosedIdle != 1 {
		t.Errorf("counters %+v, want ClosedNoMessage, ClosedSlow and ClosedIdle 1", c)
	}
}
