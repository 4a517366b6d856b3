package fakes

import (
	"net"
	"sync"
	"testing"
	"time"
)

// Mode is what a relay does with what passes through it.
type Mode int

// The modes of a relay.
const (
	Pass  Mode = iota // everything passes
	Delay             // what the target sends passes only when the mode changes
	Close             // connections are reset, and new ones closed at once
)

// Relay is a proxy between a front end and one target that can cause faults.
type Relay struct {
	Addr string

	target      string
	mu          sync.Mutex
	mode        Mode
	changed     chan struct{} // closed when the mode changes
	connections map[net.Conn]bool
}

// NewRelay starts a relay to a target; it ends with the test.
func NewRelay(t testing.TB, target string) *Relay {
	t.Helper()
	r := &Relay{target: target, changed: make(chan struct{}), connections: map[net.Conn]bool{}}
	r.Addr = Listen(t, r.serve)
	return r
}

// SetMode changes the relay's mode.
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

// waitWhile waits until the relay is not in a mode.
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

// forward copies until either side ends, and waits before each write.
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
