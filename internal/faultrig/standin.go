package faultrig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Engine is a stand-in for an engine: it runs what it is sent, after a time, and
// keeps when each id came.
type Engine struct {
	ID, Addr string
	Takes    time.Duration
	mu       sync.Mutex
	ran      []Run
	conns    map[net.Conn]bool
}

// Run is a statement that an engine was sent.
type Run struct {
	ID, Class string
	At        time.Time
}

// newEngine starts a stand-in that is there until the test ends.
func newEngine(t testing.TB, id string) *Engine {
	e := &Engine{ID: id, Takes: 5 * time.Millisecond, conns: map[net.Conn]bool{}}
	e.Addr = listen(t, e.serve)
	return e
}

// listen serves connections on a free address until the test ends.
func listen(t testing.TB, serve func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return l.Addr().String()
}

func (e *Engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	var mu sync.Mutex // of the connection's writes
	write := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(c, format, args...)
	}
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(line)
		switch {
		case len(w) == 4 && w[0] == "PULL":
			n, err := strconv.Atoi(w[3])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, r, int64(n)+2); err != nil {
				return
			}
			class := ""
			for _, f := range strings.Split(w[2], ",") {
				if name, v, _ := strings.Cut(f, "="); name == "c" {
					class = v
				}
			}
			e.mu.Lock()
			e.ran = append(e.ran, Run{w[1], class, time.Now()})
			e.mu.Unlock()
			time.AfterFunc(e.Takes, func() { write("%s ACK batches=1,cpu=20 6\r\na\tb\tc\n\r\n", w[1]) })
		case len(w) == 2 && (w[0] == "ECHO" || w[0] == "METER"):
			write("%s READY - 0\r\n\r\n", w[1])
		}
	}
}

// Runs is what the engine was sent so far.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.ran...)
}

// Board is a stand-in for the notice board: it tells events in their order.
type Board struct {
	Addr   string
	mu     sync.Mutex
	events []string
	more   chan bool // closed when an event comes
}

func newBoard(t testing.TB) *Board {
	b := &Board{more: make(chan bool)}
	b.Addr = listen(t, b.serve)
	return b
}

// Tell adds an event: hosts as JSON.
func (b *Board) Tell(whole bool, hosts string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := len(b.events) + 1
	b.events = append(b.events, fmt.Sprintf(`{"rev":%d,"pool":{"seq":%d,"whole":%v,"hosts":[%s]}}`, n, n, whole, hosts))
	close(b.more)
	b.more = make(chan bool)
}

// since is the events after a number, and a channel that closes when more come.
func (b *Board) since(n int) (string, <-chan bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(max(n, 0), len(b.events))
	return fmt.Sprintf(`{"rev":%d,"notices":[%s]}`, len(b.events), strings.Join(b.events[n:], ",")), b.more
}

func (b *Board) serve(c net.Conn) {
	defer c.Close()
	r := textproto.NewReader(bufio.NewReader(c))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return
		}
		if _, err := r.ReadMIMEHeader(); err != nil {
			return
		}
		watch, linger := 0, 0
		fmt.Sscanf(line, "GET /board/poll?watch=%d&linger=%d", &watch, &linger)
		body, more := b.since(watch)
		if strings.HasSuffix(body, "[]}") {
			select {
			case <-more:
			case <-time.After(time.Duration(linger) * time.Millisecond):
			}
			body, _ = b.since(watch)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}
