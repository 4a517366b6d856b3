package server_test

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// mayHaveRunFailures are failures after which an attempt may have run.
var mayHaveRunFailures = []struct {
	name  string
	reply fakes.Script
}{
	{"error", replyError},
	{"reset", resetConnection},
}

// An idempotent request is retried if a page of its result is lost: no row has been written
// to the client yet.
func TestLostPageIsRetried(t *testing.T) {
	for _, loss := range mayHaveRunFailures {
		t.Run(loss.name, func(t *testing.T) {
			var once sync.Once
			reply := func(c fakes.Command) string {
				if c.Page == 0 {
					return fakes.ResultReply(c.ID, "batches=2", "a\tb\tc\n")
				}
				lost := ""
				once.Do(func() { lost = loss.reply(c) })
				if lost != "" {
					return lost
				}
				return fakes.PageReply(c.ID, c.Page, "d\te\tf\n")
			}
			a, b := fakes.NewScriptedEngine(t, "s-1", reply), fakes.NewScriptedEngine(t, "s-2", reply)
			f := startFrontEnd(t, "", 1024, a, b)
			f.connect().send(lookupMessage(1, "x")).expectRows(2)
		})
	}
}

// A load that may have run is never sent again. Its client gets one response: a failure and
// not a rejection.
func TestLoadThatMayHaveRunIsNotRetried(t *testing.T) {
	for _, loss := range mayHaveRunFailures {
		t.Run(loss.name, func(t *testing.T) {
			a, b := fakes.NewScriptedEngine(t, "s-1", loss.reply), fakes.NewScriptedEngine(t, "s-2", loss.reply)
			f := startFrontEnd(t, "", 1024, a, b)
			keyed := requestMessage("load", requestID(1), timeoutHeaders+"Req-Key: 7f\r\n", "INSERT")
			status, _, body := f.connect().roundTrip(keyed)
			sent := len(a.Attempts()) + len(b.Attempts())
			if status != 502 || body.Err == "" || body.Err == "Rejected" || sent != 1 {
				t.Errorf("status %d, %+v, sent %d times, want a failure with 502, sent once", status, body, sent)
			}
		})
	}
}

// A request that certainly did not run is retried at another engine. If every engine is
// full, it is rejected before its deadline, with a retry delay.
func TestRejectionAfterRetries(t *testing.T) {
	a, b := fakes.NewScriptedEngine(t, "s-1", replyFull), fakes.NewScriptedEngine(t, "s-2", replyFull)
	f := startFrontEnd(t, "", 1024, a, b)
	for k, class := range []string{"lookup", "load"} {
		status, header, body := f.connect().roundTrip(requestMessage(class, requestID(k), "Req-Wait-Ms: 1200\r\n", "x"))
		retryAfterMS, err := strconv.Atoi(header.Get("Srv-Wait-Ms"))
		if status != 503 || body.Err != "Rejected" || err != nil || retryAfterMS <= 0 || retryAfterMS > 500 {
			t.Errorf("%s: status %d, retry after %q, %+v", class, status, header.Get("Srv-Wait-Ms"), body)
		}
	}
	for _, e := range []*fakes.Engine{a, b} {
		if len(e.Attempts()) == 0 {
			t.Errorf("engine %s received no attempt", e.ID)
		}
	}
}

// A load at an unresponsive engine fails before its deadline, and its attempt is cancelled.
func TestUnresponsiveEngine(t *testing.T) {
	f, e := startWithEngine(t, neverReply)
	f.connect().send(requestMessage("load", requestID(1), "Req-Wait-Ms: 700\r\n", "x")).expectError(504, "Deadline")
	waitForCancels(t, 1, e)
	if counters := f.process.Stop()["requests"].(map[string]any); counters["Late"] != 0.0 {
		t.Errorf("late responses: counters %v", counters)
	}
}

// If a connection can't be established, a load is retried at another engine within its
// deadline: nothing was written, so it does not run twice.
func TestConnectTimeout(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-1", replyOneRow)
	f := startFrontEnd(t, "", 1024, e, &fakes.Engine{ID: "s-0", Addr: unreachableAddr(t)})
	c := f.connect()
	for k := range 12 {
		c.send(loadMessage(k, selectFromGroup(k))).expectStatus(200)
	}
	if len(e.Attempts()) != 12 {
		t.Errorf("%d requests at the engine, want 12", len(e.Attempts()))
	}
}

// unreachableAddr returns an address at which connections are never established: its
// backlog is full, and no process accepts from it.
func unreachableAddr(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for {
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			return addr
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}
