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

// After SIGTERM requests that are open are finished, those that still come are served,
// and the exit status is 0.
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

// SIGTERM comes while one request is half read, while another is in flight with one
// pipelined behind it, and before one on a connection that is closed by then: the
// first two are answered, and the others never sent to an engine. Idle connections
// are closed though requests are in flight.
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
	f.waitForCounter(`"Connections":4`) // with that of the health check at the start
	f.process.Signal(syscall.SIGTERM)
	idle.waitClosed()
	idle.trySend(lookupMessage(4, "late"))
	half.send(message[len(message)-2:])
	g.open()
	half.expectLastResponse("half read")
	pipelined.expectLastResponse("with another behind it")
	if rest, err := io.ReadAll(pipelined.reader); err != nil || len(rest) > 0 {
		t.Errorf("after the last response: %q, %v", rest, err)
	}
	f.waitForExit()
	if len(e.Attempts()) != 2 {
		t.Errorf("%d requests at the engine, want 2: %+v", len(e.Attempts()), e.Attempts())
	}
}

// What hangs at an engine, and what is queued behind it, is answered before the
// platform may kill the process, whatever its deadline; a second signal and many
// others change nothing.
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
		t.Errorf("%d requests at the engine", len(e.Attempts()))
	}
}

// SIGTERM while no endpoint list can be reached and before a client has come: the exit
// status is 0.
func TestShutdownBeforeFirstClient(t *testing.T) {
	f := startFrontEnd(t, testprocess.FreeAddr(t), 1024)
	f.process.Stop()
}

// Signals that come while the program starts, here while its configuration is being
// read, end it in order or wait for their turn.
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
		t.Errorf("log %q", f.process.Log())
	}
}

// Nine in ten of many front ends that are restarted at once are ready within 10 s,
// though no endpoint list can be reached and their addresses are still held by
// processes that are ending.
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
		f.connect().send(loadMessage(1, "x")) // hangs: the process ends late
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
		t.Errorf("%d of %d were not ready within %v", late, count, readyWithin)
	}
}
