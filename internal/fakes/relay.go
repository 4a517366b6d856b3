package fakes

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Mode is the way in which a relay handles connections and data.
type Mode int

// The modes of a relay.
const (
	Pass  Mode = iota // all data is forwarded
	Delay             // data from the target is forwarded only after the mode has changed
	Close             // open connections are reset, and new connections are closed at once
)

// Relay is a proxy between front ends and one target that can delay data and break connections.
type Relay struct {
	Addr string

	target      string
	mu          sync.Mutex
	mode        Mode
	changed     chan struct{}     // closed when the mode changes
	connections map[net.Conn]bool // from front ends, open
}

// NewRelay starts a relay to a target. It stops listening when the test ends.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	r := &Relay{target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
	r.Addr = Listen(t, r.serve)
	return r
}

// SetMode changes the mode of the relay.
func (r *Relay) SetMode(m Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	close(r.changed)
	r.changed = make(chan struct{})
	if m == Close {
		for c := range r.connections {
			reset(c)
		}
	}
}

// waitWhile waits until the relay is no longer in a mode.
func (r *Relay) waitWhile(m Mode) {
	for {
		r.mu.Lock()
		mode := r.mode
		changed := r.changed
		r.mu.Unlock()
		if mode != m {
			return
		}
		<-changed
	}
}

func (r *Relay) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r.mu.Lock()
	closing := r.mode == Close
	r.connections[c] = true
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		delete(r.connections, c)
		r.mu.Unlock()
	}()
	if closing {
		return
	}
	out, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	defer func() { _ = out.Close() }()
	go func() {
		forward(out, c, func() {})
		_ = out.(*net.TCPConn).CloseWrite()
	}()
	forward(c, out, func() { r.waitWhile(Delay) })
}

// forward copies data until either connection ends. It calls wait after each read, so that data is
// written only after wait has returned.
func forward(to, from net.Conn, wait func()) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		wait()
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
