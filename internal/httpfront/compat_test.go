package httpfront

import (
	"bytes"
	"errors"
	"net"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
)

// recordingLoop is a fakeLoop that records the queries submitted.
type recordingLoop struct {
	fakeLoop
	queries map[string]dispatch.Query
}

func (loop *recordingLoop) Submit(r dispatch.Request, work any, respond func(dispatch.Response, any)) error {
	loop.queries[r.ID] = work.(dispatch.Query)
	return loop.fakeLoop.Submit(r, work, respond)
}

func (loop *recordingLoop) CountersJSON() []byte { return []byte(`{"open":1}`) }

// newRecordingServer returns a server, its event loop, and a connection to it.
func newRecordingServer(tenants ...string) (*recordingLoop, *Server, *connection) {
	loop := &recordingLoop{queries: map[string]dispatch.Query{}}
	loop.fakeLoop = fakeLoop{now: 1000, respond: map[string]func(dispatch.Response, any){}, disconnected: map[string]bool{}}
	server := New(loop, Options{Classes: []ClassLimits{{Name: "lookup", MaxWorkMS: 1e6}, {Name: "change", MaxWorkMS: 1e6, RequiresIdempotencyKey: true}}, Tenants: tenants, MaxConnections: 10, RetryAfterMS: 500})
	socket, _ := net.Pipe()
	c := server.newConnection(socket)
	server.register(c)
	return loop, server, c
}

// send parses a message and passes it to the server as if the server had read it from
// the connection.
func send(server *Server, c *connection, text string) error {
	m, err := readRequest(lineproto.New(strings.NewReader(text), maxHeadBytes), maxBodyBytes)
	var malformed *requestError
	if errors.As(err, &malformed) {
		server.reject(c, malformed)
	} else if err != nil {
		return err
	} else {
		m.arrivedAtMS = server.loop.Now()
		server.handle(c, m)
	}
	return nil
}

// recordingConn is a connection that records what is written to it.
type recordingConn struct {
	net.Conn
	bytes.Buffer
}

func (w *recordingConn) Write(p []byte) (int, error) { return w.Buffer.Write(p) }
func (w *recordingConn) Read(p []byte) (int, error)  { return w.Buffer.Read(p) }

// nextResponse returns the bytes of the next queued response, or an empty string if
// there is none.
func nextResponse(t *testing.T, c *connection) string {
	t.Helper()
	select {
	case r := <-c.responses:
		var w recordingConn
		if err := r.write(&w); err != nil {
			t.Fatal(err)
		}
		return w.String()
	default:
		return ""
	}
}

// goldenCases reads a golden file. Each line holds a name and quoted texts, separated
// by tabs.
func goldenCases(t *testing.T, name string) (list [][]string) {
	t.Helper()
	text, err := os.ReadFile("testdata/compat/" + name)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		parts := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		for i := range parts[1:] {
			if parts[i+1], err = strconv.Unquote(parts[i+1]); err != nil {
				t.Fatalf("%s: %v", line, err)
			}
		}
		list = append(list, parts)
	}
	return list
}

// TestCompatMessages checks the exact responses to messages that the server handles
// without the event loop. Each case holds a name, the bytes of the message and the
// bytes of the response.
func TestCompatMessages(t *testing.T) {
	for _, testCase := range goldenCases(t, "calls.txt") {
		name := testCase[0]
		message := testCase[1]
		want := testCase[2]
		_, server, c := newRecordingServer()
		server.SetDraining(strings.HasPrefix(name, "away"))
		c.overLimit = strings.HasPrefix(name, "excess")
		if strings.HasPrefix(name, "in use") {
			server.exchanges["9b1f03aa5c7e2d41"] = &exchange{}
		}
		if err := send(server, c, message); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if got := nextResponse(t, c); got != want {
			t.Errorf("got\n%s\t%q\t%q", name, message, got)
		}
	}
}

// TestCompatRequest checks the request and the query that the server submits for given
// header fields.
func TestCompatRequest(t *testing.T) {
	loop, server, c := newRecordingServer()
	for _, testCase := range goldenCases(t, "requests.txt") {
		if err := send(server, c, testCase[1]); err != nil {
			t.Fatalf("%s: %v", testCase[0], err)
		}
		if text := nextResponse(t, c); text != "" {
			t.Fatalf("%s: unexpected response %q", testCase[0], text)
		}
	}
	want := dispatch.Request{
		ID:           "9b1f03aa5c7e2d41",
		Class:        1,
		ArrivedAtMS:  1000,
		DeadlineAtMS: 9920,
		WorkMS:       250.5,
		MemoryMB:     96,
		Key:          "stock",
	}
	got := loop.submitted["9b1f03aa5c7e2d41"]
	want.Dataset = got.Dataset // derived from the statement, not from header fields
	if !reflect.DeepEqual(got, want) {
		t.Errorf("submitted %+v, want %+v", got, want)
	}
	if got, want := loop.queries["9b1f03aa5c7e2d41"], (dispatch.Query{Statement: []byte("select 1\nfrom stock"), IdempotencyKey: "k-1"}); !reflect.DeepEqual(got, want) {
		t.Errorf("query %q, want %q", got, want)
	}
	want = dispatch.Request{ID: "00000000000000aa", ArrivedAtMS: 1000, DeadlineAtMS: 1450}
	got = loop.submitted["00000000000000aa"]
	want.Dataset = got.Dataset
	if !reflect.DeepEqual(got, want) {
		t.Errorf("required fields only: submitted %+v, want %+v", got, want)
	}
}

// TestCompatResponses checks the exact responses to a request for each outcome. Each
// case holds a name and the bytes of the responses.
func TestCompatResponses(t *testing.T) {
	rows := [][]byte{[]byte("a\t1\t\nb\t\"2\"\t<é>\n"), []byte("c\t3\tx\n")}
	outcomes := map[string]struct {
		response dispatch.Response
		pages    [][]byte
	}{
		"served":            {dispatch.Response{Outcome: dispatch.Served}, rows},
		"served, no rows":   {dispatch.Response{Outcome: dispatch.Served}, [][]byte{nil}},
		"refused":           {dispatch.Response{Outcome: dispatch.Rejected, RetryAfterMS: 12.3}, nil},
		"refused, no wait":  {dispatch.Response{Outcome: dispatch.Rejected}, nil},
		"failed":            {dispatch.Response{Outcome: dispatch.Failed}, nil},
		"failed, late":      {dispatch.Response{Outcome: dispatch.Failed, DeadlinePassed: true}, nil},
		"polled, then rows": {dispatch.Response{Outcome: dispatch.Served}, rows},
	}
	request := "POST /api/v2/lookup HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Wait-Ms: 500\r\nContent-Length: 1\r\n\r\nx"
	for _, testCase := range goldenCases(t, "answers.txt") {
		name := testCase[0]
		outcome, ok := outcomes[name]
		if !ok {
			t.Fatalf("the golden file has an unknown case %q", name)
		}
		delete(outcomes, name)
		loop, server, c := newRecordingServer()
		if err := send(server, c, request); err != nil {
			t.Fatal(err)
		}
		got := ""
		if strings.HasPrefix(name, "polled") {
			loop.runTimers() // no response before the poll timer
			got = nextResponse(t, c)
			if err := send(server, c, "GET /polls/00000000000000aa/0 HTTP/1.1\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
		var result any
		if outcome.pages != nil {
			result = outcome.pages
		}
		loop.respond["00000000000000aa"](outcome.response, result)
		got += nextResponse(t, c)
		if got != testCase[1] {
			t.Errorf("got\n%s\t%q", name, got)
		}
	}
	if len(outcomes) > 0 {
		t.Errorf("outcomes not in the golden file: %v", outcomes)
	}
}

// TestCompatDelete checks that a client cancels a request by DELETE of its path.
func TestCompatDelete(t *testing.T) {
	loop, server, c := newRecordingServer()
	request := "POST /api/v2/lookup HTTP/1.1\r\nReq-Id: 00000000000000aa\r\nReq-Wait-Ms: 500\r\nContent-Length: 1\r\n\r\nx"
	if err := send(server, c, request); err != nil {
		t.Fatal(err)
	}
	loop.runTimers()
	nextResponse(t, c)
	if err := send(server, c, "DELETE /polls/00000000000000aa/0 HTTP/1.1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	want := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	if got := nextResponse(t, c); got != want {
		t.Errorf("response %q, want %q", got, want)
	}
	if !reflect.DeepEqual(loop.abandoned, []string{"00000000000000aa"}) {
		t.Errorf("abandoned requests %q, want one", loop.abandoned)
	}
}

// TestCompatPageWithPath checks the bytes of a response that is not the last one of a
// result.
func TestCompatPageWithPath(t *testing.T) {
	r := &response{status: 200, pages: [][]byte{[]byte("a\t1\tx\n")}, pollPath: "/polls/00000000000000aa/1"}
	var w recordingConn
	if err := r.write(&w); err != nil {
		t.Fatal(err)
	}
	want := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 59\r\n\r\n" +
		`{"poll":"/polls/00000000000000aa/1","page":[["a","1","x"]]}`
	if w.String() != want {
		t.Errorf("wrote\n%q\nwant\n%q", w.String(), want)
	}
}

// TestCompatStatusLines checks the status line of each status code in use.
func TestCompatStatusLines(t *testing.T) {
	want := map[int]string{
		200: "HTTP/1.1 200 OK",
		400: "HTTP/1.1 400 Bad Request",
		404: "HTTP/1.1 404 Not Found",
		405: "HTTP/1.1 405 Method Not Allowed",
		408: "HTTP/1.1 408 Request Timeout",
		409: "HTTP/1.1 409 Conflict",
		410: "HTTP/1.1 410 Gone",
		411: "HTTP/1.1 411 Length Required",
		413: "HTTP/1.1 413 Content Too Large",
		431: "HTTP/1.1 431 Request Header Fields Too Large",
		502: "HTTP/1.1 502 Bad Gateway",
		503: "HTTP/1.1 503 Service Unavailable",
		504: "HTTP/1.1 504 Gateway Timeout",
		505: "HTTP/1.1 505 HTTP Version Not Supported",
	}
	for status, line := range want {
		var w recordingConn
		if err := (&response{status: status, body: []byte("{}")}).write(&w); err != nil {
			t.Fatal(err)
		}
		if first, _, _ := strings.Cut(w.String(), "\r\n"); first != line {
			t.Errorf("status line %q, want %q", first, line)
		}
	}
}
