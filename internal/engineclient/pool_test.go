package engineclient

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// fakeLoop is an event loop that the test runs step by step.
type fakeLoop struct {
	posted chan func()
	ended  map[string]control.Result
	now    float64
	timers *[]func() // functions passed to After; nil: not recorded
}

func (loop *fakeLoop) Post(f func()) { loop.posted <- f }
func (loop *fakeLoop) Now() float64  { return 1000 + loop.now }
func (loop *fakeLoop) After(_ float64, f func()) {
	if loop.timers != nil {
		*loop.timers = append(*loop.timers, f)
	}
}
func (loop *fakeLoop) AttemptStatus(dispatch.AttemptStatus) {}
func (loop *fakeLoop) ProbeEnded(dispatch.ProbeEnded)       {}
func (loop *fakeLoop) Logf(_ string, _ ...any)              {}
func (loop *fakeLoop) AttemptEnded(ev dispatch.AttemptEnded, _ any) {
	loop.ended[ev.RequestID] = ev.Result
}

// newEstablishedConnection returns an established connection to an engine.
func newEstablishedConnection(e *engine, socket net.Conn) *connection {
	c := newConnection(e)
	c.socket = socket
	c.connected = true
	return c
}

// query is the query of the requests in these tests.
var query = dispatch.Query{Statement: []byte("x")}

// truncatingConn is a connection that is reset after a write of a number of bytes.
type truncatingConn struct {
	net.Conn
	accepts int
}

func (s *truncatingConn) Write(b []byte) (int, error) {
	return min(s.accepts, len(b)), errors.New("reset")
}

// breakingConn is a connection whose writes fail after a number of writes.
type breakingConn struct {
	net.Conn
	writes int
}

func (b *breakingConn) Write(p []byte) (int, error) {
	b.writes--
	if b.writes < 0 {
		return 0, errors.New("reset")
	}
	return b.Conn.Write(p)
}

// TestResetWhileWriting checks that a request that was not written completely counts
// as never run, so that another engine may run it even if it is not idempotent. A
// request that was written completely may have run.
func TestResetWhileWriting(t *testing.T) {
	nc, _ := net.Pipe()
	first := "PULL a c=load,w=500,nice=1 1\r\nx\r\n"
	loop, p, c := newConnectedPool(&truncatingConn{nc, len(first) + 7})
	for _, id := range []string{"a", "b", "c"} {
		p.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 1500, Priority: 1}, 0, query)
	}
	go p.readLoop(c)
	go p.writeLoop(c)
	loop.runUntilEnded(t, 3)
	if loop.ended["a"] != control.Reset || loop.ended["b"] != control.ConnectFailed || loop.ended["c"] != control.ConnectFailed {
		t.Errorf("unexpected results: %v", loop.ended)
	}
	if open := len(p.engines["s-1"].attempts); p.connectionCount != 0 || p.Counters.Truncated != 2 || open != 0 {
		t.Errorf("%d connections and %d attempts left, counters %+v", p.connectionCount, open, p.Counters)
	}
}

// runUntilEnded runs posted functions until a number of attempts have ended.
func (loop *fakeLoop) runUntilEnded(t *testing.T, ended int) {
	t.Helper()
	loop.runUntil(t, func() bool { return len(loop.ended) >= ended })
}

// runUntil runs posted functions until a condition holds.
func (loop *fakeLoop) runUntil(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.After(time.Minute); !holds(); {
		select {
		case f := <-loop.posted:
			f()
		case <-end:
			t.Fatalf("condition not met within a minute; ended so far: %v", loop.ended)
		}
	}
}

// newConnectedPool returns a pool with one engine and one connection to it.
func newConnectedPool(nc net.Conn) (*fakeLoop, *Pool, *connection) {
	loop := &fakeLoop{posted: make(chan func(), 64), ended: map[string]control.Result{}, timers: &[]func(){}}
	p := New(loop, Options{Classes: []string{"load"}, StreamsPerConnection: 32, MaxConnections: 4, IdleTimeout: time.Minute})
	p.SetEndpoint("s-1", "127.0.0.1:1", false, false)
	e := p.engines["s-1"]
	c := newEstablishedConnection(e, nc)
	e.connections = []*connection{c}
	p.connectionCount = 1
	return loop, p, c
}

// startAttempt starts an attempt whose deadline is 59 s away.
func startAttempt(p *Pool, id string) {
	p.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
}

// TestQueuedRequestIsWithdrawn checks that a request behind a blocked writer never runs
// if it is cancelled, expires or its engine starts draining: its end is reported at once,
// and its engine never receives it. A request that is being written is cancelled at the
// engine instead.
func TestQueuedRequestIsWithdrawn(t *testing.T) {
	clientSide, engineSide := net.Pipe() // a write waits until the other side reads
	defer func() { _ = engineSide.Close() }()
	loop, p, c := newConnectedPool(clientSide)
	go p.writeLoop(c)
	start := func(id string, by float64) {
		p.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 60000, WriteByMS: by, Priority: 1}, 0, query)
	}
	start("a", 0)
	for c.writeStartedMS.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	start("cancelled", 0)
	p.CancelAttempt(dispatch.CancelAttempt{RequestID: "cancelled", Engine: "s-1"})
	if loop.ended["cancelled"] != control.NotSent {
		t.Errorf("cancelled while queued: %v", loop.ended)
	}
	start("draining", 0)
	p.SetEndpoint("s-1", "127.0.0.1:1", true, false)
	p.WithdrawUnwritten()
	if loop.ended["draining"] != control.NotSent {
		t.Errorf("queued while its engine starts draining: %v", loop.ended)
	}
	p.SetEndpoint("s-1", "127.0.0.1:1", false, false)
	start("stuck", loop.Now()+350)
	loop.now += 351
	p.sweep()
	if loop.ended["stuck"] != control.NotSent || len(c.exchanges) != 1 {
		t.Errorf("expired behind a blocked writer: %v", loop.ended)
	}
	start("late", loop.Now()+350)
	p.CancelAttempt(dispatch.CancelAttempt{RequestID: "a", Engine: "s-1"})
	loop.now += 351
	read := make(chan string)
	go func() {
		b := make([]byte, 4096)
		n := 0
		for !strings.Contains(string(b[:n]), "KILL a\r\n") {
			k, err := engineSide.Read(b[n:])
			if n += k; err != nil {
				break
			}
		}
		read <- string(b[:n])
	}()
	if got := <-read; !strings.HasPrefix(got, "PULL a ") || strings.Count(got, "PULL") != 1 || strings.Count(got, "KILL") != 1 {
		t.Errorf("written: %q", got)
	}
	loop.runUntilEnded(t, 4)
	if loop.ended["late"] != control.NotSent || p.Counters.Withdrawn != 4 || len(c.exchanges) != 1 {
		t.Errorf("results %v, counters %+v, %d open", loop.ended, p.Counters, len(c.exchanges))
	}
}

// TestEngineMovedWhileConnecting checks that nothing is written on a connection to an
// engine's old address if the connection is established only after the change.
func TestEngineMovedWhileConnecting(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	c.connected = false
	startAttempt(p, "a")
	p.SetEndpoint("s-1", "127.0.0.1:2", false, false)
	p.WithdrawUnwritten()
	p.dialDone(c, clientSide, nil)
	_ = engineSide.SetReadDeadline(time.Now().Add(time.Minute))
	p.closeConnection(c, nil)
	if n, err := engineSide.Read(make([]byte, 99)); n != 0 || loop.ended["a"] != control.NotSent {
		t.Errorf("%d bytes written, %v, results %v", n, err, loop.ended)
	}
}

// TestEngineClosedBeforeTheWrite checks that a request is not written after the engine
// has closed the connection, even if the reader has not seen the close yet. The request
// provably never ran.
func TestEngineClosedBeforeTheWrite(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	_ = engineSide.Close()
	for !lineproto.PeerClosed(clientSide) {
		time.Sleep(time.Millisecond)
	}
	startAttempt(p, "a")
	go p.writeLoop(c) // before the reader starts
	loop.posted <- <-loop.posted
	go p.readLoop(c)
	loop.runUntilEnded(t, 1)
	if loop.ended["a"] != control.ConnectFailed {
		t.Errorf("unexpected results: %v", loop.ended)
	}
}

// TestReplyBeforeConnectionBreaks checks that a reply that arrived just before the
// connection broke is still handled, although a write failed before the reply was read.
func TestReplyBeforeConnectionBreaks(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(&breakingConn{clientSide, 1}) // the second write fails
	startAttempt(p, "a")
	go p.writeLoop(c)
	_, _ = engineSide.Read(make([]byte, 99))
	_, _ = io.WriteString(engineSide, "a ACK batches=1 6\r\nx\ty\tz\n\r\n")
	_ = engineSide.Close()
	startAttempt(p, "b")
	loop.posted <- <-loop.posted // the writer's end, before anything is read
	go p.readLoop(c)
	loop.runUntilEnded(t, 2)
	if loop.ended["a"] != control.Served || loop.ended["b"] != control.ConnectFailed {
		t.Errorf("unexpected results: %v", loop.ended)
	}
}

// TestLocalCloseDelaysTheEnd checks that if the pool closes a connection because of a
// malformed reply, its attempts end only after the close has had time to arrive. If they
// ended earlier, the next attempt could run at the same time as the first.
func TestLocalCloseDelaysTheEnd(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	startAttempt(p, "a")
	go p.readLoop(c)
	go p.writeLoop(c)
	_, _ = engineSide.Read(make([]byte, 99))
	_, _ = io.WriteString(engineSide, "no answer at all\r\n")
	timers := len(*loop.timers)
	loop.runUntil(t, func() bool { return len(*loop.timers) > timers })
	if len(loop.ended) != 0 {
		t.Errorf("ended before the close could arrive: %v", loop.ended)
	}
	for _, f := range (*loop.timers)[timers:] {
		f()
	}
	if loop.ended["a"] != control.Reset {
		t.Errorf("unexpected results: %v", loop.ended)
	}
}

// TestUnresponsiveConnection checks that no new request is sent on an unresponsive
// connection until a reply arrives on it, although other connections to its engine get
// replies, and that the newest connection is used if too many are unresponsive.
func TestUnresponsiveConnection(t *testing.T) {
	loop := &fakeLoop{posted: make(chan func(), 64), ended: map[string]control.Result{}}
	p := New(loop, Options{Classes: []string{"load"}, StreamsPerConnection: 32, MaxConnections: 9, IdleTimeout: time.Minute, ConnectTimeout: time.Minute})
	p.SetEndpoint("s-1", "127.0.0.1:1", false, false)
	e := p.engines["s-1"]
	open := func() *connection {
		nc, _ := net.Pipe()
		c := newEstablishedConnection(e, nc)
		e.connections = append(e.connections, c)
		p.connectionCount++
		return c
	}
	n := 0
	start := func() *connection {
		n++
		p.StartAttempt(dispatch.StartAttempt{RequestID: fmt.Sprint(n), Engine: "s-1", DeadlineAtMS: 9000, Priority: 1}, 0, query)
		return e.attempts[attemptKey{fmt.Sprint(n), 0}].connection
	}
	a := open()
	loop.now += 10 * unresponsiveAfterMS // an idle connection is not unresponsive
	for range 3 {
		if start() != a {
			t.Fatal("not sent on the existing connection")
		}
	}
	loop.now += unresponsiveAfterMS + 1
	b := open()
	if start() != b {
		t.Error("sent on an unresponsive connection")
	}
	p.handleReply(b, &reply{id: "unknown", kind: replyResult})
	if start() != b {
		t.Error("an unresponsive connection was preferred, because it has more open requests")
	}
	p.handleReply(a, &reply{id: "1", kind: replyRejected})
	if start() != a {
		t.Error("a connection that replies again is not used")
	}
	for range maxUnresponsive - 2 {
		loop.now += unresponsiveAfterMS + 1
		open()
		start()
	}
	loop.now += unresponsiveAfterMS + 1
	if got := start(); got != e.connections[maxUnresponsive-1] || len(e.connections) != maxUnresponsive {
		t.Errorf("with %d unresponsive connections, the newest is not used", maxUnresponsive)
	}
}

// TestDescriptorShortage checks that a shortage of connections or descriptors at the
// front end does not count as a failure of the engine: the requests end as not sent.
func TestDescriptorShortage(t *testing.T) {
	loop := &fakeLoop{posted: make(chan func(), 16), ended: map[string]control.Result{}}
	p := New(loop, Options{Classes: []string{"load"}, StreamsPerConnection: 32, MaxConnections: 1, ConnectTimeout: time.Minute})
	p.SetEndpoint("s-1", "127.0.0.1:1", false, false)
	p.SetEndpoint("s-2", "127.0.0.1:1", false, false)
	p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 1500}, 0, query)
	p.StartAttempt(dispatch.StartAttempt{RequestID: "b", Engine: "s-2", DeadlineAtMS: 1500}, 0, query)
	if loop.ended["b"] != control.NotSent {
		t.Errorf("at the connection limit: %v", loop.ended)
	}
	p.dialDone(p.engines["s-1"].connections[0], nil, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)})
	if loop.ended["a"] != control.NotSent || p.Counters.NoConnection != 2 || p.connectionCount != 0 {
		t.Errorf("without a free descriptor: %v, %+v", loop.ended, p.Counters)
	}
}

// TestRemovedEnginesAreDeleted checks that removed engines are deleted from the pool.
func TestRemovedEnginesAreDeleted(t *testing.T) {
	p := New(&fakeLoop{}, Options{})
	for _, id := range []string{"s-1", "s-2", "s-3"} {
		p.SetEndpoint(id, "127.0.0.1:1", false, false)
	}
	p.SetEndpoint("s-1", "", false, true)
	p.Retain(map[string]bool{"s-3": true})
	if len(p.engines) != 1 || p.engines["s-3"] == nil {
		t.Errorf("%d engines in the pool, want only s-3", len(p.engines))
	}
}

// TestRemainingTimeAtTheWrite checks that a request states the time that is left when it
// is written, however long the connection took to be established, and that an expired
// request is not written.
func TestRemainingTimeAtTheWrite(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	c.connected = false
	p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: loop.Now() + 600, Priority: 1}, 0, query)
	p.StartAttempt(dispatch.StartAttempt{RequestID: "b", Engine: "s-1", DeadlineAtMS: loop.Now() + 250, Priority: 1}, 0, query)
	loop.now += 300
	p.dialDone(c, clientSide, nil)
	buf := make([]byte, 99)
	_ = engineSide.SetReadDeadline(time.Now().Add(time.Minute))
	n, err := engineSide.Read(buf)
	if got := string(buf[:n]); err != nil || !strings.HasPrefix(got, "PULL a c=load,w=300,nice=1 1\r\n") || strings.Contains(got, "PULL b") {
		t.Errorf("written: %q, %v", got, err)
	}
	loop.runUntilEnded(t, 1)
	if loop.ended["b"] != control.NotSent {
		t.Errorf("unexpected results: %v", loop.ended)
	}
}

// TestOnlyKnownVerbsEndAnAttempt checks that status replies do not end an attempt, and
// that an unknown verb cancels it. The end is reported only after the cancellation has
// had time to arrive: otherwise the next attempt could run at the same time as the first.
func TestOnlyKnownVerbsEndAnAttempt(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	for _, id := range []string{"a", "b"} {
		startAttempt(p, id)
	}
	go p.writeLoop(c)
	buf := make([]byte, 999)
	_ = engineSide.SetReadDeadline(time.Now().Add(time.Minute))
	_, _ = engineSide.Read(buf)
	for _, fields := range []map[string]string{nil, {"note": "share", "num": "0.5"}, {"note": "share", "num": "x"}} {
		p.handleReply(c, &reply{id: "a", kind: replyStatus, verb: "EVENT", fields: fields})
	}
	p.handleReply(c, &reply{id: "b", kind: replyUnknown, verb: "LATER"})
	p.handleReply(c, &reply{id: "b", kind: replyUnknown, verb: "LATER"})
	if len(loop.ended) != 0 || len(c.exchanges) != 2 || p.Counters.StatusReplies != 2 || p.Counters.MalformedStatuses != 1 || p.Counters.UnknownVerbs != 2 {
		t.Fatalf("results %v, %d open, counters %+v", loop.ended, len(c.exchanges), p.Counters)
	}
	n, _ := engineSide.Read(buf)
	if got := string(buf[:n]); got != "KILL b\r\n" {
		t.Errorf("written: %q", got)
	}
	timers := len(*loop.timers)
	(<-loop.posted)() // the cancellation is written
	if len(loop.ended) != 0 || len(*loop.timers) != timers+1 {
		t.Fatalf("results %v, %d timers, %d before the write", loop.ended, len(*loop.timers), timers)
	}
	(*loop.timers)[timers]()
	if _, a := loop.ended["a"]; a || loop.ended["b"] != control.Reset {
		t.Errorf("unexpected results: %v", loop.ended)
	}
}
