package mysql_test

import (
	"database/sql"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"

	driver "github.com/go-sql-driver/mysql"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// Codes of engines' errors.
const (
	engineNoSuchTable   = 1146
	engineDeadlock      = 1213
	engineLockTimeout   = 1205
	engineDuplicate     = 1062
	engineInterrupted   = 1317
	engineUnknownError  = 1105
	engineTimeLimit     = 3024
	engineCommitFailed  = 1180
	engineUnknownCode   = 4711
	codeRowsNotRetained = 1329
	codeUnknownLoad     = 1233
)

// failedRun is a load's first run, which its engine answers with an error.
type failedRun struct {
	code     uint16
	action   string // of the engine: "error", "run-error" or "rows-error"
	prepared bool
	call     bool // the statement is a CALL, which may run several statements
}

func (r failedRun) String() string {
	return fmt.Sprintf("%s %d, prepared %v, call %v", r.action, r.code, r.prepared, r.call)
}

// provesNoEffect reports whether the error proves that the load changed nothing.
func (r failedRun) provesNoEffect() bool {
	if r.action != "error" || r.call {
		return false
	}
	switch r.code {
	case engineNoSuchTable, engineDeadlock, engineLockTimeout, codeTooManyConnections, codeRejected:
		return true
	default:
		return false
	}
}

// failedRuns returns all combinations of codes, positions of the error and protocols.
func failedRuns() (runs []failedRun) {
	for _, code := range []uint16{engineNoSuchTable, engineDeadlock, engineLockTimeout, engineDuplicate,
		codeServerShutdown, engineInterrupted, engineUnknownError, engineTimeLimit, engineCommitFailed,
		codeTooManyConnections, codeRejected, engineUnknownCode} {
		for _, prepared := range []bool{false, true} {
			runs = append(runs,
				failedRun{code, "error", prepared, false},
				failedRun{code, "rows-error", prepared, false},
				failedRun{code, "error", prepared, true})
		}
	}
	for _, code := range []uint16{engineDuplicate, engineInterrupted, codeServerShutdown, engineUnknownCode} {
		runs = append(runs, failedRun{code, "run-error", false, false}, failedRun{code, "run-error", true, false})
	}
	return runs
}

// failFirstRun returns a behavior of engines in which the first run of each load fails as
// failures says, by the load's id.
func failFirstRun(failures map[string]failedRun) func(step, sql string) string {
	var mu sync.Mutex
	done := map[string]bool{}
	return func(step, sql string) string {
		_, rest, _ := strings.Cut(sql, "id=")
		id, _, _ := strings.Cut(rest, " ")
		mu.Lock()
		defer mu.Unlock()
		failure, found := failures[id]
		if !found || done[id] || step == "prepare" {
			return ""
		}
		done[id] = true
		return fmt.Sprintf("%s %d", failure.action, failure.code)
	}
}

// execLoad sends a load with an id.
func execLoad(db *sql.DB, id string, run failedRun) error {
	verb := "INSERT INTO trips_1.t VALUES"
	if run.call {
		verb = "CALL trips_1.fill"
	}
	statement := fmt.Sprintf("%s /* dewhill: id=%s */ (1)", verb, id)
	if !run.prepared {
		_, err := db.Exec(statement)
		return err
	}
	prepared, err := db.Prepare(statement)
	if err != nil {
		return err
	}
	defer func() { _ = prepared.Close() }()
	_, err = prepared.Exec()
	return err
}

// maxLoadsInFlight keeps the loads of a test below the number at which front ends reject
// loads.
const maxLoadsInFlight = 4

// forEachRun calls f for each run, a few at a time.
func forEachRun(runs []failedRun, f func(i int, run failedRun)) {
	var all sync.WaitGroup
	slots := make(chan struct{}, maxLoadsInFlight)
	for i, run := range runs {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			f(i, run)
		})
	}
	all.Wait()
}

// checkRepeats checks that repeats of loads whose first run failed are told the truth, and
// that no load runs twice. The first run goes through first, the repeats through others.
func checkRepeats(t *testing.T, engines []*mysql.FakeEngine, first *sql.DB, others ...*sql.DB) {
	t.Helper()
	runs := failedRuns()
	failures := map[string]failedRun{}
	id := func(i int) string { return fmt.Sprintf("load-%d-%d", i, rand.Uint32()) }
	ids := make([]string, len(runs))
	for i, run := range runs {
		ids[i] = id(i)
		failures[ids[i]] = run
	}
	behavior := failFirstRun(failures)
	for _, e := range engines {
		e.SetBehavior(behavior)
	}
	forEachRun(runs, func(i int, run failedRun) {
		checkFirstAnswer(t, run, execLoad(first, ids[i], run))
		for _, db := range others {
			checkRepeat(t, run, execLoad(db, ids[i], run))
		}
		want := 0
		if run.provesNoEffect() || run.action == "run-error" {
			want = 1
		}
		if ran := runsOf(engines, ids[i]); ran != want {
			t.Errorf("%v: ran %d times, want %d", run, ran, want)
		}
	})
}

// runsOf returns how often engines ran the load with an id.
func runsOf(engines []*mysql.FakeEngine, id string) (runs int) {
	for _, e := range engines {
		for sql, n := range e.RunCounts() {
			if strings.Contains(sql, "id="+id+" ") {
				runs += n
			}
		}
	}
	return runs
}

// checkFirstAnswer checks that the first run is answered with the engine's error, or that
// it may have run if the error would say that it did not.
func checkFirstAnswer(t *testing.T, run failedRun, err error) {
	t.Helper()
	number, _ := mysqlError(err)
	want := run.code
	saysNothingRan := run.code == engineUnknownError || run.code == engineTimeLimit ||
		run.code == codeTooManyConnections || run.code == codeRejected
	if saysNothingRan && !run.provesNoEffect() {
		want = codeMayHaveRun
	}
	if number != want {
		t.Errorf("%v: the first run is answered with %v, want error %d", run, err, want)
	}
}

func checkRepeat(t *testing.T, run failedRun, err error) {
	t.Helper()
	if run.provesNoEffect() {
		if err != nil {
			t.Errorf("%v: the repeat is answered with %v, want the success of its own run", run, err)
		}
		return
	}
	if number, _ := mysqlError(err); number != codeMayHaveRun {
		t.Errorf("%v: the repeat is answered with %v, want that it may have run", run, err)
	}
}

// TestRepeatAfterEngineError checks that a load that its engine answered with an error is
// never reported as successful to a repeat, and runs again only if the error proves that it
// had no effect.
func TestRepeatAfterEngineError(t *testing.T) {
	d := deploy(t, 2, nil)
	checkRepeats(t, d.engines, d.db, d.db, d.db)
}

// TestRepeatThroughAnotherFrontEnd checks the same with leases, for repeats through other
// front ends, after a restart of the one that ran the load too.
func TestRepeatThroughAnotherFrontEnd(t *testing.T) {
	f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: 3, maxRunMS: 1})
	t.Run("all running", func(t *testing.T) {
		checkRepeats(t, f.engines, f.databases[0], f.databases[1], f.databases[2], f.databases[0])
	})
	t.Run("restarted", func(t *testing.T) {
		runs := failedRuns()
		failures := map[string]failedRun{}
		for i, run := range runs {
			failures[fmt.Sprint("restart-", i)] = run
		}
		behavior := failFirstRun(failures)
		for _, e := range f.engines {
			e.SetBehavior(behavior)
		}
		forEachRun(runs, func(i int, run failedRun) {
			checkFirstAnswer(t, run, execLoad(f.databases[0], fmt.Sprint("restart-", i), run))
		})
		f.databases[0].SetMaxIdleConns(0) // the connections end with the process
		f.Signal(f.Fronts[0], syscall.SIGKILL)
		f.StartProcess(f.Fronts[0])
		testprocess.Until(t, "all front ends to vote", f.allVote)
		forEachRun(runs, func(i int, run failedRun) { checkAfterRestart(t, f, fmt.Sprint("restart-", i), run) })
	})
}

// checkAfterRestart checks that a load whose front end was killed after its error is
// reported as successful only if it ran then, and does not run twice.
func checkAfterRestart(t *testing.T, f *loadFleet, id string, run failedRun) {
	t.Helper()
	err := execLoad(f.databases[0], id, run)
	number, _ := mysqlError(err)
	// A front end that has just started waits for an unknown owner for longer than the
	// client's read timeout.
	for errors.Is(err, driver.ErrInvalidConn) {
		err = execLoad(f.databases[0], id, run)
		number, _ = mysqlError(err)
	}
	ran := runsOf(f.engines, id)
	succeeded := err == nil
	switch {
	case ran > 1 || run.action == "run-error" && succeeded:
		t.Errorf("%v: ran %d times, and the repeat is answered with %v", run, ran, err)
	case succeeded && (ran != 1 || !run.provesNoEffect()), !succeeded && number != codeMayHaveRun:
		t.Errorf("%v: the repeat is answered with %v and ran %d times", run, err, ran)
	}
}

// TestRepeatOfLoadWithRows checks that a repeat of a load that succeeded with rows gets the
// same rows or the error that they are not kept, but no other result.
func TestRepeatOfLoadWithRows(t *testing.T) {
	f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: 2, maxRunMS: 1})
	for _, e := range f.engines {
		e.SetBehavior(func(step, _ string) string {
			if step == "prepare" {
				return ""
			}
			return "rows"
		})
	}
	const statement = "INSERT INTO trips_1.t VALUES /* dewhill: id=rows */ (1) RETURNING a"
	if n, err := queryRows(f.databases[0], statement, false); n != 2 || err != nil {
		t.Fatalf("%d rows, %v, want 2 rows", n, err)
	}
	if n, err := queryRows(f.databases[0], statement, false); n != 2 || err != nil {
		t.Errorf("repeat through the same front end: %d rows, %v, want 2 rows", n, err)
	}
	for name, repeat := range map[string]func() (int, error){
		"prepared, the same front end": func() (int, error) { return queryRows(f.databases[0], statement, true) },
		"text, another front end":      func() (int, error) { return queryRows(f.databases[1], statement, false) },
		"prepared, another front end":  func() (int, error) { return queryRows(f.databases[1], statement, true) },
	} {
		n, err := repeat()
		if number, state := mysqlError(err); number != codeRowsNotRetained || state != "02000" {
			t.Errorf("%s: %d rows, %v, want error %d", name, n, err, codeRowsNotRetained)
		}
	}
	if ran := f.engines[0].Ran("INSERT") + f.engines[1].Ran("INSERT") + f.engines[2].Ran("INSERT"); ran != 1 {
		t.Errorf("ran %d times, want 1", ran)
	}
}

// queryRows returns the number of rows of a statement's result.
func queryRows(db *sql.DB, statement string, prepared bool) (n int, err error) {
	query := func() (*sql.Rows, error) { return db.Query(statement) }
	if prepared {
		s, err := db.Prepare(statement)
		if err != nil {
			return 0, err
		}
		defer func() { _ = s.Close() }()
		query = func() (*sql.Rows, error) { return s.Query() }
	}
	rows, err := query()
	if err != nil {
		return 0, err
	}
	for rows.Next() {
		n++
	}
	return n, errors.Join(rows.Err(), rows.Close())
}

// TestCallIsNotSentAgain guards against a second run of a prepared CALL that its engine
// answers with 1243 or 1615: a statement of the procedure may have failed so after others
// have run.
func TestCallIsNotSentAgain(t *testing.T) {
	d := deploy(t, 2, nil)
	for _, code := range []int{1243, 1615} {
		statement := fmt.Sprintf("CALL trips_1.fill_%d(?)", code)
		d.setBehavior(failOnce("execute", statement, fmt.Sprintf("run-error %d", code)))
		_, err := d.db.Exec(statement, 1)
		d.wantCode(err, uint16(code), "HY000")
		d.wantRan(statement, 1)
	}
}

// TestRetryOfUnknownLoad guards against a second run of a load that its client marks as a
// retry, through a front end without leases that does not know its id.
func TestRetryOfUnknownLoad(t *testing.T) {
	const knownIDs = 3
	d := deploy(t, 1, func(c *mysql.Config) { c.Limits.KnownIDs = knownIDs })
	send := func(id, hints string) error {
		_, err := d.db.Exec(fmt.Sprintf("INSERT INTO trips_1.t VALUES /* dewhill: id=%s%s */ (1)", id, hints))
		return err
	}
	ran := func(id string) int { return runsOf(d.engines, id) }
	d.wantCode(send("unknown", " retry=yes"), codeUnknownLoad, "08007")
	if ran("unknown") != 0 {
		t.Error("a retry of an unknown load ran")
	}
	if err := errors.Join(send("known", ""), send("known", " retry=yes")); err != nil || ran("known") != 1 {
		t.Errorf("a load and its retry ran %d times, %v, want once", ran("known"), err)
	}
	d.setBehavior(failOnce("query", "INSERT", fmt.Sprintf("error %d", engineNoSuchTable)))
	d.wantCode(send("refused", ""), engineNoSuchTable, "HY000")
	if err := send("refused", " retry=yes"); err != nil || ran("refused") != 1 {
		t.Errorf("a load that was refused and its retry ran %d times, %v, want once", ran("refused"), err)
	}
	for i := range knownIDs {
		if err := send(fmt.Sprint("later-", i), ""); err != nil {
			t.Error(err)
		}
	}
	for _, id := range []string{"known", "refused"} {
		d.wantCode(send(id, " retry=yes"), codeUnknownLoad, "08007")
		if ran(id) != 1 {
			t.Errorf("load %s ran %d times, want once", id, ran(id))
		}
	}
}
