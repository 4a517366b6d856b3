package server_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// The response has the rows of all pages of a result, in order and unchanged, and the
// statement is forwarded unchanged.
func TestResultPagesInOrder(t *testing.T) {
	pages := []string{"a\t1\tx\nb\t2\t\"<é>\\\n", "c\t3\t\n", "d\t\ty\n"}
	e := fakes.NewScriptedEngine(t, "s-1", func(c fakes.Command) string {
		if c.Page > 0 {
			return fakes.PageReply(c.ID, c.Page, pages[c.Page])
		}
		return fakes.ResultReply(c.ID, "batches=3,cpu=12.5,used=64,load=inflight:7;util:0.61", pages[0])
	})
	f := startFrontEnd(t, "", 1024, e)
	c := f.connect()
	const statement = "SELECT 'é\r\n' FROM sales_17.orders"
	want := [][]string{{"a", "1", "x"}, {"b", "2", "\"<é>\\"}, {"c", "3", ""}, {"d", "", "y"}}
	for k := range 3 {
		status, _, body := c.roundTrip(lookupMessage(k, statement))
		if status != 200 || body.Poll != "" || fmt.Sprint(body.Page) != fmt.Sprint(want) {
			t.Fatalf("status %d, want 200 and the rows %q: %+v", status, want, body)
		}
	}
	first := e.Attempts()[0]
	sent := first.ID + " " + first.RawFields + " " + first.Statement
	prefix, suffix := requestID(0)+" c=lookup,w=", ",nice=3 "+statement
	if !strings.HasPrefix(sent, prefix) || !strings.HasSuffix(sent, suffix) {
		t.Errorf("sent %q, want %q…%q", sent, prefix, suffix)
	}
	counters := f.process.Stop()["engines"].(map[string]any)
	if counters["Pulls"] != 3.0 || counters["Scrolls"] != 6.0 || counters["Discards"] != 3.0 {
		t.Errorf("counters %v, want 3 pulls, 6 scrolls and 3 discards", counters)
	}
}

// malformedRequests are requests that must be rejected, each with the expected status.
var malformedRequests = []struct {
	name, message string
	status        int
}{
	{"no request line", "nonsense\r\n\r\n", 400},
	{"unknown path", "GET /none HTTP/1.1\r\n\r\n", 404},
	{"HTTP version", "GET /-/healthy HTTP/3\r\n\r\n", 505},
	{"header without a name", "GET /-/healthy HTTP/1.1\r\n bad\r\n\r\n", 400},
	{"two lengths", lookupWithHeader("Content-Length: 1"), 400},
	{"chunked", lookupWithHeader("Transfer-Encoding: chunked"), 411},
	{"two ids", lookupWithHeader("Req-Id: " + requestID(9)), 400},
	{"long header", lookupWithHeader("X: " + strings.Repeat("x", 20000)), 431},
	{"unknown class", requestMessage("nope", requestID(1), timeoutHeaders, "x"), 404},
	{"id not hexadecimal", requestMessage("lookup", "xyz", timeoutHeaders, "x"), 400},
	{"long id", requestMessage("lookup", requestID(1)+"0", timeoutHeaders, "x"), 400},
	{"no timeout", requestMessage("lookup", requestID(1), "", "x"), 400},
	{"negative timeout", requestMessage("lookup", requestID(1), "Req-Wait-Ms: -5\r\n", "x"), 400},
	{"timeout with an exponent", requestMessage("lookup", requestID(1), "Req-Wait-Ms: 1e3\r\n", "x"), 400},
	{"huge timeout", requestMessage("lookup", requestID(1), "Req-Wait-Ms: 99999999999\r\n", "x"), 400},
	{"huge cost", requestMessage("lookup", requestID(1), "Req-Wait-Ms: 9\r\nReq-Cost: 1e12\r\n", "x"), 400},
	{"memory not a number", requestMessage("lookup", requestID(1), timeoutHeaders+"X-Mb: NaN\r\n", "x"), 400},
	{"huge memory", requestMessage("lookup", requestID(1), timeoutHeaders+"X-Mb: 1e300\r\n", "x"), 400},
	{"no statement", lookupMessage(1, ""), 400},
	{"space before a colon", lookupWithHeader("Transfer-Encoding : chunked"), 400},
	{"empty transfer encoding", lookupWithHeader("Transfer-Encoding:"), 411},
	{"no length", "POST /api/v2/lookup HTTP/1.1\r\n\r\n", 411},
	{"negative length", "POST /api/v2/lookup HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400},
	{"huge length", "POST /api/v2/lookup HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 413},
	{"wrong method", "GET /api/v2/lookup HTTP/1.1\r\n\r\n", 405},
	{"unknown poll path", "GET /polls/" + requestID(1) + "/0 HTTP/1.1\r\n\r\n", 404},
}

// lookupWithHeader returns a lookup with a header in place of Host.
func lookupWithHeader(header string) string {
	return strings.Replace(lookupMessage(9, "x"), "Host: x", header, 1)
}

// A malformed request gets a 4xx or 5xx response, its connection is closed, and it never
// reaches an engine.
func TestMalformedRequests(t *testing.T) {
	f, e := startWithEngine(t, replyNoRows)
	for _, c := range malformedRequests {
		t.Run(c.name, func(t *testing.T) {
			client := f.connect()
			status, _, _ := client.roundTrip(c.message)
			if status != c.status {
				t.Errorf("%.60q: status %d, want %d", c.message, status, c.status)
			}
			if n, err := client.reader.Read(make([]byte, 1)); n != 0 || err == nil || os.IsTimeout(err) {
				t.Errorf("%.60q: the connection stays open", c.message)
			}
		})
	}
	if len(e.Attempts()) != 0 {
		t.Errorf("the engine received %+v", e.Attempts())
	}
}

// A request id that was accepted is rejected when it is used again, also after malformed
// requests.
func TestDuplicateRequestID(t *testing.T) {
	f, e := startWithEngine(t, replyNoRows)
	for _, c := range malformedRequests {
		f.connect().roundTrip(c.message)
	}
	c := f.connect()
	c.send(loadMessage(5, "x")).expectStatus(200)
	c.send(loadMessage(5, "x")).expectStatus(409)
	if len(e.Attempts()) != 1 {
		t.Errorf("%d requests at the engine, want 1", len(e.Attempts()))
	}
}

// Loads with the same key run one at a time, in the order in which they arrived.
func TestLoadsOfOneKeyRunInOrder(t *testing.T) {
	var mu sync.Mutex
	running, maxRunning := 0, 0
	var order []string
	reply := func(c fakes.Command) string {
		mu.Lock()
		running++
		maxRunning = max(maxRunning, running)
		order = append(order, c.ID)
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		running--
		mu.Unlock()
		return replyNoRows(c)
	}
	f := startFrontEnd(t, "", 1024, fakes.NewScriptedEngine(t, "s-1", reply), fakes.NewScriptedEngine(t, "s-2", reply))
	var want []string
	var clients []*client
	for k := range 5 {
		c := f.connect()
		c.send(requestMessage("load", requestID(k), timeoutHeaders+"Req-Key: 7f\r\n", "x"))
		clients = append(clients, c)
		want = append(want, requestID(k))
		f.waitForCounter(fmt.Sprintf(`"Taken":%d`, k+1))
	}
	for _, c := range clients {
		c.expectStatus(200)
	}
	if maxRunning != 1 || strings.Join(order, " ") != strings.Join(want, " ") {
		t.Errorf("at most %d loads ran at once, in the order %q, want 1 and %q", maxRunning, order, want)
	}
}

// Requests that arrive while the previous request of the connection is open are read after
// its response: the reader must wake up for bytes that it received before.
func TestPipelinedRequests(t *testing.T) {
	g := newGate()
	f, e := startWithEngine(t, g.reply)
	c := f.connect()
	c.send(lookupMessage(1, "slow"))
	waitForRequests(t, 1, e)
	c.send(lookupMessage(2, "x") + lookupMessage(3, "x"))
	g.open()
	for range 3 {
		c.expectRows(1)
	}
}
