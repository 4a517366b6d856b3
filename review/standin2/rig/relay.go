package rig

import (
	"io"
	"net"
	"sync"
)

// Relay passes TCP connections on to another address. Its connections can be made silent,
// and it can lose what comes back.
type Relay struct {
	Addr string

	mu       sync.Mutex
	target   string
	pairs    []*pair
	refusing bool
	onReply  func(bytes int) bool
}

type pair struct {
	near, far net.Conn
	silent    chan struct{} // closed: nothing is passed on any more, and nothing is closed
	once      sync.Once
}

// NewRelay starts a relay to an address.
func (r *Rig) NewRelay(target string) *Relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	relay := &Relay{Addr: listener.Addr().String(), target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go relay.serve(conn)
		}
	}()
	return relay
}

// OnReply sets a function that is called before bytes of the target are passed on. If it
// returns true they are lost, and the connection is reset.
func (l *Relay) OnReply(f func(bytes int) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onReply = f
}

// Vanish makes all open connections silent for good, as if the machine behind them were
// gone: they stay open, and nothing arrives. New connections are not passed on until
// Return.
func (l *Relay) Vanish() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusing = true
	for _, p := range l.pairs {
		p.once.Do(func() { close(p.silent) })
	}
	l.pairs = nil
}

// Return passes new connections on to an address.
func (l *Relay) Return(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusing = false
	l.target = target
}

func (l *Relay) serve(near net.Conn) {
	l.mu.Lock()
	target, refusing := l.target, l.refusing
	l.mu.Unlock()
	var far net.Conn
	var err error
	if !refusing {
		far, err = net.Dial("tcp", target)
	}
	if refusing || err != nil {
		reset(near)
		return
	}
	p := &pair{near: near, far: far, silent: make(chan struct{})}
	l.mu.Lock()
	l.pairs = append(l.pairs, p)
	l.mu.Unlock()
	go l.pass(p, far, near)
	l.pass(p, near, far)
}

// pass copies from one side to the other until an end, or until the pair is silent.
func (l *Relay) pass(p *pair, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			if from == p.near { // read on, and lose it
				_, _ = io.Copy(io.Discard, from)
			}
			return
		default:
		}
		if n > 0 && from == p.far {
			l.mu.Lock()
			onReply := l.onReply
			l.mu.Unlock()
			if onReply != nil && onReply(n) {
				reset(p.near)
				_ = p.far.Close()
				return
			}
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
