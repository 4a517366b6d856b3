package mysql_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// movingEngine is a deployment of one engine that moves to another server.
type movingEngine struct {
	*deployment
	from, to *mysql.FakeEngine
}

func deployMovingEngine(t *testing.T, perEngine int) *movingEngine {
	t.Helper()
	d := deploy(t, 1, func(c *mysql.Config) { c.Limits.ConnectionsPerEngine = perEngine })
	return &movingEngine{deployment: d, from: d.engines[0], to: mysql.NewFakeEngine(t, "e0", "inner")}
}

// reloadWith writes the engine with another address and state, and reloads the file.
func (d *movingEngine) reloadWith(addr, state string) {
	d.t.Helper()
	reloads := strings.Count(d.prog.Log(), "engines read")
	d.cfg.Engines[0].Address = addr
	d.cfg.Engines[0].State = state
	d.rewriteConfig()
	d.prog.Signal(syscall.SIGHUP)
	testprocess.Until(d.t, "the reload", func() bool { return strings.Count(d.prog.Log(), "engines read") > reloads })
}

// startLoad sends a load on a connection of its own and waits until its attempt has begun.
func (d *movingEngine) startLoad(table string) *mysql.RawClient {
	d.t.Helper()
	client := mysql.NewRawClient(d.t, d.cfg.Listen, "app", "secret")
	if err := client.Send("INSERT INTO trips_1." + table + " VALUES (1)"); err != nil {
		d.t.Fatal(err)
	}
	d.waitForCounter(`"Starts":1`)
	return client
}

// wantLoadsAt sends loads and checks that all run at one server and none at another.
func (d *movingEngine) wantLoadsAt(there, notThere *mysql.FakeEngine) {
	d.t.Helper()
	const loads = 10
	before := notThere.Ran("INSERT INTO trips_1.later")
	for n := range loads {
		d.exec(fmt.Sprintf("INSERT INTO trips_1.later VALUES (%d)", n))
		d.exec("INSERT INTO trips_1.later VALUES (?)", n)
	}
	if ran := notThere.Ran("INSERT INTO trips_1.later") - before; ran > 0 {
		d.t.Errorf("%d of %d loads ran at the server that the engine had left", ran, 2*loads)
	}
	if ran := there.Ran("INSERT INTO trips_1.later"); ran == 0 {
		d.t.Error("no load ran at the engine's new server")
	}
}

// TestNothingBeginsAtAnOldAddress guards against loads that run at a server that no file
// names any more: a session that was busy when its engine moved was used again.
func TestNothingBeginsAtAnOldAddress(t *testing.T) {
	const slowMS = 600
	slow := func(_, sql string) string {
		if strings.Contains(sql, "slow") {
			return fmt.Sprintf("wait %d", slowMS)
		}
		return ""
	}
	slowSession := func(connectionID uint32) time.Duration {
		if connectionID == killConnections {
			return 0
		}
		return slowMS * time.Millisecond
	}
	t.Run("busy session", func(t *testing.T) {
		d := deployMovingEngine(t, 1)
		d.from.SetBehavior(slow)
		client := d.startLoad("slow")
		testprocess.Until(t, "the session", func() bool { return d.from.Connections() == 1+killConnections })
		d.reloadWith(d.to.Addr, "")
		if err := client.ReadResponse(); err != nil {
			t.Errorf("the load that ran at the old server: %v, want its answer", err)
		}
		d.wantLoadsAt(d.to, d.from)
	})
	t.Run("session that is logging in", func(t *testing.T) {
		d := deployMovingEngine(t, 1)
		d.from.SetLoginDelay(slowSession)
		client := d.startLoad("connecting")
		testprocess.Until(t, "the session", func() bool { return d.from.Connections() == 1+killConnections })
		d.reloadWith(d.to.Addr, "")
		if err := client.ReadResponse(); err != nil {
			t.Errorf("the load of the session that was logging in: %v, want an answer from the new server", err)
		}
		if ran := d.from.Ran("INSERT"); ran > 0 {
			t.Errorf("%d loads ran at the old server", ran)
		}
		d.wantLoadsAt(d.to, d.from)
	})
	t.Run("session that is logging in, prepared", func(t *testing.T) {
		d := deployMovingEngine(t, 1)
		d.from.SetLoginDelay(slowSession)
		client := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
		answered := make(chan error)
		go func() { answered <- client.PrepareAndExecute("INSERT INTO trips_1.connecting VALUES (1)") }()
		testprocess.Until(t, "the session", func() bool { return d.from.Connections() == 1+killConnections })
		d.reloadWith(d.to.Addr, "")
		if err := <-answered; err != nil {
			t.Errorf("the load of the session that was logging in: %v, want an answer from the new server", err)
		}
		testprocess.Until(t, "the session to end", func() bool { return d.from.Connections() == 0 })
		if prepares, _ := d.from.Counts(); prepares > 0 {
			t.Errorf("%d statements were prepared at the old server", prepares)
		}
	})
	t.Run("moves while it drains, and back", func(t *testing.T) {
		d := deployMovingEngine(t, 2)
		d.from.SetBehavior(slow)
		client := d.startLoad("slow")
		testprocess.Until(t, "the session", func() bool { return d.from.Connections() == 1+killConnections })
		d.reloadWith(d.from.Addr, "leaving")
		d.reloadWith(d.to.Addr, "active")
		d.wantLoadsAt(d.to, d.from)
		if err := client.ReadResponse(); err != nil {
			t.Errorf("the load that ran at the old server: %v, want its answer", err)
		}
		d.wantLoadsAt(d.to, d.from)
		d.reloadWith(d.from.Addr, "active")
		d.wantLoadsAt(d.from, d.to)
	})
}

// TestKillGoesToTheServerOfTheStatement guards against a KILL QUERY that is sent to the
// server to which an engine has moved, where its number is that of another connection.
func TestKillGoesToTheServerOfTheStatement(t *testing.T) {
	d := deployMovingEngine(t, 1)
	d.from.SetBehavior(func(string, string) string { return "hang" })
	client := d.startLoad("slow")
	testprocess.Until(t, "the session", func() bool { return d.from.Connections() == 1+killConnections })
	d.reloadWith(d.to.Addr, "")
	_ = client.Close()
	killed := func() int {
		_, from := d.from.Counts()
		_, to := d.to.Counts()
		return from + to
	}
	testprocess.Until(t, "the kill", func() bool { return killed() > 0 })
	if _, kills := d.to.Counts(); kills > 0 {
		t.Errorf("%d KILL QUERY were sent to the engine's new server, want 0", kills)
	}
}
