package server_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// frontEndProcess is a process of the program that runs as a platform front end.
type frontEndProcess struct {
	t          *testing.T
	addr       string // where clients connect
	configPath string
	tempDir    string // its $TMPDIR
	process    *testprocess.Process
}

// deadlineMS is the deadline of requests, for all of the platform's classes.
const deadlineMS = 20000

// startFrontEnd starts the first of two front ends, with a limit of descriptors. It knows
// the engines from its configuration, and polls the discovery service for updates unless
// that address is empty.
func startFrontEnd(t *testing.T, discovery string, sockets int, engines ...*fakes.Engine) *frontEndProcess {
	t.Helper()
	return startFleetMember(t, 0, 2, discovery, sockets, engines...)
}

// startWithEngine starts the first of two front ends, with one engine that runs a script.
func startWithEngine(t *testing.T, script fakes.Script) (*frontEndProcess, *fakes.Engine) {
	t.Helper()
	e := fakes.NewScriptedEngine(t, "s-1", script)
	return startFrontEnd(t, "", 1024, e), e
}

// startFleetMember starts a front end of a fleet of the given size and waits until it is
// healthy. $PROXY_CONTROL is the address of its operators' API.
func startFleetMember(
	t *testing.T, index, fleetSize int, discovery string, sockets int, engines ...*fakes.Engine,
) *frontEndProcess {
	t.Helper()
	f := &frontEndProcess{
		t:          t,
		addr:       testprocess.FreeAddr(t),
		configPath: filepath.Join(t.TempDir(), "config.json"),
		tempDir:    t.TempDir(),
	}
	var peers []string
	for i := range fleetSize {
		peers = append(peers, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	var endpoints []fakes.Endpoint
	for _, e := range engines {
		endpoints = append(endpoints, e.Endpoint(fakes.Active))
	}
	settings := fakes.Settings{FrontEnds: fleetSize, Index: index, DeadlineMS: deadlineMS, LoadsInOrder: true}
	config := fakes.ProgramConfig{
		Name:             fmt.Sprintf("n%d", index),
		Listen:           f.addr,
		Seed:             "8c1f30d27a5be964",
		Limits:           fakes.LimitsWithSockets(sockets),
		PeerListen:       testprocess.FreeAddr(t),
		Peers:            peers,
		DiscoveryAddress: discovery,
		InitialUpdates:   fakes.OneUpdate(1, true, endpoints...),
		Settings:         settings.JSON(),
	}
	if err := config.Write(f.configPath); err != nil {
		t.Fatal(err)
	}
	f.process = f.startProcess(os.Getenv("PROXY_CONTROL"))
	f.waitHealthy()
	return f
}

// readConfig returns the text of the front end's configuration.
func (f *frontEndProcess) readConfig() string {
	f.t.Helper()
	text, err := os.ReadFile(f.configPath)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

func (f *frontEndProcess) writeConfig(text string) {
	f.t.Helper()
	if err := os.WriteFile(f.configPath, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

// startProcess starts a process of the front end. control is the address of the operators'
// API; without one there is no API.
func (f *frontEndProcess) startProcess(control string, args ...string) *testprocess.Process {
	f.t.Helper()
	return testprocess.Start(f.t, fakes.ProgramEnvironment(f.configPath, control, f.tempDir), args...)
}

// changeConfig replaces a part of the configuration's text. The text must contain it.
func (f *frontEndProcess) changeConfig(part, replacement string) {
	f.t.Helper()
	text := f.readConfig()
	if !strings.Contains(text, part) {
		f.t.Fatalf("the configuration has no %s", part)
	}
	f.writeConfig(strings.ReplaceAll(text, part, replacement))
}

// waitHealthy waits until the front end passes its health check.
func (f *frontEndProcess) waitHealthy() {
	f.t.Helper()
	testprocess.Until(f.t, "the front end to be healthy", func() bool { return fakes.Healthy(f.addr) })
}

// waitForLog waits until the log contains a text.
func (f *frontEndProcess) waitForLog(text string) {
	f.t.Helper()
	testprocess.Until(f.t, text, func() bool { return strings.Contains(f.process.Log(), text) })
}

// waitForCounter makes the program print its counters until its log contains a text.
func (f *frontEndProcess) waitForCounter(text string) {
	f.t.Helper()
	testprocess.Until(f.t, text, func() bool {
		f.process.Signal(syscall.SIGUSR1)
		return strings.Contains(f.process.Log(), text)
	})
}

// waitForRequests waits until the engines have received count requests in total.
func waitForRequests(t *testing.T, count int, engines ...*fakes.Engine) {
	t.Helper()
	testprocess.Until(t, fmt.Sprintf("%d requests at engines", count), func() bool {
		sent := 0
		for _, e := range engines {
			sent += len(e.Attempts())
		}
		return sent == count
	})
}

// waitForCancels waits until an engine has received count requests to cancel an attempt.
func waitForCancels(t *testing.T, count int, e *fakes.Engine) {
	t.Helper()
	testprocess.Until(t, fmt.Sprintf("%d cancellations", count), func() bool { return e.CommandCount("KILL") == count })
}

// waitForExit waits for the process to end and checks that its exit status is 0.
func (f *frontEndProcess) waitForExit() {
	f.t.Helper()
	if code := f.process.Wait(); code != 0 {
		f.t.Errorf("exit status %d, want 0", code)
	}
}

// callOperatorAPI calls the operators' API. Status 0 means that there was no response.
func callOperatorAPI(addr, method, path string) (status int, body []byte) {
	return fakes.CallOperatorAPI(addr, method, path, testprocess.WaitTimeout)
}

// client is a connection of a client.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// connect opens a connection of a client. It is closed when the test ends.
func (f *frontEndProcess) connect() *client {
	f.t.Helper()
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testprocess.WaitTimeout)); err != nil {
		f.t.Fatal(err)
	}
	return &client{t: f.t, conn: c, reader: bufio.NewReader(c)}
}

// send writes a message. The connection must be open.
func (c *client) send(message string) *client {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, message); err != nil {
		c.t.Fatal(err)
	}
	return c
}

// trySend writes a message and ignores errors, as the connection may have been closed.
func (c *client) trySend(message string) { _, _ = io.WriteString(c.conn, message) }

func (c *client) close() { _ = c.conn.Close() }

// roundTrip writes a message and reads its response. Status 0 means that the connection
// ended.
func (c *client) roundTrip(message string) (status int, header textproto.MIMEHeader, body fakes.ResponseBody) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, message); err != nil {
		return 0, nil, fakes.ResponseBody{}
	}
	return c.readResponse()
}

// readResponse reads a response. Status 0 means that the connection ended.
func (c *client) readResponse() (status int, header textproto.MIMEHeader, body fakes.ResponseBody) {
	status, header, text, err := fakes.ReadResponse(c.reader)
	if err != nil {
		return 0, nil, fakes.ResponseBody{}
	}
	_ = json.Unmarshal(text, &body) // a body that is not JSON counts as empty
	return status, header, body
}

// expectStatus reads a response and checks its status.
func (c *client) expectStatus(want int) {
	c.t.Helper()
	if status, _, body := c.readResponse(); status != want {
		c.t.Errorf("status %d, want %d: %+v", status, want, body)
	}
}

// expectRows reads a response and checks that it is a result with a number of rows.
func (c *client) expectRows(want int) {
	c.t.Helper()
	if status, _, body := c.readResponse(); status != 200 || len(body.Page) != want {
		c.t.Errorf("status %d, want 200 and %d rows: %+v", status, want, body)
	}
}

// expectError reads a response and checks its status and error.
func (c *client) expectError(wantStatus int, want string) {
	c.t.Helper()
	if status, _, body := c.readResponse(); status != wantStatus || body.Err != want {
		c.t.Errorf("status %d, want %d and error %q: %+v", status, wantStatus, want, body)
	}
}

// expectLastResponse reads a response and checks that it has one row and announces the
// end of the connection.
func (c *client) expectLastResponse(name string) {
	c.t.Helper()
	status, header, body := c.readResponse()
	if status != 200 || len(body.Page) != 1 || header.Get("Connection") != "close" {
		c.t.Errorf("%s: status %d, want 200, one row and a close: %v, %+v", name, status, header, body)
	}
}

// waitClosed waits until the front end has closed an idle connection, without a reset. From
// then on no idle connection is left.
func (c *client) waitClosed() {
	c.t.Helper()
	if _, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Fatalf("idle connection ended with %v, want EOF", err)
	}
}

// timeoutHeaders set a request timeout of 15 s and an expected cost of 20 ms.
const timeoutHeaders = "Req-Wait-Ms: 15000\r\nReq-Cost: 20\r\n"

// requestMessage returns a request of a client. Each of the headers ends with a line break.
func requestMessage(class, id, headers, statement string) string {
	return fmt.Sprintf("POST /api/v2/%s HTTP/1.1\r\nHost: x\r\nReq-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		class, id, headers, len(statement), statement)
}

// lookupMessage returns an idempotent request with the k-th id.
func lookupMessage(k int, statement string) string {
	return requestMessage("lookup", requestID(k), timeoutHeaders, statement)
}

// loadMessage returns a load, which must not run twice, with the k-th id.
func loadMessage(k int, statement string) string {
	return requestMessage("load", requestID(k), timeoutHeaders, statement)
}

// healthCheck is the request by which clients' load balancers check the front end's health.
const healthCheck = "GET /-/healthy HTTP/1.1\r\n\r\n"

// requestID returns the k-th request id.
func requestID(k int) string { return fmt.Sprintf("%016x", k) }
