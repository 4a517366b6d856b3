package mysql_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// killConnections is the number of connections that a front end has to an engine beside its
// sessions.
const killConnections = 1

// TestLateKillEndsNoOtherStatement guards against a statement that is ended for a client
// that has not cancelled it: the KILL QUERY of an earlier statement of the same session came
// late, when that one had ended and the session was used again.
func TestLateKillEndsNoOtherStatement(t *testing.T) {
	for _, perEngine := range []int{2, 16} {
		t.Run(fmt.Sprintf("%d sessions", perEngine), func(t *testing.T) { checkLateKill(t, perEngine) })
	}
}

func checkLateKill(t *testing.T, perEngine int) {
	t.Helper()
	const (
		firstMS  = 300
		killMS   = 800 // until the engine receives the KILL QUERY
		secondMS = 1500
	)
	d := deploy(t, 1, func(c *mysql.Config) { c.Limits.ConnectionsPerEngine = perEngine })
	engine := d.engines[0]
	engine.SetBehavior(func(_, sql string) string {
		switch {
		case strings.Contains(sql, "first"):
			return fmt.Sprintf("wait %d", firstMS)
		case strings.Contains(sql, "second"):
			return fmt.Sprintf("wait %d", secondMS)
		default:
			return ""
		}
	})
	engine.SetKillDelay(killMS * time.Millisecond)
	leaving := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
	if err := leaving.Send("SELECT first FROM trips_1.t"); err != nil {
		t.Fatal(err)
	}
	testprocess.Until(t, "the session", func() bool { return engine.Connections() == 1+killConnections })
	time.Sleep(firstMS / 3 * time.Millisecond)
	_ = leaving.Close()
	testprocess.Until(t, "the first statement to end", func() bool { return engine.Ran("SELECT first") == 1 })
	time.Sleep(firstMS / 6 * time.Millisecond)
	other := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
	if err := other.Send("INSERT INTO trips_1.second VALUES (1)"); err != nil {
		t.Fatal(err)
	}
	if err := other.ReadResponse(); err != nil {
		t.Errorf("the other client's load: %v, want its OK", err)
	}
	testprocess.Until(t, "the kill", func() bool { _, kills := engine.Counts(); return kills == 1 })
	for range 5 { // the engine is still served
		d.exec("INSERT INTO trips_1.later VALUES (1)")
	}
}

// TestCrowdOfCancelsLeavesAnEngineInService checks that an engine runs statements while the
// KILL QUERY of many statements, whose clients have left, can't reach it.
func TestCrowdOfCancelsLeavesAnEngineInService(t *testing.T) {
	const (
		sessions = 8
		runMS    = 200
		killMS   = 3000
		maxTime  = time.Second
	)
	d := deploy(t, 1, func(c *mysql.Config) { c.Limits.ConnectionsPerEngine = sessions })
	engine := d.engines[0]
	engine.SetBehavior(func(_, sql string) string {
		if strings.Contains(sql, "crowd") {
			return fmt.Sprintf("wait %d", runMS)
		}
		return ""
	})
	var clients []*mysql.RawClient
	for range sessions {
		client := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
		if err := client.Send("SELECT crowd FROM trips_1.t"); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, client)
	}
	testprocess.Until(t, "the sessions", func() bool { return engine.Connections() == sessions+killConnections })
	engine.SetKillDelay(killMS * time.Millisecond)
	var leaving sync.WaitGroup
	for _, client := range clients {
		leaving.Go(func() { _ = client.Close() })
	}
	leaving.Wait()
	testprocess.Until(t, "the KILL QUERY", func() bool { return engine.KillsSent() > 0 })
	testprocess.Until(t, "the crowd's statements to end", func() bool { return engine.Ran("SELECT crowd") == sessions })
	start := time.Now()
	d.exec("INSERT INTO trips_1.later VALUES (1)")
	if took := time.Since(start); took > maxTime {
		t.Errorf("a load took %v while KILL QUERY was under way, want at most %v", took, maxTime)
	}
}
