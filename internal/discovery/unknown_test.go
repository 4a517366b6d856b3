package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"reflect"
	"testing"

	"dewhill/internal/fakes"
	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// TestUnknownKeysAreSkipped checks that unknown keys are ignored at each level of a response,
// and that an event without an endpoint list is read as an event of another kind.
func TestUnknownKeysAreSkipped(t *testing.T) {
	const known = `{"rev":2,"notices":[{"rev":1,"pool":{"whole":true,"hosts":[` +
		`{"host":"a","dial":"127.0.0.1:1","health":"active","share":2}]}},{"rev":2}]}`
	const more = `{"later":1,"rev":2,"notices":[{"rev":1,"odd":[1],"pool":{"seq":7,"later":{},"whole":true,"hosts":[` +
		`{"host":"a","dial":"127.0.0.1:1","health":"active","share":2,"later":null}]}},{"rev":2,"weather":{"wind":3}}]}`
	var want, got Updates
	for text, into := range map[string]*Updates{known: &want, more: &got} {
		if err := json.Unmarshal([]byte(text), into); err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		if err := into.Validate(); err != nil {
			t.Errorf("%s: %v", text, err)
		}
	}
	if !reflect.DeepEqual(got, want) || got.Updates[1].Endpoints != nil {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestRejectedResponses checks that a malformed response, or one with another status, is
// rejected as a whole, and that the next poll requests the same events again.
func TestRejectedResponses(t *testing.T) {
	const good = `{"rev":1,"notices":[{"rev":1,"pool":{"hosts":[{"host":"a","health":"left"}]}}]}`
	rejected := []string{
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 2\r\n\r\n{}",
		"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nrubbish",
		"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{\"rev\":\"1\",\"notices\":",
		"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n" + good,
		"READY - 0\r\n\r\n",
	}
	wanted := len(rejected) + 1
	polls := make(chan string, wanted)
	responses := make(chan string, len(rejected))
	for _, response := range rejected {
		responses <- response
	}
	close(responses)
	addr := fakes.Listen(t, func(c net.Conn) {
		defer func() { _ = c.Close() }()
		in := lineproto.New(c, maxHeadBytes)
		for {
			line, _, err := in.ReadHead()
			if err != nil || len(polls) == wanted {
				return
			}
			polls <- line
			if response, more := <-responses; more {
				_, _ = fmt.Fprint(c, response)
				continue
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(good), good)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testprocess.WaitTimeout)
	defer cancel()
	faults, delivered := 0, 0
	Watch(ctx, addr, 0, func(u *Updates) {
		delivered += len(u.Updates)
		cancel()
	}, func(error) { faults++ })
	if delivered != 1 || faults != len(rejected) || len(polls) != wanted {
		t.Errorf("%d events delivered after %d rejected responses and %d polls", delivered, faults, len(polls))
	}
	for range min(wanted, len(polls)) {
		line := <-polls
		if want := fmt.Sprintf("GET /board/poll?watch=0&linger=%d HTTP/1.1", pollWaitMS); line != want {
			t.Errorf("polled with %q, want %q", line, want)
		}
	}
}
