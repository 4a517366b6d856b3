package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"dewhill/internal/fakes"
)

// The classes of the clients' requests, as fakes.Settings defines them.
const (
	lookupClass = "lookup"
	loadClass   = "load"
)

const (
	requestsPerLoad    = 3 // one request of a client in this many is a load
	minRequestInterval = 5 * time.Millisecond
	requestJitterMS    = 20
	responseTimeout    = 8 * time.Second
	// duplicateResponseTimeout is how long a client waits for a second response, which must
	// not arrive.
	duplicateResponseTimeout = 100 * time.Millisecond
)

// newRequest returns a request of a class with an ID.
func newRequest(class, id string) fakes.Request {
	return fakes.Request{Class: class, ID: id, Timeout: 3 * time.Second, WorkMS: 20, Statement: "q"}
}

// clientRequest is a client's request and the responses to it.
type clientRequest struct {
	class     string
	front     int // index of the front end
	responses int
	status    int // of the last response
}

// StartClients starts n clients that send requests, each to a front end that is drawn
// from the seed. One request in three is a load. Clients never retry a request that was
// not answered. The returned function stops the clients and waits for them.
func (f *Fleet) StartClients(n int) (stop func()) {
	stopped := make(chan struct{})
	var clients sync.WaitGroup
	for client := range n {
		clients.Go(func() { f.runClient(client, stopped) })
	}
	return func() {
		close(stopped)
		clients.Wait()
	}
}

// runClient sends requests one after another until it is stopped.
func (f *Fleet) runClient(client int, stopped <-chan struct{}) {
	rng := rand.New(rand.NewPCG(f.options.Seed, uint64(client)))
	for i := 0; ; i++ {
		interval := minRequestInterval + time.Duration(rng.IntN(requestJitterMS))*time.Millisecond
		select {
		case <-stopped:
			return
		case <-time.After(interval):
		}
		front := f.Fronts[rng.IntN(len(f.Fronts))]
		class := lookupClass
		if i%requestsPerLoad == 0 {
			class = loadClass
		}
		f.sendRequest(front, fmt.Sprintf("%04x%012x", client, i), class)
	}
}

// sendRequest sends a request on a connection of its own and reads responses until the
// connection is closed or no further response arrives in time.
func (f *Fleet) sendRequest(front *FrontEnd, id, class string) {
	request := &clientRequest{class: class, front: front.Index}
	f.mu.Lock()
	f.requests[id] = request
	f.requestOrder = append(f.requestOrder, id)
	f.mu.Unlock()
	conn, err := net.DialTimeout("tcp", front.Addr, dialTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return
	}
	message := newRequest(class, id)
	message.CloseConnection = true
	if _, err := io.WriteString(conn, message.Message()); err != nil {
		return
	}
	reader := bufio.NewReader(conn)
	for {
		status, _, body, err := fakes.ReadResponse(reader)
		if err != nil || isPollPath(string(body)) {
			return
		}
		f.mu.Lock()
		request.responses++
		request.status = status
		f.mu.Unlock()
		if err := conn.SetDeadline(time.Now().Add(duplicateResponseTimeout)); err != nil {
			return
		}
	}
}

// isPollPath reports whether a response only holds the path to poll for the result.
// These clients do not poll.
func isPollPath(body string) bool {
	return strings.Contains(body, `"poll"`) && !strings.Contains(body, `"page"`)
}

// ClientResults summarizes what clients and engines have recorded.
type ClientResults struct {
	Answered   int      // requests with a response
	Served     int      // requests with status 200
	Violations []string // broken rules that must hold under all faults
}

// ClientResults checks the records of clients and engines: a load is sent at most once,
// to one engine; a request has at most one response; and engines receive only requests
// that a client sent.
func (f *Fleet) ClientResults() ClientResults {
	enginesByID := map[string][]string{}
	for _, engine := range f.Engines {
		for _, attempt := range engine.Attempts() {
			enginesByID[attempt.ID] = append(enginesByID[attempt.ID], engine.ID)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var results ClientResults
	violate := func(format string, args ...any) {
		results.Violations = append(results.Violations, fmt.Sprintf(format, args...))
	}
	for _, id := range f.requestOrder {
		request := f.requests[id]
		if request.responses > 1 {
			violate("%s %s has %d responses", request.class, id, request.responses)
		}
		if request.class == loadClass && len(enginesByID[id]) > 1 {
			violate("load %s of n%d was sent more than once, to %v", id, request.front, enginesByID[id])
		}
		if request.responses > 0 {
			results.Answered++
		}
		if request.status == 200 {
			results.Served++
		}
	}
	for id := range enginesByID {
		if f.requests[id] == nil {
			violate("an engine received request %s, which no client sent", id)
		}
	}
	slices.Sort(results.Violations)
	return results
}
