package server_test

import (
	"fmt"
	"testing"

	"dewhill/internal/fakes"
)

// TestWrongPollEndsNoOtherRequest guards against a process that panics, and so loses the
// requests of all clients, when one client polls a page that its request does not have yet;
// and against a request that another client's wrong call cancels.
func TestWrongPollEndsNoOtherRequest(t *testing.T) {
	// The expected cost is high, as otherwise the attempt would be cancelled as lost.
	const headers = "Req-Wait-Ms: 15000\r\nReq-Cost: 9000\r\n"
	g := newGate()
	var engines []*fakes.Engine
	for k := range 6 {
		engines = append(engines, fakes.NewScriptedEngine(t, fmt.Sprintf("s-%d", k+1), g.reply))
	}
	f := startFrontEnd(t, "", 1024, engines...)
	f.process.Stop()
	f.changeConfig(`"aimMs":3000`, `"aimMs":30000`)
	f.process = f.startProcess("")
	f.waitHealthy()
	idle, polling, bad := f.connect(), f.connect(), f.connect()
	for k, c := range []*client{idle, polling, bad} {
		c.send(requestMessage("load", requestID(k), headers, "slow"))
	}
	waitForRequests(t, 3, engines...)
	for _, method := range []string{"GET", "DELETE"} { // no response has given these paths
		f.expectWrongPoll(method, "/polls/"+requestID(0)+"/0")
		f.expectWrongPoll(method, "/polls/"+requestID(1)+"/1")
	}
	for k, c := range []*client{idle, polling, bad} {
		if _, _, body := c.readResponse(); body.Poll != "/polls/"+requestID(k)+"/0" {
			t.Fatalf("the response has no path to poll: %+v", body)
		}
	}
	polling.send("GET /polls/" + requestID(1) + "/0 HTTP/1.1\r\n\r\n")
	f.expectWrongPoll("DELETE", "/polls/"+requestID(0)+"/1")
	f.expectWrongPoll("DELETE", "/polls/"+requestID(1)+"/1")
	f.expectWrongPoll("GET", "/polls/"+requestID(1)+"/2")
	bad.send("GET /polls/" + requestID(2) + "/1 HTTP/1.1\r\n\r\n")
	bad.expectStatus(404)
	idle.send("GET /polls/" + requestID(0) + "/0 HTTP/1.1\r\n\r\n")
	g.open()
	idle.expectStatus(200)
	polling.expectStatus(200)
}

// expectWrongPoll calls a path on a new connection, and fails the test unless it is unknown.
func (f *frontEndProcess) expectWrongPoll(method, path string) {
	f.t.Helper()
	c := f.connect()
	c.send(method + " " + path + " HTTP/1.1\r\n\r\n")
	c.expectStatus(404)
	c.close()
}
