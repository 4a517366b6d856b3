package engineclient

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// TestStreamsPerConnection checks that a connection carries at most as many requests as
// the options allow, and that further requests use another connection.
func TestStreamsPerConnection(t *testing.T) {
	const streams, requests = 100, 250
	addr := fakes.Listen(t, func(c net.Conn) { _, _ = io.Copy(io.Discard, c) })
	loop := &fakeLoop{posted: make(chan func(), 64), ended: map[string]control.Result{}}
	p := New(loop, Options{
		Classes: []string{"load"}, StreamsPerConnection: streams, MaxConnections: 9, ConnectTimeout: time.Minute,
	})
	p.SetEndpoint("s-1", addr, false, false)
	for k := range requests {
		id := fmt.Sprint(k)
		p.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
	}
	var open []int
	for _, c := range p.engines["s-1"].connections {
		open = append(open, len(c.exchanges))
	}
	if fmt.Sprint(open) != "[100 100 50]" || len(loop.ended) != 0 {
		t.Errorf("%v requests on the connections, ended: %v, want [100 100 50] and none ended", open, loop.ended)
	}
	// A slot that has become free is used before another connection is opened.
	p.endExchange(p.engines["s-1"].attempts[attemptKey{"0", 0}], control.Served)
	for k := range streams/2 + 1 {
		id := fmt.Sprint(requests + k)
		p.StartAttempt(dispatch.StartAttempt{RequestID: id, Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
	}
	if n := len(p.engines["s-1"].connections); n != 3 || p.Counters.Dials != 3 {
		t.Errorf("%d connections, %d dials, want 3 and 3", n, p.Counters.Dials)
	}
}

// TestUnknownFieldsAreSkipped checks that unknown fields of a reply are ignored, and that
// a reply to an unknown id ends no attempt.
func TestUnknownFieldsAreSkipped(t *testing.T) {
	clientSide, engineSide := testprocess.ConnectedPair(t)
	loop, p, c := newConnectedPool(clientSide)
	p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
	go p.readLoop(c)
	go p.writeLoop(c)
	_, _ = engineSide.Read(make([]byte, 99))
	_, _ = io.WriteString(engineSide, "b LATER - 0\r\n\r\n"+
		"a EVENT note=share,num=0.5,later=1 0\r\n\r\n"+
		"a ACK later=x,batches=1,cpu=12,used=64,odd= 6\r\nx\ty\tz\n\r\n")
	loop.runUntilEnded(t, 1)
	counters := p.Counters
	if loop.ended["a"] != control.Served || counters.StatusReplies != 1 || counters.MalformedStatuses != 0 ||
		counters.UnknownVerbs != 1 || counters.LateReplies != 1 || counters.MalformedReplies != 0 {
		t.Errorf("unexpected results %v, counters %+v", loop.ended, counters)
	}
}

// TestProbeVerbCancelsAttempt checks that a reply to an attempt with the verb of a probe
// does not end the attempt. The attempt is cancelled first, as after an unknown verb.
func TestProbeVerbCancelsAttempt(t *testing.T) {
	for _, kind := range []replyKind{replyHealthy, replyUnhealthy} {
		clientSide, engineSide := testprocess.ConnectedPair(t)
		loop, p, c := newConnectedPool(clientSide)
		p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
		go p.writeLoop(c)
		_ = engineSide.SetReadDeadline(time.Now().Add(time.Minute))
		received := make([]byte, 99)
		_, _ = engineSide.Read(received)
		p.handleReply(c, &reply{id: "a", kind: kind, verb: "READY"})
		n, _ := engineSide.Read(received)
		if got := string(received[:n]); got != "KILL a\r\n" || len(loop.ended) != 0 {
			t.Errorf("kind %d: written %q, ended %v", kind, got, loop.ended)
		}
	}
}

// TestMalformedRepliesCloseTheConnection checks that a page without a result before it, an
// impossible number of pages, a field without a value and a repeated field close the
// connection: the bytes that follow a malformed reply can't be interpreted.
func TestMalformedRepliesCloseTheConnection(t *testing.T) {
	for _, text := range []string{
		"a BLOCK batch=1 6\r\nx\ty\tz\n\r\n",
		"a ACK batches=2 6\r\nx\ty\tz\n\r\na BLOCK batch=2 6\r\nx\ty\tz\n\r\n",
		"a ACK batches=0 6\r\nx\ty\tz\n\r\n",
		"a ACK - 6\r\nx\ty\tz\n\r\n",
		"a ACK batches=1025 6\r\nx\ty\tz\n\r\n",
		"a ACK batches=1 6001\r\n",
		"a ACK batches=1\r\n",
		"a ACK batches 0\r\n\r\n",
		"a ACK batches=1,batches=2 6\r\nx\ty\tz\n\r\n",
		"a EVENT note=share,num=0.5,num=0.6 0\r\n\r\n",
	} {
		clientSide, engineSide := testprocess.ConnectedPair(t)
		loop, p, c := newConnectedPool(clientSide)
		p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
		go p.readLoop(c)
		go p.writeLoop(c)
		_, _ = engineSide.Read(make([]byte, 99))
		_, _ = io.WriteString(engineSide, text)
		for end := time.After(time.Minute); !c.closed; {
			select {
			case f := <-loop.posted:
				f()
			case <-end:
				t.Fatalf("%.40q: the connection was not closed", text)
			}
		}
		if p.Counters.MalformedReplies != 1 || len(loop.ended) != 0 {
			t.Errorf("%.40q: ended %v, %+v", text, loop.ended, p.Counters)
		}
	}
}

// TestResultSizeLimit checks that a result of 48,000 bytes is served, and that a longer
// result closes its connection.
func TestResultSizeLimit(t *testing.T) {
	page := strings.Repeat("a\tb\t"+strings.Repeat("x", 5)+"\n", maxPageBytes/10)
	for _, c := range []struct {
		pages  int
		closed bool
	}{{maxResultBytes / maxPageBytes, false}, {maxResultBytes/maxPageBytes + 1, true}} {
		clientSide, engineSide := testprocess.ConnectedPair(t)
		loop, p, conn := newConnectedPool(clientSide)
		go func() { _, _ = io.Copy(io.Discard, engineSide) }()
		p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
		go p.writeLoop(conn)
		fields := map[string]string{"batches": fmt.Sprint(c.pages)}
		p.handleReply(conn, &reply{id: "a", kind: replyResult, body: []byte(page), fields: fields})
		for k := 1; k < c.pages; k++ {
			fields := map[string]string{"batch": fmt.Sprint(k)}
			p.handleReply(conn, &reply{id: "a", kind: replyPage, body: []byte(page), fields: fields})
		}
		result, ended := loop.ended["a"]
		if conn.closed != c.closed || !c.closed && (!ended || result != control.Served) {
			t.Errorf("%d pages of %d bytes: closed %v, ended %v", c.pages, len(page), conn.closed, loop.ended)
		}
	}
}

// TestProbeOutcomes checks that only the two verbs of a probe count as its success. Any
// other reply is an error of the probe, and no reply to a probe ends an attempt.
func TestProbeOutcomes(t *testing.T) {
	for kind, want := range map[replyKind]control.Result{
		replyHealthy: control.Served, replyUnhealthy: control.Served, replyError: control.Errored,
		replyUnknown: control.Errored, replyStatus: control.Errored,
	} {
		loop := &recordingLoop{ends: map[string]dispatch.AttemptEnded{}, pages: map[string]any{}}
		loop.posted = make(chan func(), 64)
		timers := []func(){}
		loop.timers = &timers
		p := New(loop, Options{Classes: []string{"load"}, StreamsPerConnection: 32, MaxConnections: 4})
		p.SetEndpoint("s-1", "127.0.0.1:1", false, false)
		e := p.engines["s-1"]
		socket, _ := net.Pipe()
		c := newEstablishedConnection(e, socket)
		e.connections = []*connection{c}
		p.connectionCount = 1
		p.Probe("s-1")
		p.handleReply(c, &reply{id: probeID(1), kind: kind, verb: "ANY"})
		if len(loop.probes) != 1 || loop.probes[0].Result != want || len(loop.ends) != 0 {
			t.Errorf("kind %d: %+v, want %v", kind, loop.probes, want)
		}
	}
}

// TestRefusedConnectionNeverRan checks that a request whose connection is refused counts
// as never run.
func TestRefusedConnectionNeverRan(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	_ = l.Close()
	loop := &fakeLoop{posted: make(chan func(), 16), ended: map[string]control.Result{}}
	p := New(loop, Options{
		Classes: []string{"load"}, StreamsPerConnection: 32, MaxConnections: 4, ConnectTimeout: time.Minute,
	})
	p.SetEndpoint("s-1", addr, false, false)
	p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
	loop.runUntilEnded(t, 1)
	if loop.ended["a"] != control.ConnectFailed || p.Counters.DialFailures != 1 || p.connectionCount != 0 {
		t.Errorf("unexpected results %v, counters %+v", loop.ended, p.Counters)
	}
}

// TestIdleConnectionsAreClosedBeforeTheEngineDoes checks that an idle connection is closed
// well before the idle timeout, at which its engine would close it, and that a
// connection with an open request is not closed.
func TestIdleConnectionsAreClosedBeforeTheEngineDoes(t *testing.T) {
	const idleTimeoutMS = 15000
	for _, busy := range []bool{false, true} {
		clientSide, _ := testprocess.ConnectedPair(t)
		loop, p, c := newConnectedPool(clientSide)
		p.options.IdleTimeout = idleTimeoutMS * time.Millisecond
		c.idleSinceMS = loop.Now()
		if busy {
			p.StartAttempt(dispatch.StartAttempt{RequestID: "a", Engine: "s-1", DeadlineAtMS: 60000}, 0, query)
		}
		loop.now += idleCloseFraction * idleTimeoutMS
		p.sweep()
		if c.closed {
			t.Errorf("busy %v: closed already after %v ms", busy, loop.now)
		}
		loop.now += sweepIntervalMS
		p.sweep()
		if c.closed == busy {
			t.Errorf("busy %v: closed %v after %v ms", busy, c.closed, loop.now)
		}
	}
}
