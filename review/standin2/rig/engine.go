package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Engine is a platform engine: it answers each request after some ms with one row.
type Engine struct {
	ID   string
	Addr string
	rig  *Rig
	ms   int
}

// NewEngine starts an engine.
func (r *Rig) NewEngine(id string, ms int) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	e := &Engine{ID: id, Addr: listener.Addr().String(), rig: r, ms: ms}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	return e
}

func (e *Engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var writing sync.Mutex
	answer := func(format string, args ...any) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = fmt.Fprintf(conn, format, args...)
	}
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		switch {
		case len(words) == 4 && words[0] == "PULL":
			length, err := strconv.Atoi(words[3])
			if err != nil {
				return
			}
			if _, err := io.CopyN(io.Discard, reader, int64(length)+2); err != nil {
				return
			}
			e.rig.Logf("engine %s: gets request %s", e.ID, words[1])
			time.AfterFunc(time.Duration(e.ms)*time.Millisecond, func() {
				page := "a\tb\t" + e.ID + "\n"
				answer("%s ACK batches=1,cpu=%d,used=1 %d\r\n%s\r\n", words[1], e.ms, len(page), page)
			})
		case len(words) == 2 && (words[0] == "ECHO" || words[0] == "METER"):
			answer("%s READY - 0\r\n\r\n", words[1])
		}
	}
}
