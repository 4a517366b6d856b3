package httpfront

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"dewhill/internal/dispatch"
)

// polledExchange is a request in some state of its exchange, as its client sees it.
type polledExchange struct {
	loop      *fakeLoop
	server    *Server
	dial      func() *connection
	client    *connection
	waiting   bool   // a message of the client waits for a response
	path      string // the last path that the client was sent; empty: none
	pathCount int    // chunks up to the last one whose path the client was sent
	hasAll    bool   // the client has had the last response
	completed bool
	rejected  bool // completed without rows
	lost      bool // the client's connection ended without a response
}

// resultPages has three chunks.
var resultPages = [][]byte{make([]byte, 40<<10), make([]byte, 40<<10), make([]byte, 40<<10)}

func newPolledExchange(reach ...func(*polledExchange)) *polledExchange {
	e := &polledExchange{waiting: true}
	e.loop, e.server, e.dial = newFakeServer()
	e.client = e.dial()
	submit(e.server, e.client)
	for _, step := range reach {
		step(e)
	}
	return e
}

func (e *polledExchange) sendPath() {
	e.loop.runTimers() // no response before the poll timer
	e.path = (<-e.client.responses).pollPath
	e.pathCount = 1
	e.waiting = false
}

func (e *polledExchange) poll() {
	get(e.server, e.client, "GET", e.path)
	e.waiting = true
	if e.completed {
		e.receive()
	}
}

func (e *polledExchange) disconnect() {
	e.server.removeConnection(e.client)
	e.waiting = false
	e.client = e.dial()
}

func (e *polledExchange) detach() {
	e.disconnect()
	e.loop.now += pollTimeoutMS + 1
	e.server.closeTimedOut()
}

func (e *polledExchange) complete() {
	e.loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Served}, resultPages)
	e.completed = true
	if e.waiting {
		e.receive()
	}
}

func (e *polledExchange) reject() {
	e.loop.respond[testID](dispatch.Response{RequestID: testID, Outcome: dispatch.Rejected}, nil)
	e.completed = true
	e.rejected = true
}

// receive takes the response to the client's message.
func (e *polledExchange) receive() {
	e.waiting = false
	r, open := <-e.client.responses
	switch {
	case !open || r.status >= 400 && !e.rejected:
		e.lost = true
	case r.pollPath != "":
		e.path = r.pollPath
		chunk, _ := strconv.Atoi(e.path[strings.LastIndexByte(e.path, '/')+1:])
		e.pathCount = chunk + 1
	default:
		e.hasAll = true
	}
}

// finish completes the request, and returns an error unless its client gets all that it has
// not had yet.
func (e *polledExchange) finish() error {
	if !e.completed && !e.waiting {
		e.poll()
	}
	if !e.completed {
		e.complete()
	} else {
		e.poll()
	}
	for range resultPages {
		if !e.hasAll && !e.lost {
			e.poll()
		}
	}
	switch {
	case !e.hasAll:
		return errors.New("the client got no answer")
	case len(e.loop.abandoned) > 0:
		return errors.New("the request was abandoned")
	default:
		return nil
	}
}

// TestWrongPollsInEachState guards against a process that panics, and against a request that
// is lost, after a call of a path that no response has given: each such call in each state of
// the request that it names is answered with 404 or 405, and changes nothing for its client.
func TestWrongPollsInEachState(t *testing.T) {
	type step = func(*polledExchange)
	sendPath, poll, disconnect, detach := (*polledExchange).sendPath, (*polledExchange).poll, (*polledExchange).disconnect, (*polledExchange).detach
	complete, reject := (*polledExchange).complete, (*polledExchange).reject
	states := map[string][]step{
		"waits for the first response":  nil,
		"has a path":                    {sendPath},
		"polls":                         {sendPath, poll},
		"disconnected before it polled": {sendPath, disconnect},
		"disconnected while it polled":  {sendPath, poll, disconnect},
		"detached":                      {sendPath, detach},
		"completed before it polled":    {sendPath, complete},
		"completed while it polled":     {sendPath, poll, complete},
		"completed at once":             {complete},
		"has had two chunks":            {complete, poll},
		"rejected before it polled":     {sendPath, reject},
	}
	numbers := []string{"", "x", "-1", "+0", "00", "01", "0x0", "0/0", "0/", "0?", "1", "2", "3", "7", "999999999999999", "9999999999999999999999"}
	for state, steps := range states {
		for _, method := range []string{"GET", "DELETE", "POST", "PUT", "HEAD"} {
			for _, number := range append([]string{"0"}, numbers...) {
				e := newPolledExchange(steps...)
				chunk, err := strconv.Atoi(number)
				if given := err == nil && strconv.Itoa(chunk) == number && chunk < e.pathCount; given && (method == "GET" || method == "DELETE") {
					continue // the call of a client
				}
				name := fmt.Sprintf("%s: %s %s", state, method, number)
				bad := e.dial()
				get(e.server, bad, method, pollPrefix+testID+"/"+number)
				if len(bad.responses) != 1 {
					t.Errorf("%s: the call was not answered", name)
				} else if r := <-bad.responses; (r.status != 404 && r.status != 405) || !r.closeAfter {
					t.Errorf("%s: status %d, closes %v; want 404 or 405 and a close", name, r.status, r.closeAfter)
				}
				if err := e.finish(); err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		}
	}
}
