package mysql_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// disconnectMethods are the ways in which a client goes while its statement is queued.
var disconnectMethods = map[string]func(c *mysql.RawClient){
	"closed":            func(c *mysql.RawClient) {},
	"reset":             func(c *mysql.RawClient) { _ = c.SetLinger(0) },
	"behind a command":  func(c *mysql.RawClient) { _ = c.Send("INSERT INTO trips_1.t VALUES ('ahead')") },
	"behind many bytes": func(c *mysql.RawClient) { c.SendPartial(4<<20, 12<<20) },
	"reset, behind many bytes": func(c *mysql.RawClient) {
		c.SendPartial(4<<20, 5<<20)
		_ = c.SetLinger(0)
	},
}

// TestDisconnectedClientsLoadNeverBegins checks that when a client disconnects while its
// load is queued behind another one of its key, however it disconnects, the load never
// begins, the one behind it goes on, and its id is free again.
func TestDisconnectedClientsLoadNeverBegins(t *testing.T) {
	for name, disconnect := range disconnectMethods {
		t.Run(name, func(t *testing.T) { checkDisconnectWhileQueued(t, disconnect) })
	}
}

func checkDisconnectWhileQueued(t *testing.T, disconnect func(c *mysql.RawClient)) {
	t.Helper()
	d := deploy(t, 1, func(c *mysql.Config) {
		c.Rules = []mysql.Rule{{Verbs: []string{"insert"}, Class: "load", Key: "table", WorkMS: 1500}}
		// No load is rejected from the queue while a busy machine passes on all those bytes.
		c.Settings.Classes[1].LatencyObjectiveMS = 20000
	})
	release := make(chan bool)
	d.setBehaviour(func(step, sql string) string {
		if strings.Contains(sql, "slow") {
			<-release
		}
		return ""
	})
	if err := d.db.Ping(); err != nil {
		t.Fatal(err)
	}
	accepted := 0
	sendLoad := func(statement string) *mysql.RawClient {
		t.Helper()
		client := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
		if err := client.Send(statement); err != nil {
			t.Fatal(err)
		}
		accepted++
		d.waitForCounter(fmt.Sprintf(`"Taken":%d`, accepted))
		return client
	}
	const leaver = "INSERT INTO trips_1.t VALUES ('leaver')"
	first := sendLoad("INSERT INTO trips_1.t VALUES ('slow')")
	leaving := []*mysql.RawClient{sendLoad(leaver), sendLoad("/* dewhill: id=batch-1 */ " + leaver)}
	last := sendLoad("INSERT INTO trips_1.t VALUES ('last')")
	for _, client := range leaving {
		go func() {
			disconnect(client)
			_ = client.Close()
		}()
	}
	d.waitForCounter(`"Abandoned":2`)
	close(release)
	if !first.ReadOK() || !last.ReadOK() {
		t.Error("the first or the last was not served")
	}
	if n := d.ran(leaver); n != 0 {
		t.Errorf("%d loads began although their clients had disconnected", n)
	}
	if _, err := d.db.Exec("/* dewhill: id=batch-1 */ " + leaver); err != nil {
		t.Errorf("its id is not free: %v", err)
	}
}

// waitForCounter asks the program for its counters until they contain a text.
func (d *deployment) waitForCounter(text string) {
	d.t.Helper()
	testprocess.Until(d.t, text, func() bool {
		d.prog.Signal(syscall.SIGUSR1)
		return strings.Contains(d.prog.Log(), text)
	})
}
