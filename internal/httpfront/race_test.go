package httpfront

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"dewhill/internal/dispatch"
	"dewhill/internal/testprocess"
)

// steppedLoop is an event loop that queues posted functions until the test runs them.
type steppedLoop struct {
	fakeLoop
	posted chan func()
	clock  atomic.Int64
}

func (loop *steppedLoop) Post(f func())       { loop.posted <- f }
func (loop *steppedLoop) PostUrgent(f func()) { loop.posted <- f }
func (loop *steppedLoop) Now() float64        { return float64(loop.clock.Load()) }

// runPosted runs queued and later posted functions. It does not return.
func (loop *steppedLoop) runPosted() {
	for post := range loop.posted {
		post()
	}
}

func newSteppedLoop() *steppedLoop {
	loop := &steppedLoop{fakeLoop: fakeLoop{respond: map[string]func(dispatch.Response, any){}, disconnected: map[string]bool{}}, posted: make(chan func(), 64)}
	loop.clock.Store(1000)
	return loop
}

// newServedConnection returns a server with one connection on a real socket, whose
// goroutines are running, and the client's end of the connection.
func newServedConnection(t *testing.T) (*steppedLoop, *Server, *connection, *net.TCPConn) {
	t.Helper()
	loop := newSteppedLoop()
	server := New(loop, testOptions)
	client, socket := testprocess.ConnectedPair(t)
	_ = client.SetDeadline(time.Now().Add(time.Minute))
	server.slots <- struct{}{}
	c := server.newConnection(socket)
	c.goroutines.Store(2)
	server.register(c)
	go server.readLoop(c)
	go server.writeLoop(c)
	return loop, server, c, client.(*net.TCPConn)
}

const requestMessage = "POST /api/v2/lookup HTTP/1.1\r\nReq-Id: " + testID + "\r\nReq-Wait-Ms: 9000\r\nContent-Length: 1\r\n\r\nx"

// TestRequestWhileConnectionCloses checks that a request that arrives just after its
// connection is closed is not accepted and its client sees an orderly close. A request
// that has begun to arrive before is accepted, and its connection is not closed.
func TestRequestWhileConnectionCloses(t *testing.T) {
	loop, server, c, client := newServedConnection(t)
	if n := 0; !server.closeIfIdle(c, &n, closeLinger) || n != 1 {
		t.Fatal("an idle connection was not closed")
	}
	_, _ = io.WriteString(client, requestMessage)
	if n, err := client.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the client reads %d bytes, error %v; want EOF", n, err)
	}
	_ = client.Close()
	(<-loop.posted)() // removes the connection; nothing else has been posted
	if len(loop.respond) != 0 || server.Counters.Messages != 0 {
		t.Error("a request that arrived after the close was accepted")
	}

	loop, server, c, client = newServedConnection(t)
	_, _ = io.WriteString(client, requestMessage[:10])
	for c.state.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := 0; server.closeIfIdle(c, &n, closeLinger) || n != 0 {
		t.Error("a connection with a half-read request was closed")
	}
	_, _ = io.WriteString(client, requestMessage[10:])
	(<-loop.posted)()
	if len(loop.respond) != 1 {
		t.Error("a request that arrived before the close was not accepted")
	}
}

// TestResponseSurvivesTheClose checks that a client that reads slowly and keeps sending
// after its last response still receives the whole response.
func TestResponseSurvivesTheClose(t *testing.T) {
	loop, server, c, client := newServedConnection(t)
	server.SetDraining(true)
	_, _ = io.WriteString(client, requestMessage)
	(<-loop.posted)()
	page := []byte(strings.Repeat("a\tb\tc\n", 20<<10))
	loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{page})
	_, _ = client.Read(make([]byte, 1)) // the response has begun to arrive
	for !c.writeClosed.Load() {         // the whole response is written
		time.Sleep(time.Millisecond)
	}
	go loop.runPosted()
	for range 64 {
		if _, err := io.WriteString(client, strings.Repeat("y", 16<<10)); err != nil {
			t.Fatalf("the connection was reset while the client was still sending: %v", err)
		}
	}
	all, err := io.ReadAll(bufio.NewReader(client))
	if err != nil || !strings.HasSuffix(string(all), `["a","b","c"]]}`) {
		t.Errorf("incomplete response of %d bytes, error %v", len(all), err)
	}
}

// TestStopAcceptingWaitsForThePoll checks that a server that shuts down waits for the
// poll of a client with a poll path, for a limited time. An idle connection is closed
// at once, a new one after evictableAfterMS.
func TestStopAcceptingWaitsForThePoll(t *testing.T) {
	loop, server, dial := newFakeServer()
	a := dial()
	idle := dial()
	fresh := dial()
	idle.requestCount = 1
	path := submitSlow(loop, server, a)
	a.clearState(stateRequest)
	loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{[]byte("a\tb\tc\n")})
	server.StopAccepting()
	if !isClosed(idle) || isClosed(a) || isClosed(fresh) || server.Idle() {
		t.Fatalf("closed: idle %v, with poll path %v, fresh %v; server idle %v", isClosed(idle), isClosed(a), isClosed(fresh), server.Idle())
	}
	get(server, a, "GET", path)
	if r := <-a.responses; r.status != 200 || len(r.pages) != 1 || !r.closeAfter {
		t.Errorf("response %+v, want status 200, one page and a close", r)
	}
	server.removeConnection(a)
	loop.now += evictableAfterMS + 1
	loop.runTimers()
	if !isClosed(fresh) || !server.Idle() {
		t.Errorf("fresh connection closed %v, server idle %v", isClosed(fresh), server.Idle())
	}

	loop, server, dial = newFakeServer()
	a = dial()
	submitSlow(loop, server, a)
	server.StopAccepting()
	loop.now += pollTimeoutMS + 1
	loop.runTimers() // the client does not poll
	if len(loop.abandoned) != 1 || !isClosed(a) || !server.Idle() {
		t.Errorf("abandoned %v, closed %v, server idle %v", loop.abandoned, isClosed(a), server.Idle())
	}
}

// TestArrivalOfAPipelinedRequest checks that the deadline of a pipelined request counts
// from the arrival of its last byte, not from the response to the previous request.
func TestArrivalOfAPipelinedRequest(t *testing.T) {
	loop, _, c, client := newServedConnection(t)
	_, _ = io.WriteString(client, requestMessage)
	(<-loop.posted)()
	loop.clock.Store(2000)
	next := strings.Replace(requestMessage, testID, "00000000000000bb", 1)
	_, _ = io.WriteString(client, next)
	for c.state.Load()&stateUnparsed == 0 {
		time.Sleep(time.Millisecond)
	}
	loop.clock.Store(9000)
	loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Rejected}, nil)
	(<-loop.posted)()
	if r := loop.submitted["00000000000000bb"]; r.ArrivedAtMS != 2000 || r.DeadlineAtMS > 2000+9000 {
		t.Errorf("arrived at %v, deadline at %v; want arrival at 2000", r.ArrivedAtMS, r.DeadlineAtMS)
	}
}

// TestIncompleteRequestsAreEvicted checks that a new client is served while clients with
// incomplete messages hold every slot, before any of their connections has timed out,
// and that an evicted client receives a 503 that asks it to retry. If the new connection
// stayed in the backlog, its request would count as accepted before later requests on
// other connections.
func TestIncompleteRequestsAreEvicted(t *testing.T) {
	loop := newSteppedLoop()
	server := New(loop, testOptions)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go server.Serve(l)
	dial := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(time.Minute))
		_, _ = io.WriteString(c, text)
		return c
	}
	half := requestMessage[:len(requestMessage)-3]
	var halves []net.Conn
	for len(halves) < cap(server.slots) {
		halves = append(halves, dial(half))
		(<-loop.posted)()
		for c := range server.connections {
			for c.readStartedMS.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
		}
	}
	loop.clock.Add(evictableAfterMS + 1)
	dial(requestMessage)
	for len(loop.submitted) == 0 {
		select {
		case post := <-loop.posted:
			post()
		case <-time.After(20 * time.Second):
			t.Fatal("the request of the new client was not read within 20 s")
		}
	}
	if server.Counters.ClosedSlow != 0 || server.Counters.Evicted == 0 || server.Counters.NoSlot != 0 {
		t.Errorf("counters %+v, want Evicted above 0, ClosedSlow and NoSlot 0", server.Counters)
	}
	go loop.runPosted()
	notified := make(chan bool, len(halves))
	for _, c := range halves {
		go func() {
			text, err := io.ReadAll(c)
			notified <- err == nil && strings.HasPrefix(string(text), "HTTP/1.1 503 ")
		}()
	}
	if !<-notified {
		t.Error("an evicted client got no response")
	}
}

// TestNoFreeSlot checks that connections are closed if no slot becomes free, and that
// later connections do not wait as long as the first.
func TestNoFreeSlot(t *testing.T) {
	loop := newSteppedLoop()
	server := New(loop, Options{MaxConnections: 10})
	for range cap(server.slots) {
		server.slots <- struct{}{}
	}
	go loop.runPosted()
	ours, theirs := net.Pipe()
	go server.ServeConn(ours)
	_ = theirs.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := theirs.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the first connection: error %v, want EOF", err)
	}
	begun := time.Now()
	const others = 400
	for range others {
		if server.acquireSlot() {
			t.Fatal("acquired a slot although none is free")
		}
	}
	if took := time.Since(begun); took > others*slotTimeout/2 {
		t.Errorf("%d later connections took %v, want at most %v", others, took, others*slotTimeout/2)
	}
	<-server.slots
	if !server.acquireSlot() || server.noSlotFree {
		t.Error("no slot acquired after one was freed")
	}
}

// TestNoAttemptUntilDisconnectedClientPolls checks that the event loop is notified when
// a client with a poll path disconnects, whether it had polled or not, so that no attempt
// begins; that the notice is withdrawn once the client polls on a new connection; and
// that the request is detached if the client does not poll within pollTimeoutMS.
func TestNoAttemptUntilDisconnectedClientPolls(t *testing.T) {
	for _, polled := range []bool{false, true} {
		loop, server, dial := newFakeServer()
		a := dial()
		path := submitSlow(loop, server, a)
		if polled {
			get(server, a, "GET", path)
		}
		server.removeConnection(a)
		if !loop.disconnected[testID] {
			t.Errorf("polled %v: the disconnect was not reported", polled)
		}
		b := dial()
		get(server, b, "GET", path)
		if loop.disconnected[testID] {
			t.Errorf("polled %v: the disconnect was not withdrawn after a poll", polled)
		}
		server.removeConnection(b)
		loop.now += pollTimeoutMS - 1
		server.closeTimedOut()
		if len(loop.detached) != 0 {
			t.Errorf("polled %v: detached before pollTimeoutMS", polled)
		}
		loop.now += 2
		server.closeTimedOut()
		server.closeTimedOut()
		if len(loop.detached) != 1 || len(loop.abandoned) != 0 {
			t.Errorf("polled %v: detached %v, abandoned %v", polled, loop.detached, loop.abandoned)
		}
	}
	// The old connection may end after the poll on a new connection.
	loop, server, dial := newFakeServer()
	a, b := dial(), dial()
	get(server, b, "GET", submitSlow(loop, server, a))
	server.removeConnection(a)
	if loop.disconnected[testID] || server.Counters.DisconnectedWithPollPath != 0 {
		t.Error("reported as disconnected although its poll waits on a new connection")
	}
}
