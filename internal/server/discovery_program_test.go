package server_test

import (
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// Malformed input from an engine or from the source of the endpoint list costs that
// connection and nothing else, and a snapshot without engines is ignored.
func TestMalformedEngineAndDiscoveryInput(t *testing.T) {
	malformed := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
		return "\x00\xff garbage\r\n" + c.ID + " ACK - 99999999999\r\n"
	})
	good := fakes.NewScriptedEngine(t, "s-2", answerOneRow)
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		switch p.Number {
		case 1:
			p.Respond("rubbish")
		case 2:
			p.Respond(`{"rev":9,"notices":[{"rev":2,"pool":{"hosts":[{"host":"","health":"active"}]}}]}`)
		case 4: // after the good list, one that would leave no engine
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

// An engine is identified by its id: a new one may take the address of one that was
// removed, and is sent requests there under its own name.
func TestEngineIdentityIsItsID(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-old", answerOneRow)
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
		t.Errorf("%d connections, want one for each engine", opened)
	}
}

// All watches stay open and silent while engines begin to drain: the list is polled
// again on a new connection, and what is draining gets nothing new.
func TestDrainingWithSilentWatch(t *testing.T) {
	a, b := fakes.NewScriptedEngine(t, "s-1", answerOneRow), fakes.NewScriptedEngine(t, "s-2", answerOneRow)
	draining := answerAfter(1, fakes.OneUpdate(2, false, a.Endpoint(fakes.Draining)))
	discovery := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		if p.Connection == 1 { // it stays open and silent
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
		t.Errorf("%d requests at the engine that is draining", sent)
	}
}
