package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"reflect"
	"testing"
	"time"

	"dewhill/internal/lineproto"
)

// shortRequestTimeout limits the wait for a request that is shorter than the golden
// request.
const shortRequestTimeout = 5 * time.Second

// TestCompatPoll checks the messages to and from the discovery service against golden
// files: a request, and updates with a snapshot, an event of another kind and a change.
// The updates are sent with a Content-Length and in chunks.
func TestCompatPoll(t *testing.T) {
	request := golden(t, "poll.txt")
	body := bytes.TrimSuffix(golden(t, "notices.json"), []byte("\n"))
	want := &Updates{Revision: 43, Updates: []Update{
		{Revision: 41, Endpoints: &EndpointList{Snapshot: true, Endpoints: []Endpoint{
			{ID: "s-1", Address: "10.1.0.9:5050", Zone: "east", Kind: "large", Cell: 2, State: Active, Size: 0.75, StartedAtMS: 1700000000123},
			{ID: "s-2", Address: "10.1.0.10:5050", Zone: "west", Kind: "small", Cell: 3, State: Draining, Size: 0.5, StartedAtMS: 1700000000456},
		}}},
		{Revision: 42},
		{Revision: 43, Endpoints: &EndpointList{Snapshot: false, Endpoints: []Endpoint{
			{ID: "s-2", Address: "10.1.0.10:5050", Zone: "west", Kind: "small", Cell: 3, State: Removed, Size: 0.5, StartedAtMS: 1700000000456},
		}}},
	}}
	for name, response := range map[string]string{
		"stated length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
			10, body[:10], len(body)-10, body[10:]),
	} {
		clientSide, serverSide := net.Pipe()
		polled := make(chan []byte, 1)
		go func() {
			// Without a deadline, a request that is too short would block the test.
			_ = serverSide.SetReadDeadline(time.Now().Add(shortRequestTimeout))
			got := make([]byte, len(request))
			n, _ := io.ReadFull(serverSide, got)
			polled <- got[:n]
			_, _ = io.WriteString(serverSide, response)
		}()
		updates, err := poll(clientSide, lineproto.New(clientSide, 16<<10), "10.1.0.1:9000", 40, time.Minute)
		if got := <-polled; !bytes.Equal(got, request) {
			t.Errorf("%s: polled with\n%q\nwant\n%q", name, got, request)
		}
		if err != nil || !reflect.DeepEqual(updates, want) {
			t.Errorf("%s: polled %+v, %v", name, updates, err)
			continue
		}
		if err := updates.Validate(); err != nil {
			t.Errorf("%s: golden updates are invalid: %v", name, err)
		}
		encoded, err := json.Marshal(updates)
		if err != nil || !bytes.Equal(encoded, body) {
			t.Errorf("%s: encoded as %s, %v", name, encoded, err)
		}
		_ = clientSide.Close()
	}
}

// TestCompatStates checks the service's names for the states of an endpoint.
func TestCompatStates(t *testing.T) {
	for state, want := range map[State]string{Active: "active", Draining: "leaving", Removed: "left"} {
		if string(state) != want {
			t.Errorf("%q, want %q", state, want)
		}
	}
}

func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("testdata/compat/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
