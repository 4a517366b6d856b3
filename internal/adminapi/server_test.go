package adminapi

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/testprocess"
)

// fakeController is a Controller that records the requested changes.
type fakeController struct {
	changes []string
	noViews bool
}

func (c *fakeController) Ready() bool          { return true }
func (c *fakeController) CountersJSON() []byte { return []byte(`{"inflight":0}`) }
func (c *fakeController) FleetJSON() []byte {
	if c.noViews {
		return nil
	}
	return []byte(`{"self":"n0"}`)
}
func (c *fakeController) StateJSON() []byte { return c.FleetJSON() }
func (c *fakeController) SetEngineOverride(id string, disabled bool) error {
	if id == "few" {
		return &RefusalError{Status: 503, Body: []byte(`{"kept":1}`)}
	}
	if id == "none" {
		return errors.New("never listed")
	}
	c.changes = append(c.changes, fmt.Sprint(id, " ", disabled))
	return nil
}
func (c *fakeController) SetInService(inService bool) error {
	c.changes = append(c.changes, fmt.Sprint("in service ", inService))
	return nil
}

// requestCases are requests with the expected status and changes.
var requestCases = []struct {
	text    string
	status  int // 0: malformed
	changes string
}{
	{"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n", 200, ""},
	{"GET /control/counters?all HTTP/1.1\r\n\r\n", 200, ""},
	{"POST /control/engines/s%2D1/offline HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", 200, "s-1 true"},
	{"POST /control/engines/s-2/online HTTP/1.0\r\n\r\n", 200, "s-2 false"},
	{"POST /control/out-of-service HTTP/1.1\r\n\r\n", 200, "in service false"},
	{"POST /control/in-service HTTP/1.1\r\n\r\n", 200, "in service true"},
	{"GET /control/fleet HTTP/1.1\r\n\r\n", 200, ""},
	{"POST /control/fleet HTTP/1.1\r\n\r\n", 405, ""},
	{"GET /control/state HTTP/1.1\r\n\r\n", 200, ""},
	{"POST /control/engines/few/offline HTTP/1.1\r\n\r\n", 503, ""},
	{"POST /control/engines/none/online HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 404, ""},
	{"POST /control/engines//offline/x HTTP/1.1\r\n\r\n", 404, ""},
	{"POST /control/engines/s-1/drop HTTP/1.1\r\n\r\n", 404, ""},
	{"GET /control/in-service HTTP/1.1\r\n\r\n", 405, ""},
	{"GET /control/engines/s-1/offline HTTP/1.1\r\n\r\n", 405, ""},
	{"POST /control/engines/s-1/offline HTTP/1.1\r\nContent-Length: -3\r\n\r\n", 0, ""},
	{"POST /control/engines/s-1/offline HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n", 0, ""},
	{"POST /control/engines/s-1/offline\r\n\r\n", 0, ""},
}

// TestRequests checks the status and the changes of requests, however these are split
// into segments.
func TestRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for _, c := range requestCases {
			controller := &fakeController{}
			got, err := readRequest(testprocess.NewChunkedConn(t, []byte(c.text)))
			if errors.Is(err, errMalformedRequest) != (c.status == 0) {
				t.Fatalf("%q: %v", c.text, err)
			}
			if err != nil {
				continue
			}
			resp := New(controller, 4).handle(got)
			if resp.status != c.status || strings.Join(controller.changes, ", ") != c.changes {
				t.Fatalf("%q: status %d, changes %q", c.text, resp.status, controller.changes)
			}
		}
	})
}

// TestNoViews checks that the paths of the fleet and the state are not found, with any
// method, if the controller has no such views.
func TestNoViews(t *testing.T) {
	for _, call := range []string{"GET /control/fleet", "POST /control/fleet", "GET /control/state", "POST /control/state"} {
		method, path, _ := strings.Cut(call, " ")
		resp := New(&fakeController{noViews: true}, 4).handle(request{method: method, path: path})
		if resp.status != 404 {
			t.Errorf("%s: status %d", call, resp.status)
		}
	}
}

// TestMalformedRequests checks that malformed input leads to an error, or to a request
// that changes something only if it is a POST to a path of the API.
func TestMalformedRequests(t *testing.T) {
	var texts []string
	for _, c := range requestCases {
		texts = append(texts, c.text)
	}
	rapid.Check(t, func(t *rapid.T) {
		controller := &fakeController{}
		got, err := readRequest(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, texts...)))
		if err != nil {
			return
		}
		New(controller, 4).handle(got)
		if len(controller.changes) > 0 && (got.method != "POST" || !strings.HasPrefix(got.path, "/control/")) {
			t.Fatalf("%s %s changes %q", got.method, got.path, controller.changes)
		}
	})
}

// TestOldestIncompleteRequestIsClosed checks that when too many connections send nothing,
// the oldest is closed and a request on a new connection is served.
func TestOldestIncompleteRequestIsClosed(t *testing.T) {
	server := New(&fakeController{}, 3)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go server.Serve(listener)
	var conns []net.Conn
	for k := range 4 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
		if k < 3 {
			continue
		}
		if _, err := io.WriteString(conn, requestCases[0].text); err != nil {
			t.Fatal(err)
		}
	}
	if resp, err := io.ReadAll(conns[3]); err != nil || !strings.HasPrefix(string(resp), "HTTP/1.1 200 ") {
		t.Errorf("response on the new connection: %q, %v", resp, err)
	}
	if n, err := conns[0].Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the oldest connection: %d bytes, %v", n, err)
	}
}
