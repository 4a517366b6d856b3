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

// steppedLoop is an event loop whose posted functions wait until the test runs them.
type steppedLoop struct {
	fakeLoop
	posted chan func()
	clock  atomic.Int64
}

func (loop *steppedLoop) Post(f func())       { loop.posted <- f }
func (loop *steppedLoop) PostUrgent(f func()) { loop.posted <- f }
func (loop *steppedLoop) Now() float64        { return float64(loop.clock.Load()) }

// runPosted runs what is posted from here on.
func (loop *steppedLoop) runPosted() {
	for post := range loop.posted {
		post()
	}
}

func newSteppedLoop() *steppedLoop {
	loop := &steppedLoop{fakeLoop: fakeLoop{answers: map[string]func(dispatch.Response, any){}, disconnected: map[string]bool{}}, posted: make(chan func(), 64)}
	loop.clock.Store(1000)
	return loop
}

// newServedConnection returns a server with one connection of a real socket, whose
// goroutines run, and the client's end of it.
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

const message = "POST /api/v2/lookup HTTP/1.1\r\nReq-Id: " + testID + "\r\nReq-Wait-Ms: 9000\r\nContent-Length: 1\r\n\r\nx"

// TestRequestWhileConnectionCloses checks that a request that arrives just after its connection is
// closed is not taken, and its client sees an orderly close; one that arrived before is
// taken, and the connection is not closed.
func TestRequestWhileConnectionCloses(t *testing.T) {
	loop, server, c, client := newServedConnection(t)
	if n := 0; !server.closeIfIdle(c, &n, closeLinger) || n != 1 {
		t.Fatal("an idle connection is not closed")
	}
	_, _ = io.WriteString(client, message)
	if n, err := client.Read(make([]byte, 1)); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("the client reads %d bytes, %v", n, err)
	}
	_ = client.Close()
	(<-loop.posted)() // its end; nothing else was posted before
	if len(loop.answers) != 0 || server.Counters.Messages != 0 {
		t.Error("a request that arrived after the close was taken")
	}

	loop, server, c, client = newServedConnection(t)
	_, _ = io.WriteString(client, message[:10])
	for c.state.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	if n := 0; server.closeIfIdle(c, &n, closeLinger) || n != 0 {
		t.Error("a connection with a half-read request was closed")
	}
	_, _ = io.WriteString(client, message[10:])
	(<-loop.posted)()
	if len(loop.answers) != 1 {
		t.Error("a request that arrived before was not taken")
	}
}

// TestResponseSurvivesTheClose checks that a client that reads slowly, and goes on
// sending after its last response, gets the complete response all the same.
func TestResponseSurvivesTheClose(t *testing.T) {
	loop, server, c, client := newServedConnection(t)
	server.SetDraining(true)
	_, _ = io.WriteString(client, message)
	(<-loop.posted)()
	page := []byte(strings.Repeat("a\tb\tc\n", 20<<10))
	loop.answers[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{page})
	_, _ = client.Read(make([]byte, 1)) // it has begun to arrive
	for !c.writeClosed.Load() {         // all is written
		time.Sleep(time.Millisecond)
	}
	go loop.runPosted()
	for range 64 {
		if _, err := io.WriteString(client, strings.Repeat("y", 16<<10)); err != nil {
			t.Fatalf("the connection is reset under a client that goes on sending: %v", err)
		}
	}
	all, err := io.ReadAll(bufio.NewReader(client))
	if err != nil || !strings.HasSuffix(string(all), `["a","b","c"]]}`) {
		t.Errorf("the response, %d bytes: %v", len(all), err)
	}
}

// TestStopAcceptingWaitsForThePoll checks that a server that ends waits for a client that
// was given a path, for a bounded time; an idle connection is closed at once, a new one
// after a moment.
func TestStopAcceptingWaitsForThePoll(t *testing.T) {
	loop, server, dial := newFakeServer()
	a := dial()
	idle := dial()
	fresh := dial()
	idle.requestCount = 1
	path := submitSlow(loop, server, a)
	a.clearState(stateRequest)
	loop.answers[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, [][]byte{[]byte("a\tb\tc\n")})
	server.StopAccepting()
	if !isClosed(idle) || isClosed(a) || isClosed(fresh) || server.Idle() {
		t.Fatalf("idle one closed %v, with a path %v, fresh %v, server idle %v", isClosed(idle), isClosed(a), isClosed(fresh), server.Idle())
	}
	get(server, a, "GET", path)
	if r := <-a.responses; r.status != 200 || len(r.pages) != 1 || !r.closeAfter {
		t.Errorf("%+v", r)
	}
	server.removeConnection(a)
	loop.now += evictableAfterMS + 1
	loop.runTimers()
	if !isClosed(fresh) || !server.Idle() {
		t.Errorf("fresh closed %v, idle %v", isClosed(fresh), server.Idle())
	}

	loop, server, dial = newFakeServer()
	a = dial()
	submitSlow(loop, server, a)
	server.StopAccepting()
	loop.now += pollTimeoutMS + 1
	loop.runTimers() // its client does not poll
	if len(loop.abandoned) != 1 || !isClosed(a) || !server.Idle() {
		t.Errorf("abandoned %v, closed %v, idle %v", loop.abandoned, isClosed(a), server.Idle())
	}
}

// TestArrivalOfAPipelinedRequest checks that the deadline of a request sent ahead counts
// from the arrival of its last byte, not from the response before it.
func TestArrivalOfAPipelinedRequest(t *testing.T) {
	loop, _, c, client := newServedConnection(t)
	_, _ = io.WriteString(client, message)
	(<-loop.posted)()
	loop.clock.Store(2000)
	next := strings.Replace(message, testID, "00000000000000bb", 1)
	_, _ = io.WriteString(client, next)
	for c.state.Load()&stateUnparsed == 0 {
		time.Sleep(time.Millisecond)
	}
	loop.clock.Store(9000)
	loop.answers[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Rejected}, nil)
	(<-loop.posted)()
	if r := loop.taken["00000000000000bb"]; r.ArrivedAtMS != 2000 || r.DeadlineAtMS > 2000+9000 {
		t.Errorf("arrived at %v, deadline at %v", r.ArrivedAtMS, r.DeadlineAtMS)
	}
}

// TestIncompleteRequestsHoldNoSlots checks that while clients whose message does not end
// hold every slot, a new client is served all the same, before any of them has timed
// out, and that those evicted are notified to come again. Left in the backlog its request
// would count as taken before later ones on other connections.
func TestIncompleteRequestsHoldNoSlots(t *testing.T) {
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
	half := message[:len(message)-3]
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
	dial(message)
	for len(loop.taken) == 0 {
		select {
		case post := <-loop.posted:
			post()
		case <-time.After(20 * time.Second):
			t.Fatal("its request was not read")
		}
	}
	if server.Counters.ClosedSlow != 0 || server.Counters.Evicted == 0 || server.Counters.NoSlot != 0 {
		t.Errorf("%+v", server.Counters)
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

// TestNoSlotComesFree checks that connections are closed if no slot comes free, and that
// later ones do not wait as long as the first.
func TestNoSlotComesFree(t *testing.T) {
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
		t.Errorf("the first: %v", err)
	}
	begun := time.Now()
	const others = 400
	for range others {
		if server.acquireSlot() {
			t.Fatal("a slot where there is none")
		}
	}
	if took := time.Since(begun); took > others*slotTimeout/2 {
		t.Errorf("the others took %v", took)
	}
	<-server.slots
	if !server.acquireSlot() || server.noSlotFree {
		t.Error("no slot once one is free")
	}
}

// TestNoAttemptUntilDisconnectedClientPolls checks that no attempt begins while a client with a path has
// no connection, whether it had polled or not; that attempts may begin once it polls on a
// new one; and that after a time without a poll its request is detached.
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
			t.Errorf("polled %v: its disconnect is not noted", polled)
		}
		b := dial()
		get(server, b, "GET", path)
		if loop.disconnected[testID] {
			t.Errorf("polled %v: its poll is not noted", polled)
		}
		server.removeConnection(b)
		loop.now += pollTimeoutMS - 1
		server.closeStalled()
		if len(loop.detached) != 0 {
			t.Errorf("polled %v: detached too soon", polled)
		}
		loop.now += 2
		server.closeStalled()
		server.closeStalled()
		if len(loop.detached) != 1 || len(loop.abandoned) != 0 {
			t.Errorf("polled %v: detached %v, abandoned %v", polled, loop.detached, loop.abandoned)
		}
	}
	// The old connection may end after the poll on a new one.
	loop, server, dial := newFakeServer()
	a, b := dial(), dial()
	get(server, b, "GET", submitSlow(loop, server, a))
	server.removeConnection(a)
	if loop.disconnected[testID] || server.Counters.DisconnectedWithPath != 0 {
		t.Error("away though its poll waits on a new connection")
	}
}
