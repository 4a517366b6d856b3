package fakes

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Request is what a client asks for.
type Request struct {
	ID              string
	Class           string
	Key             string // orders requests
	IdempotencyKey  string
	Tenant          string
	Statement       string
	Timeout         time.Duration // how long the client waits
	WorkMS          int           // that the client expects; 0: it does not say
	CloseConnection bool          // the client asks for the connection to be closed
	DisconnectAfter time.Duration // if above 0, it closes its connection after this
}

// NoIdempotencyKey is an IdempotencyKey that stands for none, for callers that would
// make one up.
const NoIdempotencyKey = "none"

// Outcome is how a request ended, as its client saw it.
type Outcome struct {
	Request
	FrontEndAddr  string // the address that it was sent to
	Sent          time.Time
	Ended         time.Time
	Written       bool // completely, to a connection that was accepted
	Disconnected  bool // the client closed without an answer
	Status        int  // of the last response; 0: none came
	RetryAfterMS  int  // of a rejection
	Err           string
	Rows          [][]string
	ProtocolError string // what was wrong with the responses; empty: nothing
}

// Served reports whether the request was served completely.
func (r *Outcome) Served() bool { return r.Status == 200 && r.Err == "" && r.ProtocolError == "" }

// ResponseBody is the body of a response.
type ResponseBody struct {
	Poll string     `json:"poll"` // path of the response proper; empty: this is it
	Page [][]string `json:"page"` // rows
	Err  string     `json:"err"`
}

const (
	connectTimeout = time.Second
	// lateResponseGrace is how long after its deadline a client still listens, to
	// distinguish a late response from none.
	lateResponseGrace = 2 * time.Second
)

// Call sends a request on a connection of its own, polls the paths that it is given,
// and returns what came back.
func Call(addr string, q Request) Outcome {
	r := Outcome{Request: q, FrontEndAddr: addr, Sent: time.Now()}
	r.exchange(addr)
	r.Ended = time.Now()
	return r
}

// exchange sends the request and reads its responses.
func (r *Outcome) exchange(addr string) {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	r.Sent = time.Now()
	timeout := r.Timeout + lateResponseGrace
	if r.DisconnectAfter > 0 {
		timeout = r.DisconnectAfter
	}
	_ = conn.SetDeadline(r.Sent.Add(timeout))
	if _, err := io.WriteString(conn, r.Message()); err != nil {
		return
	}
	r.Written = true
	reader := bufio.NewReader(conn)
	for {
		path := r.readResponse(reader)
		if path == "" {
			return
		}
		if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n", path); err != nil {
			r.ProtocolError = fmt.Sprintf("poll: %v", err)
			return
		}
	}
}

// readResponse reads a response and returns the path to poll next; empty if there
// is none.
func (r *Outcome) readResponse(reader *bufio.Reader) (path string) {
	status, head, body, err := ReadResponse(reader)
	if err != nil {
		var netError net.Error
		r.Disconnected = r.DisconnectAfter > 0 && errors.As(err, &netError) && netError.Timeout()
		if !r.Disconnected {
			r.ProtocolError = fmt.Sprintf("no complete response: %v", err)
		}
		return ""
	}
	var content ResponseBody
	if err := json.Unmarshal(body, &content); err != nil {
		r.ProtocolError = fmt.Sprintf("response %.60q: %v", body, err)
		return ""
	}
	r.Rows = append(r.Rows, content.Page...)
	if content.Poll != "" {
		return content.Poll
	}
	r.Status = status
	r.Err = content.Err
	r.RetryAfterMS, _ = strconv.Atoi(head.Get("Srv-Wait-Ms")) // 0 without one
	return ""
}

// Healthy reports whether a front end answers that it is healthy.
func Healthy(addr string) bool {
	status, _ := callOnce(addr, "GET /-/healthy HTTP/1.1\r\nHost: origin.svc\r\n\r\n", time.Second)
	return status == 200
}

// CallOperatorAPI makes a call of the operators' API and returns the answer. Status 0:
// there is none in time.
func CallOperatorAPI(controlAddr, method, path string, timeout time.Duration) (status int, body []byte) {
	return callOnce(controlAddr, fmt.Sprintf("%s /control/%s HTTP/1.1\r\nHost: x\r\n\r\n", method, path), timeout)
}

// callOnce sends a message on a connection of its own and returns the response. Status
// 0: there is none in time.
func callOnce(addr, message string, timeout time.Duration) (status int, body []byte) {
	conn, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, nil
	}
	if _, err := io.WriteString(conn, message); err != nil {
		return 0, nil
	}
	status, _, body, err = ReadResponse(bufio.NewReader(conn))
	if err != nil {
		return 0, nil
	}
	return status, body
}

// Message returns the bytes of the request.
func (q *Request) Message() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /api/v2/%s HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n", q.Class, q.ID,
		q.Timeout.Milliseconds())
	fields := []struct{ name, value string }{
		{"Req-Key", q.Key},
		{"Req-Token", q.IdempotencyKey},
		{"Req-Owner", q.Tenant},
	}
	for _, field := range fields {
		if field.value != "" && field.value != NoIdempotencyKey {
			fmt.Fprintf(&b, "%s: %s\r\n", field.name, field.value)
		}
	}
	if q.WorkMS > 0 {
		fmt.Fprintf(&b, "Req-Cost: %d\r\n", q.WorkMS)
	}
	if q.CloseConnection {
		b.WriteString("Connection: close\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(q.Statement), q.Statement)
	return b.String()
}

// ReadResponse reads an HTTP response whose body has a stated length.
func ReadResponse(r *bufio.Reader) (status int, head textproto.MIMEHeader, body []byte, err error) {
	tp := textproto.NewReader(r)
	line, err := tp.ReadLine()
	if err != nil {
		return 0, nil, nil, err
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
		return 0, nil, nil, fmt.Errorf("first line %.40q", line)
	}
	head, err = tp.ReadMIMEHeader()
	if err != nil {
		return 0, nil, nil, err
	}
	n, err := strconv.Atoi(head.Get("Content-Length"))
	if err != nil {
		return 0, nil, nil, err
	}
	body = make([]byte, n)
	_, err = io.ReadFull(r, body)
	return status, head, body, err
}
