package mysql_test

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// The times at which clients still connect and send.
const (
	connectAfterTerm = 400 * time.Millisecond // for so long after SIGTERM clients still connect
	sendAfterTerm    = 600 * time.Millisecond // for so long they send on connections that are open
	clientInterval   = 20 * time.Millisecond  // between two clients, or two statements of one
	pipelined        = 5                      // statements that a client sends ahead
)

// shutdownClients send loads to a front end after its SIGTERM.
type shutdownClients struct {
	t        *testing.T
	addr     string
	withIDs  bool
	all      sync.WaitGroup
	answered atomic.Int64
}

// statement returns the n-th load of a client.
func (s *shutdownClients) statement(client string, n int) string {
	hint := ""
	if s.withIDs {
		hint = fmt.Sprintf("/* dewhill: id=%s-%d */ ", client, n)
	}
	return fmt.Sprintf("INSERT %sINTO trips_1.%s VALUES (%d)", hint, client, n)
}

// check records the answer to a client's n-th load.
func (s *shutdownClients) check(client string, n int, err error) {
	if err != nil {
		s.t.Errorf("%s, statement %d: %v", client, n, err)
		return
	}
	s.answered.Add(1)
}

func (s *shutdownClients) query(connection *mysql.RawClient, client string, n int) {
	err := connection.Send(s.statement(client, n))
	if err == nil {
		err = connection.ReadResponse()
	}
	s.check(client, n, err)
}

// sendUntil sends loads on an open connection, with pauses.
func (s *shutdownClients) sendUntil(end time.Time, connection *mysql.RawClient, client string, pause time.Duration) {
	for n := 0; time.Now().Before(end); n++ {
		s.query(connection, client, n)
		time.Sleep(pause)
	}
}

// sendAhead sends several loads at once on an open connection.
func (s *shutdownClients) sendAhead(connection *mysql.RawClient) {
	const client = "ahead"
	for n := range pipelined {
		if err := connection.Send(s.statement(client, n)); err != nil {
			s.t.Errorf("%s, statement %d: %v", client, n, err)
		}
	}
	for n := range pipelined {
		s.check(client, n, connection.ReadResponse())
	}
}

// logInAndQuery logs in on a connection and sends a load at once.
func (s *shutdownClients) logInAndQuery(connection *mysql.RawClient, client string, n int) {
	if err := connection.LogIn("app", "secret"); err != nil {
		s.t.Errorf("%s %d: log in: %v", client, n, err)
		return
	}
	if n%2 == 0 {
		s.query(connection, client, n)
		return
	}
	s.check(client, n, connection.PrepareAndExecute(s.statement(client, n)))
}

// connectUntil lets a client connect each clientInterval.
func (s *shutdownClients) connectUntil(end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		s.all.Go(func() {
			connection, err := mysql.DialRaw(s.addr)
			if err != nil {
				s.t.Errorf("client %d: %v", n, err)
				return
			}
			defer func() { _ = connection.Close() }()
			s.logInAndQuery(connection, "new", n)
		})
		time.Sleep(clientInterval)
	}
}

// run calls terminate, which sends SIGTERM to the front end, while clients are idle, sending or
// half logged in, and lets others connect. It checks that each load is answered.
func (s *shutdownClients) run(terminate func()) {
	s.t.Helper()
	open := func() *mysql.RawClient { return mysql.NewRawClient(s.t, s.addr, "app", "secret") }
	idle := open()
	busy := open()
	ahead := open()
	halfLoggedIn, err := mysql.DialRaw(s.addr)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = halfLoggedIn.Close() }()
	if err := halfLoggedIn.AwaitGreeting(); err != nil {
		s.t.Fatal(err)
	}
	s.query(idle, "before", 0)
	start := time.Now()
	terminate()
	s.all.Go(func() { s.sendUntil(start.Add(sendAfterTerm), busy, "busy", clientInterval) })
	s.all.Go(func() { s.sendUntil(start.Add(sendAfterTerm), idle, "idle", sendAfterTerm/2) })
	s.all.Go(func() {
		time.Sleep(sendAfterTerm / 2)
		s.sendAhead(ahead)
	})
	s.all.Go(func() {
		time.Sleep(connectAfterTerm)
		s.logInAndQuery(halfLoggedIn, "half_logged_in", 0)
	})
	s.connectUntil(start.Add(connectAfterTerm))
	s.all.Wait()
	s.t.Logf("%d statements were answered", s.answered.Load())
}

// TestStatementsAfterTermAreAnswered guards against loads without an answer: after SIGTERM a
// front end accepted clients, logged them in, and dropped what they sent.
func TestStatementsAfterTermAreAnswered(t *testing.T) {
	for _, withIDs := range []bool{false, true} {
		t.Run(fmt.Sprintf("with ids %v", withIDs), func(t *testing.T) {
			d := deploy(t, 2, nil)
			clients := &shutdownClients{t: t, addr: d.cfg.Listen, withIDs: withIDs}
			clients.run(func() { d.prog.Signal(syscall.SIGTERM) })
			if code := d.prog.Wait(); code != 0 {
				t.Errorf("exit status %d, want 0", code)
			}
		})
	}
	t.Run("with leases", func(t *testing.T) {
		f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: 3, loads: 1, maxRunMS: 20})
		clients := &shutdownClients{t: t, addr: f.addrs[0], withIDs: true}
		ended := make(chan struct{})
		clients.run(func() {
			go func() {
				f.Terminate(f.Fronts[0], killAfterTerm)
				close(ended)
			}()
		})
		<-ended
	})
}

// TestIdleClientsDoNotDelayTheEnd checks that a front end with idle clients, with clients
// that don't log in and with one that stops within a command ends soon after SIGTERM.
func TestIdleClientsDoNotDelayTheEnd(t *testing.T) {
	const maxTime = 3700 * time.Millisecond // then the platform kills it
	d := deploy(t, 1, nil)
	mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
	mysql.NewRawClient(t, d.cfg.Listen, "app", "secret").SendPartial(100, 10)
	silent, err := mysql.DialRaw(d.cfg.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = silent.Close() }()
	if err := silent.AwaitGreeting(); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	d.prog.Signal(syscall.SIGTERM)
	code, ended := d.prog.EndsWithin(maxTime)
	if !ended || code != 0 {
		t.Errorf("ended: %v with exit status %d after %v, want 0 within %v", ended, code, time.Since(start), maxTime)
	}
	t.Logf("ended after %v", time.Since(start))
	if log := d.prog.Log(); !strings.Contains(log, "counters") {
		t.Errorf("the counters are not logged at the end: %s", log)
	}
}

// TestProcessEndsAfterTermWithoutClients checks that a front end without clients ends as
// soon as it no longer accepts any.
func TestProcessEndsAfterTermWithoutClients(t *testing.T) {
	const maxTime = 2 * time.Second
	d := deploy(t, 1, nil)
	testprocess.Until(t, "the pool to be empty", func() bool { return d.db.Close() == nil })
	d.prog.Signal(syscall.SIGTERM)
	if code, ended := d.prog.EndsWithin(maxTime); !ended || code != 0 {
		t.Errorf("ended within %v: %v, exit status %d", maxTime, ended, code)
	}
}
