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

// Clients beyond the connection limit are rejected with a retry delay, and clients within
// it are served.
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

// If the system's descriptor limit is lowered and no descriptor is left, the program keeps
// running, and accepts connections again when descriptors are free.
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
		t.Errorf("the descriptor limit was never reached: %v", counters)
	}
}

// Idle clients do not use up the descriptors that the program needs for the endpoint list,
// for engines and for operators, even if the clients connected while the discovery service
// could not be reached.
func TestIdleClientsDoNotExhaustDescriptors(t *testing.T) {
	testprocess.MaxDescriptors = 64
	t.Cleanup(func() { testprocess.MaxDescriptors = 0 })
	discovery, operators := testprocess.FreeAddr(t), testprocess.FreeAddr(t)
	t.Setenv("PROXY_CONTROL", operators)
	f := startFrontEnd(t, discovery, 64)
	connected := keepReconnecting(t, f.addr, 80)
	testprocess.Until(t, "more connections than there are descriptors", func() bool { return connected.Load() > 100 })
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
		t.Errorf("operators' API: status %d, want 200", status)
	}
	status, body := callOperatorAPI(operators, "GET", "counters")
	log := f.process.Log()
	if status != 200 || strings.Contains(log, "too many open files") || strings.Contains(log, "out of descriptors") {
		t.Errorf("counters: status %d, %s; log:\n%s", status, body, log)
	}
	f.waitForCounter(`"AcceptErrors":0`)
}

// keepReconnecting runs clients that connect, stay idle, and reconnect whenever their
// connection is closed, until the test ends. It returns the number of connections made so
// far.
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

// idleUntilClosed opens a connection, sends a health check, and stays idle until the front
// end closes the connection or 0.5 s have passed. It returns an error if it could not
// connect.
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

// Clients that send megabytes without a line break and disconnect use a bounded amount of
// memory, and other clients are still served.
func TestRequestFloods(t *testing.T) {
	f := startFrontEnd(t, "", 256, fakes.NewScriptedEngine(t, "s-1", replyOneRow))
	c := f.connect()
	var floods sync.WaitGroup
	for k := range 60 {
		floods.Go(func() { flood(f.addr, k) })
	}
	served := 0
	for k := range 20 {
		// Loads, because the attempt of a lookup is cancelled and retried if the host is so
		// busy that the reply is late.
		switch status, _, _ := c.roundTrip(loadMessage(k, selectFromGroup(k))); status {
		case 200:
			served++
		case 503: // the host is so busy that the request could not be sent in time
		default:
			t.Errorf("request %d: status %d, want 200 or 503", k, status)
		}
	}
	floods.Wait()
	if served == 0 {
		t.Error("no request was served during the floods")
	}
	if mb := f.process.Stop()["heap_mb"].(float64); mb > 100 {
		t.Errorf("heap of %v MB after floods of 480 MB, want at most 100 MB", mb)
	}
}

// flood sends 8 MB without a line break, for at most 3 s. If k is even, it sends a request
// first.
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
