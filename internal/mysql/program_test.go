package mysql_test

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/haproxy"
	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// TestRowsPassThroughUnchanged checks that rows in the text and the binary protocol reach
// the client as the engine sent them, including NULL and long data.
func TestRowsPassThroughUnchanged(t *testing.T) {
	d := deploy(t, 2, nil)
	var id string
	var n int
	var null sql.NullString
	if err := d.db.QueryRow("SELECT a FROM trips_3.t").Scan(&id, &n, &null); err != nil || n != 0 || null.Valid {
		t.Fatalf("text row %q %d %v: %v", id, n, null, err)
	}
	long := strings.Repeat("x", 100_000)
	rows, err := d.db.Query("SELECT a FROM trips_3.t WHERE b = ? AND c = ? AND d = ? AND e = ?", 42, nil, "é?", long)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = rows.Close() }()
	k := 0
	for ; rows.Next(); k++ {
		var b int
		var c sql.NullString
		var dd, e string
		if err := rows.Scan(&id, &n, &null, &b, &c, &dd, &e); err != nil {
			t.Fatal(err)
		}
		if n != k || null.Valid || b != 42 || c.Valid || dd != "é?" || e != long {
			t.Errorf("row %d: %q %d %v %d %v %q and %d bytes", k, id, n, null, b, c, dd, len(e))
		}
	}
	if k != 2 || rows.Err() != nil {
		t.Errorf("%d rows, want 2: %v", k, rows.Err())
	}
	res, err := d.db.Exec("INSERT INTO trips_3.t VALUES (?)", 1)
	if err != nil {
		t.Fatal(err)
	}
	if a, _ := res.RowsAffected(); a != 3 {
		t.Errorf("%d rows affected, want 3", a)
	}
	d.wantRan("INSERT", 1)
	if got := d.prog.Stop()["requests"].(map[string]any); got["Taken"] != 3.0 || got["Served"] != 3.0 {
		t.Errorf("counters %v", got)
	}
}

// TestConnectionBreaksAfterPrepare checks that a load runs once, on another engine, if the
// connection breaks between prepare and execute. The load provably has not run before.
func TestConnectionBreaksAfterPrepare(t *testing.T) {
	d := deploy(t, 2, nil)
	d.setBehavior(failOnce("prepare", "INSERT", "close"))
	d.exec("INSERT INTO trips_1.t VALUES (?)", 5)
	d.wantRan("INSERT", 1)
	// The engine may have closed sessions that hold the handle in the meantime.
	for range 5 {
		d.exec("UPDATE trips_1.t SET a = ?", 5)
	}
	d.wantRan("UPDATE", 5)
}

// TestConnectionBreaksAfterExecute checks that, if the connection breaks after execute was
// written, a load fails with an error that states that it may have run, while a read is
// retried.
func TestConnectionBreaksAfterExecute(t *testing.T) {
	d := deploy(t, 2, nil)
	for _, act := range []string{"close", "run-close"} {
		d.setBehavior(failOnce("execute", "INSERT INTO trips_1."+act, act))
		_, err := d.db.Exec("INSERT INTO trips_1."+act+" VALUES (?)", 5)
		d.wantCode(err, 1180, "08007")
	}
	d.wantRan("INSERT INTO trips_1.close", 0)
	d.wantRan("INSERT INTO trips_1.run-close", 1)
	d.setBehavior(failOnce("execute", "SELECT", "run-close"))
	var id, null any
	var n, v int
	if err := d.db.QueryRow("SELECT a FROM trips_1.t WHERE b = ?", 7).Scan(&id, &n, &null, &v); err != nil || v != 7 {
		t.Errorf("read returned %d, want 7: %v", v, err)
	}
	d.wantRan("SELECT", 2)
}

// TestHandleIsPreparedOnAnotherEngine checks that a client's statement is prepared on
// another engine when the engine that prepared it is draining.
func TestHandleIsPreparedOnAnotherEngine(t *testing.T) {
	d := deploy(t, 2, nil)
	statement, err := d.db.Prepare("INSERT INTO trips_1.t VALUES (?)")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = statement.Close() }()
	runs := 0
	exec := func() {
		t.Helper()
		if _, err := statement.Exec(runs); err != nil {
			t.Fatal(err)
		}
		runs++
		d.wantRan("INSERT", runs)
	}
	exec() // one engine has the handle now, the other has none
	first, other := d.engines[0], d.engines[1]
	if first.Ran("INSERT") == 0 {
		first, other = other, first
	}
	for i := range d.cfg.Engines {
		d.cfg.Engines[i].State = "active"
		if d.cfg.Engines[i].ID == first.ID {
			d.cfg.Engines[i].State = "leaving"
		}
	}
	d.rewriteConfig()
	text, err := os.ReadFile(d.path)
	if err != nil {
		t.Fatal(err)
	}
	// The signal arrives while the file is still being written, so the program must read
	// the file again.
	testprocess.WriteHalfThenRest(t, d.path, string(text), func() { d.prog.Signal(syscall.SIGHUP) })
	testprocess.Until(t, "the engines to be read", func() bool { return strings.Contains(d.prog.Log(), "engines read") })
	before := first.Ran("INSERT")
	for range 3 {
		exec()
	}
	if first.Ran("INSERT") != before {
		t.Errorf("the draining engine ran %d more statements", first.Ran("INSERT")-before)
	}
	if p, _ := other.Counts(); p != 1 {
		t.Errorf("%d handles were prepared on the other engine, want 1", p)
	}
}

// TestUnknownHandleIsPreparedAgain checks that an execute that the engine rejects because
// it no longer knows the handle counts as not run, and that the load then runs once.
func TestUnknownHandleIsPreparedAgain(t *testing.T) {
	d := deploy(t, 2, nil)
	d.setBehavior(failOnce("execute", "INSERT", "error 1243"))
	d.exec("INSERT INTO trips_1.t VALUES (?)", 1)
	d.wantRan("INSERT", 1)
}

// TestDeadline checks that a read that misses its deadline fails with the error for
// deadlines, that a load fails with an error that states that it may have run, and that
// both statements are killed on the engine.
func TestDeadline(t *testing.T) {
	d := deploy(t, 1, nil)
	d.setBehavior(func(step, q string) string {
		if step != "prepare" && strings.Contains(q, "slow") {
			return "hang"
		}
		return ""
	})
	var v any
	err := d.db.QueryRow("SELECT /* dewhill: deadline=300 */ slow FROM trips_1.t").Scan(&v)
	d.wantCode(err, 3024, "HYT00")
	_, err = d.db.Exec("/* dewhill: deadline=300 */ INSERT INTO trips_1.slow VALUES (?)", 1)
	d.wantCode(err, 1180, "08007")
	testprocess.Until(t, "both to be killed", func() bool { _, kills := d.engines[0].Counts(); return kills >= 2 })
}

// TestClientDisconnects checks that a client's disconnect cancels its statement on the
// engine that runs the statement.
func TestClientDisconnects(t *testing.T) {
	d := deploy(t, 1, nil)
	running := make(chan struct{}, 1)
	d.setBehavior(func(step, q string) string {
		if step != "query" || !strings.Contains(q, "slow") {
			return ""
		}
		running <- struct{}{}
		return "hang"
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := d.db.ExecContext(ctx, "SELECT slow FROM trips_1.t")
		done <- err
	}()
	// A statement that has not been sent to the engine yet is cancelled without a kill,
	// so the test waits until it runs.
	select {
	case <-running:
	case <-time.After(10 * time.Second):
		t.Fatal("the statement did not reach the engine within 10 s")
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want %v", err, context.Canceled)
	}
	testprocess.Until(t, "the kill", func() bool { _, kills := d.engines[0].Counts(); return kills == 1 })
}

// TestRejectedWithoutReachableEngine checks that, if no engine is reachable, the client
// gets a rejection that states when to retry. No attempt can have run, so the response
// must not be that the load may have run.
func TestRejectedWithoutReachableEngine(t *testing.T) {
	unreachable := testprocess.FreeAddr(t)
	d := deploy(t, 1, func(c *mysql.Config) { c.Engines[0].Address = unreachable })
	_, err := d.db.Exec("/* dewhill: deadline=400 */ INSERT INTO trips_1.t VALUES (?)", 1)
	d.wantCode(err, 1226, "53300")
	if err == nil || !strings.Contains(err.Error(), "nothing ran: try again in ") {
		t.Errorf("error %v does not state when to retry", err)
	}
}

// TestRepeatedLoadGetsFirstOutcome checks that repeats of a load with an id get the outcome
// of its first run, both after a success and after a failure that may have run, and that
// another statement can't use the same id.
func TestRepeatedLoadGetsFirstOutcome(t *testing.T) {
	d := deploy(t, 2, func(c *mysql.Config) { c.Limits.KnownIDs = 3 })
	exec := func(id, table string) error {
		_, err := d.db.Exec("/* dewhill: id="+id+" */ INSERT INTO trips_1."+table+" VALUES (?)", 1)
		return err
	}
	for range 3 {
		if err := exec("up-1", "a"); err != nil {
			t.Error(err)
		}
	}
	d.wantRan("/* dewhill: id=up-1", 1)
	d.setBehavior(failOnce("execute", "/* dewhill: id=up-2", "run-close"))
	for range 2 {
		d.wantCode(exec("up-2", "a"), 1180, "08007")
	}
	d.wantRan("/* dewhill: id=up-2", 1)
	d.wantCode(exec("up-1", "other"), 1231, "42000")
	// The number of remembered ids is limited: the oldest id is forgotten, so its load
	// runs again.
	for i := range 3 {
		if err := exec(fmt.Sprintf("more-%d", i), "a"); err != nil {
			t.Error(err)
		}
	}
	if err := exec("up-1", "a"); err != nil {
		t.Error(err)
	}
	d.wantRan("/* dewhill: id=up-1", 2)
}

// TestConcurrentRepeatsRunOnce checks that a load runs once if clients send it with the
// same id on several connections at the same time.
func TestConcurrentRepeatsRunOnce(t *testing.T) {
	d := deploy(t, 2, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { d.exec("/* dewhill: id=same */ INSERT INTO trips_1.t VALUES (?)", 1) })
	}
	wg.Wait()
	d.wantRan("/* dewhill: id=same", 1)
}

// TestUnsupportedStatements checks that statements that engine connections shared between
// clients can't support fail instead of being ignored, and that a hint can't assign an
// idempotent class to a write.
func TestUnsupportedStatements(t *testing.T) {
	d := deploy(t, 1, nil)
	for _, q := range []string{"BEGIN", "START TRANSACTION", "COMMIT", "SET @a = 1", "SELECT @a", "SELECT LAST_INSERT_ID()",
		"LOCK TABLES t READ", "SELECT 1; SELECT 2", "LOAD DATA LOCAL INFILE 'x' INTO TABLE t", "CREATE TEMPORARY TABLE t (a INT)",
		"SET autocommit=0", "USE other"} {
		_, err := d.db.Exec(q)
		d.wantCode(err, 1235, "42000")
	}
	for _, q := range []string{"SET autocommit = 1", "SET NAMES utf8mb4"} {
		d.exec(q)
	}
	_, err := d.db.Exec("/* dewhill: class=lookup */ DELETE FROM trips_1.t")
	d.wantCode(err, 1231, "42000")
	d.exec("SELECT broken FROM t")
	d.setBehavior(func(string, string) string { return "error 1146" })
	_, err = d.db.Exec("SELECT a FROM gone")
	d.wantCode(err, 1146, "HY000")
	if d.ran("BEGIN")+d.ran("DELETE")+d.ran("SET") != 0 {
		t.Error("an engine ran an unsupported statement")
	}
	db, _ := sql.Open("mysql", "app:wrong@tcp("+d.cfg.Listen+")/trips")
	defer func() { _ = db.Close() }()
	err = db.Ping()
	d.wantCode(err, 1045, "28000")
	if err == nil || !strings.Contains(err.Error(), `Access denied for user "app"`) {
		t.Errorf("error %v, want the access of user app to be denied", err)
	}
}

// TestLoadsInOrder checks that loads with the same order key run one at a time, in their
// order of arrival.
func TestLoadsInOrder(t *testing.T) {
	d := deploy(t, 2, func(c *mysql.Config) {
		c.Rules = []mysql.Rule{{Verbs: []string{"insert"}, Class: "load", Key: "table", WorkMS: 5}}
	})
	var mu sync.Mutex
	running := 0
	maxRunning := 0
	var order []string
	d.setBehavior(func(step, q string) string {
		if step == "query" {
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			order = append(order, q)
			mu.Unlock()
			time.Sleep(5 * time.Millisecond)
			mu.Lock()
			running--
			mu.Unlock()
		}
		return ""
	})
	var wg sync.WaitGroup
	var want []string
	for i := range 6 {
		q := fmt.Sprintf("INSERT INTO trips_1.t VALUES (%d)", i)
		want = append(want, q)
		wg.Go(func() { d.exec(q) })
		d.waitForCounter(fmt.Sprintf(`"Queries":%d,`, i+1))
	}
	wg.Wait()
	if maxRunning != 1 || strings.Join(order, "|") != strings.Join(want, "|") {
		t.Errorf("%d loads ran at the same time, want 1; order %q, want %q", maxRunning, order, want)
	}
}

// TestMalformedInput checks that malformed input closes its connection and does not affect
// other clients.
func TestMalformedInput(t *testing.T) {
	d := deploy(t, 1, nil)
	for _, input := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\x01", "\x04\x00\x00\x01abcd", "\x00\x00\x00\x01"} {
		c, err := net.Dial("tcp", d.cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(input)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(testprocess.WaitTimeout))
		var buf bytes.Buffer
		if _, err := buf.ReadFrom(c); err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection is still open", input)
		}
		_ = c.Close()
	}
	if err := d.db.Ping(); err != nil {
		t.Error(err)
	}
}

// TestInvalidConfigFile checks that the program exits with an error and a single log line
// that names the cause if the configuration file is invalid.
func TestInvalidConfigFile(t *testing.T) {
	for text, want := range map[string]string{
		`{"on":true,"listn":"x"}`: "listn",
		`{"on":true,"listen":"127.0.0.1:0","accounts":[{}],"engines":[{"id":"a","address":"nowhere"}]}`: "engine a",
		`{"on":false}`: "nothing to serve",
		`{`:            "unexpected",
	} {
		path := testprocess.WriteTempFile(t, "mysql.json", text)
		p := testprocess.Start(t, []string{"PROXY_CONFIG="}, "-mysql", path)
		if c := p.Wait(); c == 0 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), want) {
			t.Errorf("%s: exit code %d, log %q, want one line with %q", text, c, p.Log(), want)
		}
	}
}

// TestImportedConfigFile checks that the program serves clients with a configuration file
// that the importer wrote from an HAProxy configuration.
func TestImportedConfigFile(t *testing.T) {
	e := mysql.NewFakeEngine(t, "db1", "")
	listen := testprocess.FreeAddr(t)
	text := fmt.Sprintf("defaults\n  mode tcp\n  timeout server 20s\n  timeout connect 5s\nfrontend f\n  bind %s\n"+
		"  default_backend b\nbackend b\n  option mysql-check user gate\n  server db1 %s check weight 5 maxconn 4\n", listen, e.Addr)
	var file, report bytes.Buffer
	if err := haproxy.Run(testprocess.WriteTempFile(t, "haproxy.cfg", text), &file, &report); err != nil {
		t.Fatalf("%v: %s", err, report.String())
	}
	testprocess.Start(t, []string{"PROXY_CONFIG="}, "-mysql", testprocess.WriteTempFile(t, "mysql.json", file.String()))
	db := openDatabase(t, "gate:@tcp("+listen+")/")
	if _, err := db.Exec("INSERT INTO a_1.t VALUES (?)", 1); err != nil || e.Ran("INSERT") != 1 {
		t.Errorf("statement ran %d times, want 1: %v", e.Ran("INSERT"), err)
	}
}

// TestLostHandleIsNoFailure guards against a closed connection and a failure counted
// against an engine that is well, when it has lost a handle or wants it prepared again.
func TestLostHandleIsNoFailure(t *testing.T) {
	for _, code := range []string{"1243", "1615"} {
		d := deploy(t, 1, nil)
		d.exec("INSERT INTO trips_1.t VALUES (?)", 1)
		d.setBehavior(failOnce("execute", "INSERT", "error "+code))
		d.exec("INSERT INTO trips_1.t VALUES (?)", 2)
		d.wantRan("INSERT", 2)
		if prepares, _ := d.engines[0].Counts(); prepares != 2 {
			t.Errorf("error %s: prepared %d times, want 2", code, prepares)
		}
		engines := d.prog.Stop()["engines"].(map[string]any)
		if engines["Dials"] != 1.0 || engines["LostUnsent"] != 0.0 {
			t.Errorf("error %s: %v connections and %v failed attempts, want 1 and 0", code, engines["Dials"], engines["LostUnsent"])
		}
	}
}
