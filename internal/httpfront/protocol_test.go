package httpfront

import (
	"fmt"
	"reflect"
	"strings"
	"testing"

	"dewhill/internal/dispatch"
)

// messageTo returns a message with a request of a class and additional header lines.
// Each header line must include its line ending.
func messageTo(class, headers string) string {
	return fmt.Sprintf("POST /api/v2/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\nReq-Wait-Ms: 500\r\n%s"+
		"Content-Length: 1\r\n\r\nx", class, testID, headers)
}

// TestUnknownHeadersAreIgnored checks that header fields that the protocol does not
// define, among them Req-Retry, with which a client marks a retry, have no effect: the
// request is submitted as without them.
func TestUnknownHeadersAreIgnored(t *testing.T) {
	for _, headers := range []string{
		"", "Req-Retry: 1\r\n", "Req-Retry: 0\r\n", "Req-Later: 7\r\n",
		"Content-Type: text/plain\r\nExpect: nothing\r\n",
	} {
		loop, server, c := newRecordingServer()
		if err := send(server, c, messageTo("lookup", headers)); err != nil {
			t.Fatalf("%q: %v", headers, err)
		}
		want := dispatch.Request{ID: testID, ArrivedAtMS: 1000, DeadlineAtMS: 1450}
		got := loop.submitted[testID]
		want.Dataset = got.Dataset // derived from the statement, not from header fields
		if text := nextResponse(t, c); text != "" || !reflect.DeepEqual(got, want) {
			t.Errorf("%q: response %q, submitted %+v, want %+v", headers, text, got, want)
		}
	}
}

// TestMalformedIdempotencyKeys checks that a request whose idempotency key is absent,
// empty, repeated, too long or unfit for a field of an engine's request is rejected with
// 400 and not submitted. A key that is not required may be absent, but not malformed.
func TestMalformedIdempotencyKeys(t *testing.T) {
	longest := strings.Repeat("k", maxKeyBytes)
	for _, c := range []struct{ class, headers, reason string }{
		{"change", "", "no Req-Token"},
		{"change", "Req-Token:\r\n", "no Req-Token"},
		{"change", "Req-Token: k-1\r\nReq-Token: k-1\r\n", "more than one Req-Token"},
		{"change", "Req-Token: a b\r\n", "bad Req-Token"},
		{"change", "Req-Token: a,nice=3\r\n", "bad Req-Token"},
		{"change", "Req-Token: a\tb\r\n", "bad Req-Token"},
		{"change", "Req-Token: k\u00e9y\r\n", "bad Req-Token"},
		{"change", "Req-Token: " + longest + "k\r\n", "bad Req-Token"},
		{"lookup", "Req-Token: a b\r\n", "bad Req-Token"},
		{"change", "Req-Token: " + longest + "\r\n", ""},
		{"change", "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n", ""},
		{"change", "Req-Token: a=b\r\n", ""},
		{"lookup", "", ""},
	} {
		loop, server, conn := newRecordingServer()
		if err := send(server, conn, messageTo(c.class, c.headers)); err != nil {
			t.Fatalf("%s %.40q: %v", c.class, c.headers, err)
		}
		text := nextResponse(t, conn)
		_, submitted := loop.submitted[testID]
		if c.reason == "" {
			if text != "" || !submitted {
				t.Errorf("%s %.40q: response %q, submitted %v", c.class, c.headers, text, submitted)
			}
			continue
		}
		want := fmt.Sprintf("{\"err\":%q}", c.reason)
		if !strings.HasPrefix(text, "HTTP/1.1 400 ") || !strings.HasSuffix(text, want) || submitted {
			t.Errorf("%s %.40q: response %q, submitted %v", c.class, c.headers, text, submitted)
		}
	}
}

// TestPollMethodsAndPaths checks that a poll path accepts only GET and DELETE, and that
// a path without an existing request and chunk gives 404.
func TestPollMethodsAndPaths(t *testing.T) {
	loop, server, dial := newFakeServer()
	submit(server, dial())
	loop.runTimers() // no response before the poll timer, so the client is sent a poll path
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{"POST", pollPrefix + testID + "/0", 405},
		{"PUT", pollPrefix + testID + "/0", 405},
		{"GET", pollPrefix + testID, 404},
		{"GET", pollPrefix + testID + "/x", 404},
		{"GET", pollPrefix + "00000000000000ff/0", 404},
		{"DELETE", pollPrefix + "00000000000000ff/0", 404},
		{"GET", pollPrefix, 404},
		{"POST", healthPath, 404},
	} {
		conn := dial()
		get(server, conn, c.method, c.path)
		if r := <-conn.responses; r.status != c.status || !r.closeAfter {
			t.Errorf("%s %s: response %+v, want status %d and a close", c.method, c.path, r, c.status)
		}
	}
	if len(loop.abandoned) != 0 || len(server.exchanges) != 1 {
		t.Errorf("%v abandoned, %d exchanges open; want none and 1", loop.abandoned, len(server.exchanges))
	}
}

// TestPollRepeatedThreeTimes checks that a client whose request is not completed may
// repeat a poll on three new connections, one after another, and receives the response
// on the last one.
func TestPollRepeatedThreeTimes(t *testing.T) {
	loop, server, dial := newFakeServer()
	first := dial()
	submit(server, first)
	loop.runTimers()
	path := (<-first.responses).pollPath
	get(server, first, "GET", path)
	last := first
	for range 3 {
		server.removeConnection(last)
		last = dial()
		get(server, last, "GET", path)
	}
	if len(loop.abandoned) != 0 || loop.disconnected[testID] {
		t.Fatalf("%v abandoned, disconnected: %v", loop.abandoned, loop.disconnected)
	}
	served := dispatch.Response{RequestID: testID, Outcome: dispatch.Served}
	loop.respond[testID](served, [][]byte{[]byte("a\tb\tc\n")})
	if r := <-last.responses; r.status != 200 || len(r.pages) != 1 || r.pollPath != "" {
		t.Errorf("response %+v, want status 200, one page and no poll path", r)
	}
}
