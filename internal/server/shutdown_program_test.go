package server_test

import (
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// After SIGTERM open requests are finished, requests that still arrive are served, and the
// exit status is 0.
func TestGracefulShutdown(t *testing.T) {
	g := newGate()
	e1, e2 := fakes.NewScriptedEngine(t, "s-1", g.reply), fakes.NewScriptedEngine(t, "s-2", g.reply)
	f := startFrontEnd(t, "", 1024, e1, e2)
	c, late := f.connect(), f.connect()
	c.send(lookupMessage(1, "slow"))
	waitForRequests(t, 1, e1, e2)
	f.process.Signal(syscall.SIGTERM)
	f.waitForLog("graceful shutdown")
	late.send(loadMessage(2, "quick")).expectStatus(200)
	g.open()
	c.expectRows(1)
	f.waitForExit()
}

// SIGTERM arrives while one request is half read and another is in flight with a third
// pipelined behind it, and before a fourth is sent on a connection that the front end has
// closed by then. The first two get responses, and the others are never sent to an engine.
// Idle connections are closed even though requests are in flight.
func TestShutdownRaces(t *testing.T) {
	g := newGate()
	f, e := startWithEngine(t, g.reply)
	idle := f.connect()
	half := f.connect()
	pipelined := f.connect()
	idle.roundTrip(healthCheck)
	pipelined.send(loadMessage(1, "slow"))
	waitForRequests(t, 1, e)
	pipelined.send(lookupMessage(2, "pipelined"))
	message := lookupMessage(3, "half")
	half.send(message[:len(message)-2])
	f.waitForCounter(`"Connections":4`) // including that of the health check at the start
	f.process.Signal(syscall.SIGTERM)
	idle.waitClosed()
	idle.trySend(lookupMessage(4, "late"))
	half.send(message[len(message)-2:])
	g.open()
	half.expectLastResponse("half-read request")
	pipelined.expectLastResponse("request with another pipelined behind it")
	if rest, err := io.ReadAll(pipelined.reader); err != nil || len(rest) > 0 {
		t.Errorf("after the last response: %q, %v, want EOF", rest, err)
	}
	f.waitForExit()
	if len(e.Attempts()) != 2 {
		t.Errorf("%d requests at the engine, want 2: %+v", len(e.Attempts()), e.Attempts())
	}
}

// A request that hangs at an engine and one that is queued behind it get a response before
// the platform may kill the process, however late their deadlines are. A second SIGTERM and
// many other signals change nothing.
func TestShutdownDeadline(t *testing.T) {
	f, e := startWithEngine(t, neverReply)
	inFlight, queued := f.connect(), f.connect()
	const longKeyed = "Req-Wait-Ms: 600000\r\nReq-Key: 7f\r\n"
	inFlight.send(requestMessage("load", requestID(1), longKeyed, "x"))
	waitForRequests(t, 1, e)
	queued.send(requestMessage("load", requestID(2), longKeyed, "x"))
	f.waitForCounter(`"Taken":2`)
	for range 50 {
		f.process.Signal(syscall.SIGUSR1)
		f.process.Signal(syscall.SIGHUP)
	}
	f.process.Signal(syscall.SIGTERM)
	f.process.Signal(syscall.SIGTERM)
	inFlight.expectError(502, "Failed")
	queued.expectError(503, "Rejected")
	f.waitForExit()
	if len(e.Attempts()) != 1 {
		t.Errorf("%d requests at the engine, want 1", len(e.Attempts()))
	}
}

// SIGTERM arrives while the discovery service can't be reached and before any client has
// connected: the exit status is 0.
func TestShutdownBeforeFirstClient(t *testing.T) {
	f := startFrontEnd(t, testprocess.FreeAddr(t), 1024)
	f.process.Stop()
}

// Signals that arrive while the program starts, here while its configuration is being read,
// end it gracefully or are handled after the start.
func TestSignalsDuringStartup(t *testing.T) {
	f := startFrontEnd(t, "", 1024)
	config := f.readConfig()
	f.process.Stop()
	if err := os.Remove(f.configPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(f.configPath, 0o600); err != nil {
		t.Fatal(err)
	}
	f.process = f.startProcess("")
	pipe, err := os.OpenFile(f.configPath, os.O_WRONLY, 0) // waits until the program reads
	if err != nil {
		t.Fatal(err)
	}
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGUSR1, syscall.SIGTERM} {
		f.process.Signal(signal)
	}
	if _, err := pipe.WriteString(config); err != nil {
		t.Fatal(err)
	}
	if err := pipe.Close(); err != nil {
		t.Fatal(err)
	}
	f.waitForExit()
	if !strings.Contains(f.process.Log(), "graceful shutdown") {
		t.Errorf("no graceful shutdown in the log %q", f.process.Log())
	}
}

// Of many front ends that restart at once, nine in ten are ready within 10 s, even though
// the discovery service can't be reached and their addresses are still in use by processes
// that are shutting down.
func TestManyRestartsAtOnce(t *testing.T) {
	const (
		count       = 10
		readyWithin = 10 * time.Second
	)
	discovery := testprocess.FreeAddr(t)
	e := fakes.NewScriptedEngine(t, "s-1", neverReply)
	var frontEnds []*frontEndProcess
	for range count {
		f := startFrontEnd(t, discovery, 256, e)
		f.connect().send(loadMessage(1, "x")) // hangs and delays the end of the process
		frontEnds = append(frontEnds, f)
	}
	waitForRequests(t, count, e)
	start := time.Now()
	ready := make(chan time.Duration, count)
	for _, f := range frontEnds {
		f.process.Signal(syscall.SIGTERM)
		f.process = f.startProcess("")
		go func() {
			f.waitHealthy()
			ready <- time.Since(start)
		}()
	}
	late := 0
	for range count {
		if <-ready > readyWithin {
			late++
		}
	}
	if late > count/10 {
		t.Errorf("%d of %d front ends were not ready within %v", late, count, readyWithin)
	}
}
