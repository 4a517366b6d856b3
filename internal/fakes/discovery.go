package fakes

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"sync"
	"testing"
	"time"
)

// The types below are the JSON messages of the discovery service. They do not share code with the
// program, so that tests detect a mistake in the types of the program.

// Endpoint is an engine on the endpoint list of the service.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Kind        string  `json:"class"`
	State       string  `json:"health"`
	Size        float64 `json:"share"`
	StartedAtMS float64 `json:"born_ms"`
}

// The states of an endpoint.
const (
	Active   = "active"
	Draining = "leaving"
	Removed  = "left"
)

// Updates is the body of a response of the service, and the form of the initial updates in a
// configuration.
type Updates struct {
	Revision int      `json:"rev"`
	Updates  []Update `json:"notices"`
}

// Update is an update of the endpoint list, with its revision.
type Update struct {
	Revision  int          `json:"rev"`
	Endpoints EndpointList `json:"pool"`
}

// EndpointList is the complete endpoint list, if Snapshot is true, or else the changed endpoints.
type EndpointList struct {
	Seq       int        `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// OneUpdate returns a response with one update: the complete endpoint list if snapshot is true, or
// else the changed endpoints.
func OneUpdate(revision int, snapshot bool, endpoints ...Endpoint) Updates {
	list := EndpointList{Seq: revision, Snapshot: snapshot, Endpoints: append([]Endpoint{}, endpoints...)}
	return Updates{Revision: revision, Updates: []Update{{Revision: revision, Endpoints: list}}}
}

// JSON returns the body of the response.
func (u Updates) JSON() string {
	body, err := json.Marshal(u)
	if err != nil {
		panic(err) // Size is NaN or infinite
	}
	return string(body)
}

// Poll is a request of a front end for the updates after a revision.
type Poll struct {
	Number     int // of the poll among all polls of the service, from 1
	Connection int // number of the connection on which the poll was received, from 1
	Revision   int
	Linger     time.Duration // time for which the service may wait for updates
	Conn       net.Conn
}

// Respond writes a response to the poll. Write errors are ignored: a test that depends on the response
// checks that it was received.
func (p Poll) Respond(body string) {
	_, _ = fmt.Fprintf(p.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Discovery is a fake discovery service.
type Discovery struct {
	Addr string // listening address; empty: Start chooses a free loopback address
	// Script, if it is not nil, returns the body of the response to a poll, or an empty string for no
	// response. While Script blocks, nothing is read from the connection. Without a script, the
	// service responds with the published updates.
	Script func(p Poll) string

	mu              sync.Mutex
	updates         []Update
	changed         chan struct{} // closed when an update is added
	polls           []Poll
	connections     []net.Conn
	openConnections int // number of connections that are open
	maxConnections  int // largest number of connections that were open at the same time
}

// NewDiscovery starts a service whose first update is the complete endpoint list. It stops listening
// when the test ends.
func NewDiscovery(t testing.TB, endpoints []Endpoint) *Discovery {
	t.Helper()
	d := &Discovery{changed: make(chan struct{})}
	d.addUpdate(true, endpoints)
	d.Start(t)
	return d
}

// NewScriptedDiscovery starts a service with a script. It stops listening when the test ends.
func NewScriptedDiscovery(t testing.TB, script func(p Poll) string) *Discovery {
	t.Helper()
	d := &Discovery{Script: script}
	d.Start(t)
	return d
}

// Start starts the service. It stops listening when the test ends. Addr and Script must be set before.
func (d *Discovery) Start(t testing.TB) {
	t.Helper()
	if d.Addr == "" {
		d.Addr = "127.0.0.1:0"
	}
	d.Addr = listenOn(t, d.Addr, d.serve)
}

// Publish adds an update with changed endpoints.
func (d *Discovery) Publish(endpoints ...Endpoint) { d.addUpdate(false, endpoints) }

func (d *Discovery) addUpdate(snapshot bool, endpoints []Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.updates) + 1
	d.updates = append(d.updates, Update{n, EndpointList{n, snapshot, endpoints}})
	close(d.changed)
	d.changed = make(chan struct{})
}

// UpdatesAfter returns the updates after a revision, and a channel that is closed when an update is
// added.
func (d *Discovery) UpdatesAfter(revision int) (Updates, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision = min(max(revision, 0), len(d.updates))
	return Updates{len(d.updates), append([]Update{}, d.updates[revision:]...)}, d.changed
}

// Polls returns the polls that the service has received so far, in order of arrival.
func (d *Discovery) Polls() []Poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.polls)
}

// WasPolledAfter reports whether the service has received a poll for the updates after a revision.
func (d *Discovery) WasPolledAfter(revision int) bool {
	return slices.ContainsFunc(d.Polls(), func(p Poll) bool { return p.Revision == revision })
}

// Connections returns the accepted connections, including those that have ended.
func (d *Discovery) Connections() []net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.connections)
}

// MaxConnections returns the largest number of connections that were open at the same time.
func (d *Discovery) MaxConnections() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.maxConnections
}

func (d *Discovery) serve(c net.Conn) {
	number := d.connectionOpened(c)
	defer d.connectionClosed(c)
	r := textproto.NewReader(bufio.NewReader(c))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return
		}
		if _, err := r.ReadMIMEHeader(); err != nil {
			return
		}
		revision, lingerMS := 0, 0
		_, err = fmt.Sscanf(line, "GET /board/poll?watch=%d&linger=%d", &revision, &lingerMS)
		if err != nil {
			return
		}
		poll := d.recordPoll(Poll{
			Connection: number,
			Revision:   revision,
			Linger:     time.Duration(lingerMS) * time.Millisecond,
			Conn:       c,
		})
		if body := d.respond(poll); body != "" {
			poll.Respond(body)
		}
	}
}

func (d *Discovery) connectionOpened(c net.Conn) (number int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.connections = append(d.connections, c)
	d.openConnections++
	d.maxConnections = max(d.maxConnections, d.openConnections)
	return len(d.connections)
}

func (d *Discovery) connectionClosed(c net.Conn) {
	_ = c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openConnections--
}

// recordPoll adds a poll to the records and returns the poll with its number.
func (d *Discovery) recordPoll(p Poll) Poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Number = len(d.polls) + 1
	d.polls = append(d.polls, p)
	return p
}

// respond returns the body of the response to a poll, or an empty string for no response.
func (d *Discovery) respond(p Poll) string {
	if d.Script != nil {
		return d.Script(p)
	}
	updates, more := d.UpdatesAfter(p.Revision)
	if len(updates.Updates) == 0 {
		select {
		case <-more:
		case <-time.After(p.Linger):
		}
		updates, _ = d.UpdatesAfter(p.Revision)
	}
	return updates.JSON()
}
