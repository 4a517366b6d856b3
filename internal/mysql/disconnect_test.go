package mysql_test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// disconnectMethods are ways in which a client disconnects while its statement is
// queued. The test closes the connection afterwards.
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

// TestDisconnectedClientsLoadNeverBegins checks what happens when a client disconnects
// while its load is queued behind another load with the same order key: the load never
// starts, the next load in the queue runs, and the id can be used again.
func TestDisconnectedClientsLoadNeverBegins(t *testing.T) {
	for name, disconnect := range disconnectMethods {
		t.Run(name, func(t *testing.T) { checkDisconnectWhileQueued(t, disconnect) })
	}
}

func checkDisconnectWhileQueued(t *testing.T, disconnect func(c *mysql.RawClient)) {
	t.Helper()
	d := deploy(t, 1, func(c *mysql.Config) {
		c.Rules = []mysql.Rule{{Verbs: []string{"insert"}, Class: "load", Key: "table", WorkMS: 1500}}
		// With a long objective, no queued load is rejected while a busy host transfers
		// the bytes of the test.
		c.Settings.Classes[1].LatencyObjectiveMS = 20000
	})
	release := make(chan bool)
	d.setBehavior(func(step, sql string) string {
		if strings.Contains(sql, "slow") {
			<-release
		}
		return ""
	})
	if err := d.db.Ping(); err != nil {
		t.Fatal(err)
	}
	taken := 0
	sendLoad := func(statement string) *mysql.RawClient {
		t.Helper()
		client := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
		if err := client.Send(statement); err != nil {
			t.Fatal(err)
		}
		taken++
		d.waitForCounter(fmt.Sprintf(`"Taken":%d`, taken))
		return client
	}
	const abandoned = "INSERT INTO trips_1.t VALUES ('abandoned')"
	first := sendLoad("INSERT INTO trips_1.t VALUES ('slow')")
	disconnecting := []*mysql.RawClient{
		sendLoad(abandoned),
		sendLoad("/* dewhill: id=batch-1 */ " + abandoned),
	}
	last := sendLoad("INSERT INTO trips_1.t VALUES ('last')")
	for _, client := range disconnecting {
		go func() {
			disconnect(client)
			_ = client.Close()
		}()
	}
	d.waitForCounter(`"Abandoned":2`)
	close(release)
	if !first.ReadOK() || !last.ReadOK() {
		t.Error("the first or the last load was not served")
	}
	if n := d.ran(abandoned); n != 0 {
		t.Errorf("%d loads ran although their clients had disconnected", n)
	}
	if _, err := d.db.Exec("/* dewhill: id=batch-1 */ " + abandoned); err != nil {
		t.Errorf("a new load with the id of an abandoned load failed: %v", err)
	}
}

// waitForCounter has the program log its counters until they contain a text.
func (d *deployment) waitForCounter(text string) {
	d.t.Helper()
	testprocess.Until(d.t, text, func() bool {
		d.prog.Signal(syscall.SIGUSR1)
		return strings.Contains(d.prog.Log(), text)
	})
}
