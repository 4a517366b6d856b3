package discovery

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dewhill/internal/fakes"
	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// listed is the body of a response with one event about one endpoint.
const listed = `{"rev":41,"notices":[{"rev":41,"pool":{"seq":7,"whole":false,"hosts":[{"host":"s-00c41f7a",
	"dial":"10.1.0.9:5050","site":"east","class":"std","block":2,"health":"active","share":4,"born_ms":0}]}}]}`

// TestResponsesInPieces checks that a response with a Content-Length or a chunked body is
// read alike however it is split into segments.
func TestResponsesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(listed), listed)
		if k := rapid.IntRange(0, len(listed)-1).Draw(t, "chunk"); k > 0 {
			message = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n",
				k, listed[:k], len(listed)-k, listed[k:])
		}
		in := lineproto.New(testprocess.NewChunkedConn(t, []byte(message+message)), 16<<10)
		for range 2 {
			body, err := readResponse(in)
			var n Updates
			if err != nil || json.Unmarshal(body, &n) != nil || n.Validate() != nil || n.Updates[0].Endpoints.Endpoints[0].ID != "s-00c41f7a" {
				t.Fatalf("%q: %v", body, err)
			}
		}
	})
}

// TestMalformedResponses checks that malformed input leads to an error or to valid
// updates.
func TestMalformedResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := lineproto.New(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")), 16<<10)
		_, _ = readResponse(in)
		var n Updates
		if json.Unmarshal(testprocess.MalformedMessage(t, listed), &n) == nil && n.Validate() == nil {
			for _, e := range n.Updates {
				if e.Revision > n.Revision {
					t.Fatalf("%+v", n)
				}
			}
		}
	})
}

// TestWatchOrdersAndDeduplicates checks that each event is delivered once and in order if
// the service repeats or reorders events, and that polls are spaced if it responds at
// once without new events. An event that arrives after Watch has ended is not delivered.
func TestWatchOrdersAndDeduplicates(t *testing.T) {
	events := func(revision int, eventRevisions ...int) string {
		updates := fakes.Updates{Revision: revision, Updates: []fakes.Update{}}
		for _, r := range eventRevisions {
			updates.Updates = append(updates.Updates, fakes.OneUpdate(r, false, removed(fmt.Sprint("s-", r))).Updates...)
		}
		return updates.JSON()
	}
	last := make(chan fakes.Poll, 1)
	service := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		switch p.Number {
		case 1:
			return events(4, 4, 2, 3, 3)
		case 2: // repeats event 4 and an older event
			return events(4, 4, 1)
		case 3:
			return events(6, 6, 5)
		case 9:
			last <- p
			return ""
		default:
			return events(6)
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var got []int64
	begun := time.Now()
	done := make(chan bool)
	go func() {
		Watch(ctx, service.Addr, 1, func(n *Updates) {
			for _, e := range n.Updates {
				got = append(got, e.Revision)
			}
		}, func(error) {})
		close(done)
	}()
	ninth := <-last
	if took := time.Since(begun); took < 5*emptyPollInterval {
		t.Errorf("nine polls within %v", took)
	}
	cancel()
	ninth.Respond(events(9, 9))
	<-done
	if want := []int64{2, 3, 4, 5, 6}; !slices.Equal(got, want) {
		t.Errorf("delivered %v, want %v", got, want)
	}
}

// removed returns an endpoint in the state Removed.
func removed(id string) fakes.Endpoint { return fakes.Endpoint{ID: id, State: fakes.Removed} }

// TestInvalidEndpointDoesNotHideOthers checks that a response with an endpoint in an
// unknown state, without an address or without an id is rejected and requested again. If
// the endpoint is invalid again, it counts as draining (without an id, it is dropped),
// and the changes beside it and after it are delivered.
func TestInvalidEndpointDoesNotHideOthers(t *testing.T) {
	const addr = "127.0.0.1:1"
	updates := []fakes.Updates{
		fakes.OneUpdate(1, false,
			fakes.Endpoint{ID: "a", State: "resting", Address: addr},
			fakes.Endpoint{ID: "b", State: fakes.Active},
			fakes.Endpoint{State: fakes.Active, Address: addr},
			removed("c")),
		fakes.OneUpdate(2, false, fakes.Endpoint{ID: "d", State: fakes.Draining, Address: addr}),
	}
	service := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		if p.Revision < len(updates) {
			return updates[p.Revision].JSON()
		}
		return fakes.Updates{Revision: len(updates), Updates: []fakes.Update{}}.JSON()
	})
	ctx, cancel := context.WithTimeout(context.Background(), testprocess.WaitTimeout)
	defer cancel()
	states := map[string]State{}
	faults := 0
	Watch(ctx, service.Addr, 0, func(n *Updates) {
		for _, e := range n.Updates {
			for _, h := range e.Endpoints.Endpoints {
				states[h.ID] = h.State
			}
		}
		if n.Revision == 2 {
			cancel()
		}
	}, func(error) { faults++ })
	want := map[string]State{"a": Draining, "b": Draining, "c": Removed, "d": Draining}
	if !maps.Equal(states, want) || faults != 2 {
		t.Errorf("delivered %v after %d faults, want %v after 2", states, faults, want)
	}
}

// TestSlowServiceIsWatched checks that responses that take longer than the poll timeout
// are still received, and that the number of parallel polls stays bounded.
func TestSlowServiceIsWatched(t *testing.T) {
	const slow = pollTimeout + time.Second
	service := fakes.NewScriptedDiscovery(t, func(fakes.Poll) string {
		time.Sleep(slow)
		return fakes.OneUpdate(1, false, removed("a")).JSON()
	})
	ctx, cancel := context.WithTimeout(context.Background(), testprocess.WaitTimeout)
	defer cancel()
	var timeouts int
	Watch(ctx, service.Addr, 0, func(n *Updates) { cancel() }, func(err error) {
		if errors.Is(err, errUnresponsive) {
			timeouts++
		}
	})
	if open := service.MaxConnections(); timeouts == 0 || open > maxPolls {
		t.Errorf("%d timeouts, %d polls in parallel", timeouts, open)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		t.Error("no response of the service was received")
	}
}

// TestSincePrevious checks that SincePrevious is the time since the previous response,
// whether that one had updates or not.
func TestSincePrevious(t *testing.T) {
	const delay = 300 * time.Millisecond
	service := fakes.NewScriptedDiscovery(t, func(p fakes.Poll) string {
		switch p.Number {
		case 1:
			return fakes.OneUpdate(1, false, removed("a")).JSON()
		case 2: // no new events
			return fakes.Updates{Revision: 1, Updates: []fakes.Update{}}.JSON()
		default:
			time.Sleep(delay)
			return fakes.OneUpdate(p.Revision+1, false, removed("b")).JSON()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), testprocess.WaitTimeout)
	defer cancel()
	var spans []time.Duration
	begun := time.Now()
	Watch(ctx, service.Addr, 0, func(u *Updates) {
		spans = append(spans, u.SincePrevious)
		if len(spans) == 3 {
			cancel()
		}
	}, func(error) {})
	elapsed := time.Since(begun)
	if len(spans) != 3 || spans[0] != 0 {
		t.Fatalf("values of SincePrevious: %v, want three, the first 0", spans)
	}
	for _, span := range spans[1:] {
		if span < delay || span > elapsed-delay {
			t.Errorf("SincePrevious is %v within a watch of %v", span, elapsed)
		}
	}
}
