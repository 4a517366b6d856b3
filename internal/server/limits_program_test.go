package server_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// Clients past the limit of connections are rejected with a Retry-After, and those
// within it are served.
func TestConnectionLimit(t *testing.T) {
	e := fakes.NewScriptedEngine(t, "s-1", replyNoRows)
	f := startFrontEnd(t, "", 64, e)
	var clients []*client
	for range 30 {
		clients = append(clients, f.connect())
	}
	served, rejected := 0, 0
	for k, c := range clients {
		status, header, _ := c.roundTrip(lookupMessage(k, "x"))
		switch {
		case status == 200:
			served++
		case status == 503 && header.Get("Srv-Wait-Ms") != "":
			rejected++
		default:
			t.Errorf("client %d: status %d", k, status)
		}
	}
	if served != 25 || rejected != 5 {
		t.Errorf("%d served and %d rejected, want 25 and 5", served, rejected)
	}
}

// Out of descriptors, as the system's limit has shrunk, the program goes on, and
// accepts again when some are free.
func TestOutOfDescriptors(t *testing.T) {
	f, _ := startWithEngine(t, replyNoRows)
	f.process.LimitDescriptors(24)
	var conns []net.Conn
	for range 40 {
		if c, err := net.Dial("tcp", f.addr); err == nil {
			conns = append(conns, c)
		}
	}
	time.Sleep(50 * time.Millisecond)
	for _, c := range conns {
		_ = c.Close()
	}
	f.connect().send(lookupMessage(1, "x")).expectStatus(200)
	if counters := f.process.Stop()["front"].(map[string]any); counters["AcceptErrors"] == 0.0 {
		t.Errorf("the limit was never reached: %v", counters)
	}
}

// Idle clients keep neither the endpoint list, nor engines, nor operators from the
// program's descriptors, though the list could not be reached when they came.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	testprocess.MaxDescriptors = 64
	t.Cleanup(func() { testprocess.MaxDescriptors = 0 })
	discovery, operators := testprocess.FreeAddr(t), testprocess.FreeAddr(t)
	t.Setenv("PROXY_CONTROL", operators)
	f := startFrontEnd(t, discovery, 64)
	connected := keepReconnecting(t, f.addr, 80)
	testprocess.Until(t, "more clients than there are descriptors", func() bool { return connected.Load() > 100 })
	var endpoints []fakes.Endpoint
	for k := range 14 {
		e := fakes.NewScriptedEngine(t, fmt.Sprintf("s-%d", k), replyOneRow)
		endpoints = append(endpoints, e.Endpoint(fakes.Active))
	}
	list := &fakes.Discovery{Addr: discovery, Script: answerAfter(1, fakes.OneUpdate(2, true, endpoints...))}
	list.Start(t)
	f.waitForLog("engine s-13 at")
	for k := range 60 {
		c := f.connect()
		status, _, _ := c.roundTrip(lookupMessage(k, selectFromGroup(k)))
		if status != 200 && status != 503 {
			t.Errorf("request %d: status %d", k, status)
		}
		c.close()
	}
	if status, _ := callOperatorAPI(operators, "GET", "ready"); status != 200 {
		t.Errorf("operators: status %d", status)
	}
	status, body := callOperatorAPI(operators, "GET", "counters")
	log := f.process.Log()
	if status != 200 || strings.Contains(log, "too many open files") || strings.Contains(log, "out of descriptors") {
		t.Errorf("status %d, %s", status, body)
	}
	f.waitForCounter(`"AcceptErrors":0`)
}

// keepReconnecting has so many clients connect, stay idle, and connect again whenever
// they are sent away, until the test ends. It returns how often one has connected.
func keepReconnecting(t *testing.T, addr string, count int) *atomic.Int32 {
	t.Helper()
	var connected atomic.Int32
	var clients sync.WaitGroup
	stop := make(chan struct{})
	t.Cleanup(func() {
		close(stop)
		clients.Wait()
	})
	for range count {
		clients.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := idleUntilClosed(addr, &connected); err != nil {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
	return &connected
}

// idleUntilClosed opens a connection, checks health, and stays idle until it is sent
// away or 0.5 s have passed. An error means that it could not connect.
func idleUntilClosed(addr string, connected *atomic.Int32) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(500 * time.Millisecond))
	_, _ = io.WriteString(c, healthCheck)
	connected.Add(1)
	_, _ = io.Copy(io.Discard, c)
	return nil
}

// Clients that send much at once and disconnect, and lines that never end, cost
// bounded memory and disturb nobody.
func TestRequestFloods(t *testing.T) {
	f := startFrontEnd(t, "", 256, fakes.NewScriptedEngine(t, "s-1", replyOneRow))
	c := f.connect()
	var floods sync.WaitGroup
	for k := range 60 {
		floods.Go(func() { flood(f.addr, k) })
	}
	served := 0
	for k := range 20 {
		// A load: an attempt at a lookup is cancelled and retried where the machine is so
		// busy that its answer is late.
		switch status, _, _ := c.roundTrip(loadMessage(k, selectFromGroup(k))); status {
		case 200:
			served++
		case 503: // where the machine is so busy that it could not be sent in time
		default:
			t.Errorf("status %d", status)
		}
	}
	floods.Wait()
	if served == 0 {
		t.Error("nothing was served beside the floods")
	}
	if mb := f.process.Stop()["heap_mb"].(float64); mb > 100 {
		t.Errorf("%v MB of memory for floods of 480 MB", mb)
	}
}

// flood sends 8 MB without a line break, every second time after a request, for 3 s at
// most.
func flood(addr string, k int) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	if k%2 == 0 {
		_, _ = io.WriteString(c, lookupMessage(1000+k, "x"))
	}
	_, _ = io.WriteString(c, "X: "+strings.Repeat("x", 8<<20))
}
