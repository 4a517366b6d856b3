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

	mu    sync.Mutex
	pulls []Pull
}

// Pull is a request that an engine received.
type Pull struct {
	ID string
	At time.Time
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

// Pulls returns the requests that came at or after a time.
func (e *Engine) Pulls(from time.Time) (list []Pull) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.pulls {
		if !p.At.Before(from) {
			list = append(list, p)
		}
	}
	return list
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
		at := time.Now()
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
			e.mu.Lock()
			e.pulls = append(e.pulls, Pull{ID: words[1], At: at})
			e.mu.Unlock()
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

// Post sends a request of a class to a front end on a connection of its own, and returns
// the status and the body of the answer.
func Post(addr, class, id, statement string, waitMS int) (status, body string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(waitMS+1000) * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST /api/v2/%s HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nReq-Cost: 20.0\r\nX-Mb: 16\r\nContent-Length: %d\r\n\r\n%s",
		class, id, waitMS, len(statement), statement)
	if err != nil {
		return "", "", err
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	length := 0
	for {
		head, err := reader.ReadString('\n')
		if err != nil {
			return "", "", err
		}
		name, value, _ := strings.Cut(strings.TrimSpace(head), ":")
		if strings.EqualFold(name, "Content-Length") {
			length, _ = strconv.Atoi(strings.TrimSpace(value))
		}
		if name == "" {
			break
		}
	}
	text := make([]byte, length)
	_, err = io.ReadFull(reader, text)
	return strings.TrimSpace(line), string(text), err
}
