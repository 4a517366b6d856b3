package server_test

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"testing"

	"dewhill/internal/testprocess"
)

// If a client disconnects, the attempt of its request is cancelled at the engine.
func TestDisconnectCancelsAttempt(t *testing.T) {
	f, e := startWithEngine(t, neverReply)
	c := f.connect()
	c.send(lookupMessage(1, "x"))
	waitForRequests(t, 1, e)
	c.close()
	waitForCancels(t, 1, e)
}

// A client disconnects while its load is queued behind another load with the same key. Its
// load is never sent to an engine, and the next load in the queue runs.
func TestDisconnectWhileQueued(t *testing.T) {
	keyed := timeoutHeaders + "Req-Key: 7f\r\n"
	// The expected cost is high, as otherwise the attempt would be cancelled as lost.
	longKeyed := strings.Replace(keyed, "Req-Cost: 20", "Req-Cost: 1500", 1)
	for name, beforeClose := range map[string]func(c *client){
		"closed":             func(*client) {},
		"reset":              setReset,
		"after a request":    func(c *client) { c.trySend(requestMessage("load", requestID(90), keyed, "ahead")) },
		"after many bytes":   func(c *client) { c.trySend(strings.Repeat("x", 8<<20)) },
		"reset, after bytes": func(c *client) { c.trySend(strings.Repeat("x", 1<<20)); setReset(c) },
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate()
			f, e := startWithEngine(t, g.reply)
			first, last := f.connect(), f.connect()
			first.send(requestMessage("load", requestID(0), longKeyed, "slow"))
			waitForRequests(t, 1, e)
			const disconnecting = 12
			for k := range disconnecting {
				c := f.connect()
				c.send(requestMessage("load", requestID(1+k), keyed, "disconnecting"))
				f.waitForCounter(fmt.Sprintf(`"Taken":%d`, 2+k))
				go func() {
					beforeClose(c)
					c.close()
				}()
			}
			last.send(requestMessage("load", requestID(50), keyed, "last"))
			f.waitForCounter(fmt.Sprintf(`"Gone":%d`, disconnecting))
			g.open()
			first.expectStatus(200)
			last.expectStatus(200)
			if len(e.Attempts()) != 2 {
				t.Errorf("%d requests at the engine, want 2: %+v", len(e.Attempts()), e.Attempts())
			}
		})
	}
}

// setReset makes close reset the connection.
func setReset(c *client) { _ = c.conn.(*net.TCPConn).SetLinger(0) }

// A client receives a path to poll while its load is queued behind another load with the
// same key. It disconnects and does not poll: the load is never sent to an engine.
func TestDisconnectAfterPollPath(t *testing.T) {
	// The expected cost is high, as otherwise the attempt would be cancelled as lost.
	const keyed = "Req-Wait-Ms: 15000\r\nReq-Cost: 9000\r\nReq-Key: k\r\n"
	g := newGate()
	f, e := startWithEngine(t, g.reply)
	f.process.Stop()
	f.changeConfig(`"aimMs":3000`, `"aimMs":30000`)
	f.process = f.startProcess("")
	f.waitHealthy()
	first, disconnecting := f.connect(), f.connect()
	first.send(requestMessage("load", requestID(1), keyed, "slow"))
	waitForRequests(t, 1, e)
	disconnecting.send(requestMessage("load", requestID(2), keyed, "disconnecting"))
	if _, _, body := disconnecting.readResponse(); body.Poll == "" {
		t.Fatalf("the response has no path to poll: %+v", body)
	}
	disconnecting.close()
	f.waitForCounter(`"Away":1`)
	g.open()
	testprocess.Until(t, "both loads to end", func() bool {
		f.process.Signal(syscall.SIGUSR1)
		return len(e.Attempts()) > 1 || strings.Contains(f.process.Log(), `"Refused":1`)
	})
	if len(e.Attempts()) != 1 {
		t.Errorf("%d requests at the engine, want 1: %+v", len(e.Attempts()), e.Attempts())
	}
}
