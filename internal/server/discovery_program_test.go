package server_test

import (
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// Malformed input from an engine or from the discovery service ends only the connection
// that it came from, and a snapshot without engines is ignored.
func TestMalformedEngineAndDiscoveryInput(t *testing.T) {
	malformed := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
		return "\x00\xff garbage\r\n" + c.ID + " ACK - 99999999999\r\n"
	})
	good := fakes.NewScriptedEngine(t, "s-2", replyOneRow)
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		switch p.Number {
		case 1:
			p.Respond("rubbish")
		case 2:
			p.Respond(`{"rev":9,"notices":[{"rev":2,"pool":{"hosts":[{"host":"","health":"active"}]}}]}`)
		case 4: // after the valid list, a snapshot without engines
			p.Respond(fakes.OneUpdate(3, true).JSON())
		default:
			list := fakes.OneUpdate(2, false, fakes.Endpoint{ID: "s-1", State: fakes.Removed}, good.Endpoint(fakes.Active))
			p.Respond(list.JSON())
		}
		_ = p.Conn.Close()
		return ""
	})
	f := startFrontEnd(t, discovery.Addr, 1024, malformed)
	testprocess.Until(t, "the third poll", func() bool { return len(discovery.Polls()) > 2 })
	f.waitForLog("engine s-2 at")
	f.waitForLog("the last list stays in use")
	c := f.connect()
	for k := range 4 {
		c.send(lookupMessage(k, "x")).expectRows(1)
	}
}

// Engines are identified by their ids. A new engine that has the address of a removed one
// is a different engine: requests are sent to it on a new connection.
func TestEnginesAreIdentifiedByID(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-old", replyOneRow)
	replace := make(chan struct{})
	replacement := e.Endpoint(fakes.Active)
	replacement.ID = "s-new"
	replaced := answerAfter(1, fakes.OneUpdate(2, false, fakes.Endpoint{ID: "s-old", State: fakes.Removed}, replacement))
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		<-replace
		return replaced(p)
	})
	f := startFrontEnd(t, discovery.Addr, 1024, e)
	c := f.connect()
	c.send(lookupMessage(1, "x")).expectStatus(200)
	close(replace)
	f.waitForLog("engine s-new at")
	c.send(lookupMessage(2, "x")).expectStatus(200)
	testprocess.Until(t, "the old engine's connection to be closed", func() bool {
		_, closed := e.ConnectionCounts()
		return closed == 1
	})
	if opened, _ := e.ConnectionCounts(); opened != 2 {
		t.Errorf("%d connections opened, want 2: one for each engine", opened)
	}
}

// An engine begins to drain while the watch of the endpoint list stays open and
// unresponsive. The list is polled again on a new connection, and the draining engine
// receives no new request.
func TestDrainingWithUnresponsiveWatch(t *testing.T) {
	a, b := fakes.NewScriptedEngine(t, "s-1", replyOneRow), fakes.NewScriptedEngine(t, "s-2", replyOneRow)
	draining := answerAfter(1, fakes.OneUpdate(2, false, a.Endpoint(fakes.Draining)))
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		if p.Connection == 1 { // stays open and unanswered
			return ""
		}
		return draining(p)
	})
	f := startFrontEnd(t, discovery.Addr, 1024, a, b)
	f.waitForLog(": draining, started at")
	before := len(a.Attempts())
	c := f.connect()
	for k := range 20 {
		c.send(lookupMessage(k, selectFromGroup(k))).expectStatus(200)
	}
	if sent := len(a.Attempts()) - before; sent != 0 {
		t.Errorf("%d new requests at the draining engine, want none", sent)
	}
}
