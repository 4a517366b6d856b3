package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// Responses reads HTTP responses from a connection.
type Responses struct{ reader *bufio.Reader }

// NewResponses returns a reader of responses.
func NewResponses(conn net.Conn) *Responses { return &Responses{bufio.NewReader(conn)} }

// Read reads a response with a Content-Length.
func (r *Responses) Read() (status, body string, err error) {
	line, err := r.reader.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	length := 0
	for {
		head, err := r.reader.ReadString('\n')
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
	_, err = io.ReadFull(r.reader, text)
	return strings.TrimSpace(line), string(text), err
}

// PollPath returns the path in the body of a response, or an empty string.
func PollPath(body string) string {
	var content struct{ Poll string }
	_ = json.Unmarshal([]byte(body), &content)
	return content.Poll
}

// PostAndPoll sends a request on a connection of its own, calls the paths that it gets, and
// returns the last answer.
func PostAndPoll(addr, class, id, statement string, costMS, waitMS int) (answer string, err error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Duration(waitMS+1000) * time.Millisecond))
	_, err = fmt.Fprintf(conn, "POST /api/v2/%s HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\nReq-Cost: %d.0\r\nX-Mb: 16\r\nContent-Length: %d\r\n\r\n%s",
		class, id, waitMS, costMS, len(statement), statement)
	if err != nil {
		return "", err
	}
	responses := NewResponses(conn)
	for {
		status, body, err := responses.Read()
		if err != nil {
			return "", err
		}
		path := PollPath(body)
		if path == "" {
			return status + " " + body, nil
		}
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n", path); err != nil {
			return "", err
		}
	}
}
