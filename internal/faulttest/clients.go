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

// The classes of requests in settingsFormat.
const (
	lookupClass = "lookup"
	loadClass   = "load"
)

const (
	requestsPerLoad    = 3 // requests of a client of which one is a load
	minRequestInterval = 5 * time.Millisecond
	requestJitterMS    = 20
	responseTimeout    = 8 * time.Second
	// duplicateResponseTimeout is for how long a client looks for a second answer, which
	// must not come.
	duplicateResponseTimeout = 100 * time.Millisecond
)

// newRequest returns a client's request of a class with an ID.
func newRequest(class, id string) fakes.Request {
	return fakes.Request{Class: class, ID: id, Timeout: 3 * time.Second, WorkMS: 20, Statement: "q"}
}

// clientRequest is a client's request and what became of it.
type clientRequest struct {
	class     string
	front     int // index of the front end
	responses int
	status    int // of the last answer
}

// StartClients starts clients that send requests, each to a front end drawn by the
// seed. One in three is a load, which is never sent again: a client without an
// answer leaves it. The function returned stops the clients and waits for them.
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

// sendRequest sends a request on a connection of its own and reads answers until
// the connection ends.
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

// isPollPath reports whether an answer is the path to poll for the result, which
// these clients don't wait for.
func isPollPath(body string) bool {
	return strings.Contains(body, `"poll"`) && !strings.Contains(body, `"page"`)
}

// ClientResults are what clients and engines have recorded.
type ClientResults struct {
	Answered   int      // requests with an answer
	Served     int      // requests with a result
	Violations []string // of what must hold under all faults
}

// ClientResults checks the clients' and engines' records: a load is sent to at most
// one engine, once, a request has at most one answer, and an engine receives only
// what a client sent.
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
			violate("%s %s has %d answers", request.class, id, request.responses)
		}
		if request.class == loadClass && len(enginesByID[id]) > 1 {
			violate("load %s of n%d was sent to %v", id, request.front, enginesByID[id])
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
			violate("an engine received %s, which no client sent", id)
		}
	}
	slices.Sort(results.Violations)
	return results
}
