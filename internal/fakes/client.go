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

// Request is a request of a client.
type Request struct {
	ID              string
	Class           string
	Key             string // order key
	IdempotencyKey  string
	Tenant          string
	Statement       string
	Timeout         time.Duration // time for which the client waits for a response
	WorkMS          int           // cost of the request as the client expects it; 0: not sent
	CloseConnection bool          // the client sends Connection: close
	DisconnectAfter time.Duration // if above 0, the client disconnects after this time without a response
}

// NoIdempotencyKey is an IdempotencyKey that is not sent. It is for callers that generate a key if
// IdempotencyKey is empty.
const NoIdempotencyKey = "none"

// Outcome is the outcome of a request at its client.
type Outcome struct {
	Request
	FrontEndAddr  string // address to which the request was sent
	Sent          time.Time
	Ended         time.Time
	Written       bool // the whole request was written to an accepted connection
	Disconnected  bool // the client disconnected before it received a response
	Status        int  // of the last response; 0: no complete response was received
	RetryAfterMS  int  // of the last response; 0: none
	Err           string
	Rows          [][]string
	ProtocolError string // error in reading or polling responses; empty: none
	// ClosedUnanswered reports that the connection ended before the first byte of a response.
	ClosedUnanswered bool
	// Resent is when the request was sent again, as it had crossed the close of a connection;
	// zero: it was not.
	Resent time.Time
	// FirstSent is when a request that was sent again was sent first.
	FirstSent time.Time

	// headOfLineAt is when the response before the last one to this request was read, if they share a
	// connection; zero: there was none.
	headOfLineAt time.Time

	responses        int  // that were read or begun
	closesConnection bool // the last response is the last one on its connection
}

// Served reports whether the client received a complete and successful response.
func (o *Outcome) Served() bool { return o.Status == 200 && o.Err == "" && o.ProtocolError == "" }

// ResponseBody is the body of a response.
type ResponseBody struct {
	Poll string     `json:"poll"` // path to poll for the next response; empty: this is the last response
	Page [][]string `json:"page"` // rows
	Err  string     `json:"err"`
}

const (
	connectTimeout = time.Second
	// lateResponseWait is the time after its deadline for which a client still waits, to distinguish
	// a late response from no response.
	lateResponseWait = 2 * time.Second
)

// Call sends a request on a new connection, polls the paths in the responses, and returns the
// outcome.
func Call(addr string, q Request) Outcome {
	o := Outcome{Request: q, FrontEndAddr: addr, Sent: time.Now()}
	o.exchange(addr)
	o.Ended = time.Now()
	return o
}

// exchange sends the request and reads the responses.
func (o *Outcome) exchange(addr string) {
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	o.Sent = time.Now()
	timeout := o.Timeout + lateResponseWait
	if o.DisconnectAfter > 0 {
		timeout = o.DisconnectAfter
	}
	_ = conn.SetDeadline(o.Sent.Add(timeout))
	if _, err := io.WriteString(conn, o.Message()); err != nil {
		return
	}
	o.Written = true
	reader := bufio.NewReader(conn)
	for path := o.readResponse(reader); path != ""; path = o.readResponse(reader) {
		if !o.poll(conn, path) {
			return
		}
	}
}

// poll requests the next response at a path, and reports whether the request could be written.
func (o *Outcome) poll(conn net.Conn, path string) bool {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n", path); err != nil {
		o.ProtocolError = fmt.Sprintf("poll: %v", err)
		return false
	}
	return true
}

// readResponse reads a response and returns the path to poll next, or an empty string if there is
// none.
func (o *Outcome) readResponse(reader *bufio.Reader) (path string) {
	isFirst := o.responses == 0
	_, peekErr := reader.Peek(1)
	status, head, body, err := ReadResponse(reader)
	o.responses++
	if err != nil {
		o.Disconnected = o.DisconnectAfter > 0 && isTimeout(err)
		if !o.Disconnected {
			o.ClosedUnanswered = isFirst && peekErr != nil && !isTimeout(peekErr)
			o.ProtocolError = fmt.Sprintf("no complete response: %v", err)
		}
		return ""
	}
	var content ResponseBody
	if err := json.Unmarshal(body, &content); err != nil {
		o.ProtocolError = fmt.Sprintf("response %.60q: %v", body, err)
		return ""
	}
	o.Rows = append(o.Rows, content.Page...)
	if content.Poll != "" {
		return content.Poll
	}
	o.Status = status
	o.closesConnection = strings.EqualFold(head.Get("Connection"), "close")
	o.Err = content.Err
	o.RetryAfterMS, _ = strconv.Atoi(head.Get("Srv-Wait-Ms")) // 0 without the header
	return ""
}

func isTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// Healthy reports whether a front end responds to a health check with status 200.
func Healthy(addr string) bool {
	status, _ := callOnce(addr, "GET /-/healthy HTTP/1.1\r\nHost: origin.svc\r\n\r\n", time.Second)
	return status == 200
}

// CallOperatorAPI sends a request to the operators' API and returns the response. Status 0 means that
// there was no response within the time-out.
func CallOperatorAPI(controlAddr, method, path string, timeout time.Duration) (status int, body []byte) {
	message := fmt.Sprintf("%s /control/%s HTTP/1.1\r\nHost: x\r\n\r\n", method, path)
	return callOnce(controlAddr, message, timeout)
}

// callOnce sends a message on a new connection and returns the response. Status 0 means that there
// was no response within the time-out.
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

// Message returns the HTTP message of the request.
func (q *Request) Message() string {
	var b strings.Builder
	fmt.Fprintf(&b, "POST /api/v2/%s HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: %s\r\nReq-Wait-Ms: %d\r\n",
		q.Class, q.ID, q.Timeout.Milliseconds())
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

// ReadResponse reads an HTTP response with a Content-Length.
func ReadResponse(r *bufio.Reader) (status int, head textproto.MIMEHeader, body []byte, err error) {
	tp := textproto.NewReader(r)
	line, err := tp.ReadLine()
	if err != nil {
		return 0, nil, nil, err
	}
	if _, err := fmt.Sscanf(line, "HTTP/1.1 %d", &status); err != nil {
		return 0, nil, nil, fmt.Errorf("invalid status line %.40q", line)
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
