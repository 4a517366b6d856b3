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

// The types below are the discovery service's JSON. They are kept apart from the
// product's, so that a mistake there is not repeated here.

// Endpoint is an engine as the service lists it.
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

// Updates is a response of the service, and the form of a configuration's known
// updates.
type Updates struct {
	Revision int      `json:"rev"`
	Updates  []Update `json:"notices"`
}

// Update is one numbered event.
type Update struct {
	Revision  int          `json:"rev"`
	Endpoints EndpointList `json:"pool"`
}

// EndpointList is a complete list, if Snapshot is set, or the changed endpoints.
type EndpointList struct {
	Seq       int        `json:"seq"`
	Snapshot  bool       `json:"whole"`
	Endpoints []Endpoint `json:"hosts"`
}

// OneUpdate returns a response with one update: a complete list if snapshot is set, or
// the changed endpoints.
func OneUpdate(revision int, snapshot bool, endpoints ...Endpoint) Updates {
	list := EndpointList{Seq: revision, Snapshot: snapshot, Endpoints: append([]Endpoint{}, endpoints...)}
	return Updates{Revision: revision, Updates: []Update{{Revision: revision, Endpoints: list}}}
}

// JSON returns the body of the response.
func (u Updates) JSON() string {
	body, err := json.Marshal(u)
	if err != nil {
		panic(err) // a size that is no number
	}
	return string(body)
}

// Poll is a front end's question for the updates after a revision.
type Poll struct {
	Number     int // among the service's polls, from 1
	Connection int // number of the connection that it came on, from 1
	Revision   int
	Linger     time.Duration // for which the service may wait for updates
	Conn       net.Conn
}

// Respond writes a response to the poll. Whether it arrives is for the test to see.
func (p Poll) Respond(body string) {
	_, _ = fmt.Fprintf(p.Conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// Discovery is a fake discovery service.
type Discovery struct {
	Addr string // where it listens; empty: Start chooses a free loopback address
	// Script, if it is set, returns the body of the response to a poll; empty: the service
	// is silent. While it blocks, nothing else is read from the connection. Without a
	// script the responses are the updates that were published.
	Script func(p Poll) string

	mu             sync.Mutex
	updates        []Update
	changed        chan struct{} // closed when an update is added
	polls          []Poll
	connections    []net.Conn
	openCount      int // connections that are served
	maxConnections int // that were open at once
}

// NewDiscovery starts a service whose first update is a complete list. It ends with the
// test.
func NewDiscovery(t testing.TB, endpoints []Endpoint) *Discovery {
	t.Helper()
	d := &Discovery{changed: make(chan struct{})}
	d.addUpdate(true, endpoints)
	d.Start(t)
	return d
}

// NewScriptedDiscovery starts a service with a script. It ends with the test.
func NewScriptedDiscovery(t testing.TB, script func(p Poll) string) *Discovery {
	t.Helper()
	d := &Discovery{Script: script}
	d.Start(t)
	return d
}

// Start starts the service; it ends with the test. Addr and Script are set before.
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

// UpdatesAfter returns the updates after a revision, and a channel that is closed when more
// are added.
func (d *Discovery) UpdatesAfter(rev int) (Updates, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	rev = min(max(rev, 0), len(d.updates))
	return Updates{len(d.updates), append([]Update{}, d.updates[rev:]...)}, d.changed
}

// Polls returns those that the service has received so far, in order.
func (d *Discovery) Polls() []Poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.polls)
}

// WasPolledAfter reports whether there was a poll for the updates after a revision.
func (d *Discovery) WasPolledAfter(revision int) bool {
	return slices.ContainsFunc(d.Polls(), func(p Poll) bool { return p.Revision == revision })
}

// Connections returns those that were accepted.
func (d *Discovery) Connections() []net.Conn {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.connections)
}

// MaxConnections returns how many connections were open at once.
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
		if _, err := fmt.Sscanf(line, "GET /board/poll?watch=%d&linger=%d", &revision, &lingerMS); err != nil {
			return
		}
		poll := d.record(Poll{
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
	d.openCount++
	d.maxConnections = max(d.maxConnections, d.openCount)
	return len(d.connections)
}

func (d *Discovery) connectionClosed(c net.Conn) {
	_ = c.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.openCount--
}

// record adds a poll to the records and returns it with its number.
func (d *Discovery) record(p Poll) Poll {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.Number = len(d.polls) + 1
	d.polls = append(d.polls, p)
	return p
}

// respond returns the body of the response to a poll; empty: there is none.
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
