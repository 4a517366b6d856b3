package server_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// Unsolicited replies of an engine end neither its connection nor an open request. They are
// a reply with invalid UTF-8 to an unknown request id, and duplicates of replies.
func TestUnsolicitedEngineReplies(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
		reply := fakes.ResultReply(c.ID, "batches=2", "a\tb\tc\n")
		if c.Page == 1 {
			reply = fakes.PageReply(c.ID, 1, "d\te\tf\n")
		}
		return fakes.ResultReply("00000000000000ff", "batches=9", "\xff\xfe") + reply + reply
	})
	f := startFrontEnd(t, "", 1024, e)
	c := f.connect()
	for k := range 5 {
		c.send(loadMessage(k, "x")).expectRows(2)
	}
	connections, _ := e.ConnectionCounts()
	if len(e.Attempts()) != 5 || connections != 1 {
		t.Errorf("%d requests on %d connections, want 5 on 1", len(e.Attempts()), connections)
	}
}

// A reply that can't be parsed, or a page that does not consist of rows, ends the
// connection. Other attempts that are open there end at once: a load fails, as it may have
// run, and an idempotent request is retried. No malformed row is served.
func TestMalformedEngineReply(t *testing.T) {
	for _, malformed := range []struct{ name, reply string }{
		{"rows not UTF-8", "%s ACK batches=1 8\r\na\t1\t\xff\xfe\xff\n\r\n"},
		{"row without an end", "%s ACK batches=1 3\r\na\tb\r\n"},
		{"number of pages", "%s ACK batches=many 6\r\na\tb\tc\n\r\n"},
		{"huge length", "%s ACK batches=1 3000000000\r\na\tb\tc\n"},
		{"line without an end", "\x00\x01 %s" + strings.Repeat("x", 9000)},
	} {
		t.Run(malformed.name, func(t *testing.T) {
			var mu sync.Mutex
			lookups := 0
			e := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
				mu.Lock()
				defer mu.Unlock()
				if c.Statement == "load" {
					return ""
				}
				lookups++
				if lookups == 1 {
					return fmt.Sprintf(malformed.reply, c.ID)
				}
				return replyOneRow(c)
			})
			f := startFrontEnd(t, "", 1024, e)
			load, lookup := f.connect(), f.connect()
			load.send(loadMessage(1, "load"))
			waitForRequests(t, 1, e)
			status, _, body := lookup.roundTrip(lookupMessage(2, "x"))
			if status != 200 || fmt.Sprint(body.Page) != "[[a b c]]" {
				t.Errorf("status %d, want 200 and one row: %+v", status, body)
			}
			load.expectError(502, "Failed")
			if len(e.Attempts()) != 3 {
				t.Errorf("%d requests at the engine, want 3", len(e.Attempts()))
			}
		})
	}
}

// An engine replies, sends a part of another line and closes the connection. The reply is
// used, and the next request is sent on a new connection.
func TestPartialLineAtClose(t *testing.T) {
	var requests atomic.Int32
	e := &fakes.Engine{ID: "s-1"}
	e.Addr = fakes.Listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		buffer := make([]byte, 4096)
		n, _ := c.Read(buffer)
		if fields := strings.Fields(string(buffer[:n])); len(fields) > 1 && fields[0] == "PULL" {
			requests.Add(1)
			_, _ = io.WriteString(c, replyOneRow(fakes.Command{ID: fields[1]})+"0123 AC")
		}
	})
	f := startFrontEnd(t, "", 1024, e)
	c := f.connect()
	for k := range 10 {
		c.send(lookupMessage(k, "x")).expectRows(1)
		f.waitForCounter(fmt.Sprintf(`"Dials":%d`, k+1))
		testprocess.Until(t, "the front end to notice the close", func() bool {
			f.process.Signal(syscall.SIGUSR1)
			log := f.process.Log()
			return strings.Contains(log[strings.LastIndex(log, "counters: "):], `"engine_conns":0`)
		})
	}
	if requests.Load() != 10 {
		t.Errorf("%d requests at the engine, want 10", requests.Load())
	}
}
