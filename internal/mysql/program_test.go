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

// TestRows checks that rows arrive as the engine sent them: text and binary, NULL, long
// data.
func TestRows(t *testing.T) {
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
		t.Errorf("%d rows: %v", k, rows.Err())
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

// TestConnectionBreaksAfterPrepare checks that a load whose connection breaks between
// prepare and execute, and which so never ran, runs on another engine, once.
func TestConnectionBreaksAfterPrepare(t *testing.T) {
	d := deploy(t, 2, nil)
	d.setBehaviour(failOnce("prepare", "INSERT", "die"))
	d.exec("INSERT INTO trips_1.t VALUES (?)", 5)
	d.wantRan("INSERT", 1)
	// Sessions that hold the handle may have been closed by their engine since.
	for range 5 {
		d.exec("UPDATE trips_1.t SET a = ?", 5)
	}
	d.wantRan("UPDATE", 5)
}

// TestConnectionBreaksAfterExecute checks that after execute was written a load may have
// run and fails with an error that says so, while a read is retried.
func TestConnectionBreaksAfterExecute(t *testing.T) {
	d := deploy(t, 2, nil)
	for _, act := range []string{"die", "run-die"} {
		d.setBehaviour(failOnce("execute", "INSERT INTO trips_1."+act, act))
		_, err := d.db.Exec("INSERT INTO trips_1."+act+" VALUES (?)", 5)
		d.wantCode(err, 1180, "08007")
	}
	d.wantRan("INSERT INTO trips_1.die", 0)
	d.wantRan("INSERT INTO trips_1.run-die", 1)
	d.setBehaviour(failOnce("execute", "SELECT", "run-die"))
	var id, null any
	var n, v int
	if err := d.db.QueryRow("SELECT a FROM trips_1.t WHERE b = ?", 7).Scan(&id, &n, &null, &v); err != nil || v != 7 {
		t.Errorf("a read gave %d: %v", v, err)
	}
	d.wantRan("SELECT", 2)
}

// TestHandleOutlivesItsEngine checks that a client's handle is prepared on another engine
// when its engine drains.
func TestHandleOutlivesItsEngine(t *testing.T) {
	d := deploy(t, 2, nil)
	st, err := d.db.Prepare("INSERT INTO trips_1.t VALUES (?)")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = st.Close() }()
	runs := 0
	exec := func() {
		t.Helper()
		if _, err := st.Exec(runs); err != nil {
			t.Fatal(err)
		}
		runs++
		d.wantRan("INSERT", runs)
	}
	exec() // one engine has the handle now, the other none
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
	// The file is still being written when the signal comes: it is read again.
	testprocess.WriteHalfThenRest(t, d.path, string(text), func() { d.prog.Signal(syscall.SIGHUP) })
	testprocess.Until(t, "the list to be read", func() bool { return strings.Contains(d.prog.Log(), "engines read") })
	before := first.Ran("INSERT")
	for range 3 {
		exec()
	}
	if first.Ran("INSERT") != before {
		t.Errorf("the engine that drains ran %d more", first.Ran("INSERT")-before)
	}
	if p, _ := other.Counts(); p != 1 {
		t.Errorf("%d handles were prepared on the other engine, want 1", p)
	}
}

// TestEngineForgetsHandle checks that an engine that no longer knows a handle has run
// nothing.
func TestEngineForgetsHandle(t *testing.T) {
	d := deploy(t, 2, nil)
	d.setBehaviour(failOnce("execute", "INSERT", "error 1243"))
	d.exec("INSERT INTO trips_1.t VALUES (?)", 1)
	d.wantRan("INSERT", 1)
}

// TestDeadline checks that a missed deadline has its own error, and that the engine is
// told to stop.
func TestDeadline(t *testing.T) {
	d := deploy(t, 1, nil)
	d.setBehaviour(func(step, q string) string {
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

// TestClientDisconnects checks that a disconnect cancels the client's statement at the
// engine that runs it.
func TestClientDisconnects(t *testing.T) {
	d := deploy(t, 1, nil)
	running := make(chan struct{}, 1)
	d.setBehaviour(func(step, q string) string {
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
	// A statement that is still on its way to the engine is withdrawn without a kill.
	select {
	case <-running:
	case <-time.After(10 * time.Second):
		t.Fatal("the statement never reached the engine")
	}
	cancel()
	if err := <-done; !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
	testprocess.Until(t, "the kill", func() bool { _, kills := d.engines[0].Counts(); return kills == 1 })
}

// TestNothingRan checks that with no engine in reach, where every attempt provably never
// ran, the answer is a rejection with a time to wait, never "may have run".
func TestNothingRan(t *testing.T) {
	dead := testprocess.FreeAddr(t)
	d := deploy(t, 1, func(c *mysql.Config) { c.Engines[0].Address = dead })
	_, err := d.db.Exec("/* dewhill: deadline=400 */ INSERT INTO trips_1.t VALUES (?)", 1)
	d.wantCode(err, 1226, "53300")
	if err == nil || !strings.Contains(err.Error(), "nothing ran: try again in ") {
		t.Errorf("error %v names no wait", err)
	}
}

// TestKnownID checks that a repeated load gets the outcome of its run, whatever it was.
func TestKnownID(t *testing.T) {
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
	d.setBehaviour(failOnce("execute", "/* dewhill: id=up-2", "run-die"))
	for range 2 {
		d.wantCode(exec("up-2", "a"), 1180, "08007")
	}
	d.wantRan("/* dewhill: id=up-2", 1)
	d.wantCode(exec("up-1", "other"), 1231, "42000")
	// The number of ids is bounded: the oldest is forgotten, and would run again.
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

// TestKnownIDConcurrently checks that one load repeated on many connections at the same
// time runs once.
func TestKnownIDConcurrently(t *testing.T) {
	d := deploy(t, 2, nil)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { d.exec("/* dewhill: id=same */ INSERT INTO trips_1.t VALUES (?)", 1) })
	}
	wg.Wait()
	d.wantRan("/* dewhill: id=same", 1)
}

// TestNotServed checks that what a shared connection can't offer is an error, never
// ignored, and that a hint can't make a write idempotent.
func TestNotServed(t *testing.T) {
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
	d.setBehaviour(func(string, string) string { return "error 1146" })
	_, err = d.db.Exec("SELECT a FROM gone")
	d.wantCode(err, 1146, "HY000")
	if d.ran("BEGIN")+d.ran("DELETE")+d.ran("SET") != 0 {
		t.Error("an engine ran what is not served")
	}
	db, _ := sql.Open("mysql", "app:wrong@tcp("+d.cfg.Listen+")/trips")
	defer func() { _ = db.Close() }()
	d.wantCode(db.Ping(), 1045, "28000")
}

// TestLoadsInOrder checks that loads with one key run one at a time, in their order of
// arrival.
func TestLoadsInOrder(t *testing.T) {
	d := deploy(t, 2, func(c *mysql.Config) {
		c.Rules = []mysql.Rule{{Verbs: []string{"insert"}, Class: "load", Key: "table", WorkMS: 5}}
	})
	var mu sync.Mutex
	running := 0
	maxRunning := 0
	var order []string
	d.setBehaviour(func(step, q string) string {
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
		t.Errorf("%d at once, in the order %q", maxRunning, order)
	}
}

// TestMalformedInput checks that malformed input ends its connection and nothing else.
func TestMalformedInput(t *testing.T) {
	d := deploy(t, 1, nil)
	for _, g := range []string{"GET / HTTP/1.1\r\n\r\n", "\xff\xff\xff\x01", "\x04\x00\x00\x01abcd", "\x00\x00\x00\x01"} {
		c, err := net.Dial("tcp", d.cfg.Listen)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write([]byte(g)); err != nil {
			t.Fatal(err)
		}
		_ = c.SetReadDeadline(time.Now().Add(testprocess.WaitTimeout))
		var buf bytes.Buffer
		if _, err := buf.ReadFrom(c); err != nil && errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%q: the connection stays open", g)
		}
		_ = c.Close()
	}
	if err := d.db.Ping(); err != nil {
		t.Error(err)
	}
}

// TestInvalidFile checks that an invalid file ends the program with one clear line.
func TestInvalidFile(t *testing.T) {
	for text, want := range map[string]string{
		`{"on":true,"listn":"x"}`: "listn",
		`{"on":true,"listen":"127.0.0.1:0","accounts":[{}],"engines":[{"id":"a","address":"nowhere"}]}`: "engine a",
		`{"on":false}`: "nothing to serve",
		`{`:            "unexpected",
	} {
		path := testprocess.WriteTempFile(t, "mysql.json", text)
		p := testprocess.Start(t, []string{"PROXY_CONFIG="}, "-mysql", path)
		if c := p.Wait(); c == 0 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), want) {
			t.Errorf("%s: exit %d, log %q", text, c, p.Log())
		}
	}
}

// TestImportedFile checks that the program serves with the file that the importer writes.
func TestImportedFile(t *testing.T) {
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
		t.Errorf("ran %d times: %v", e.Ran("INSERT"), err)
	}
}
