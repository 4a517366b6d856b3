package mysql_test

import (
	"database/sql"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	driver "github.com/go-sql-driver/mysql"

	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// deployment is the program with its MySQL front end, and fake engines.
type deployment struct {
	t       *testing.T
	prog    *testprocess.Process
	path    string
	cfg     mysql.Config
	engines []*mysql.FakeEngine
	db      *sql.DB
}

// decisionSettings are settings with one class for reads and one for loads.
const decisionSettings = `{"categories":[
	{"name":"lookup","aimMs":1000,"hardLimitMs":20000,"value":1,"effect":"pure"},
	{"name":"load","aimMs":3000,"hardLimitMs":20000,"value":6,"effect":"side_effect","sequential":true}],
	"hostTypes":["std-8"],"localities":["here"],"discovery":"push","replicasOfMe":1,"tickMs":5,
	"domain":{"coresByKind":[8],"memoryByKindMb":[16384],"dop":[1,2],"classLoad":[false,false],"blockedByLoads":[false,false]},
	"contract":{"graceToAnswerMs":20,"stopSendingWithinMs":500},
	"limits":{"cancel":true,"retryAfter":true,"maxRetryAfterMs":500,"tryLimit":5,"connectTimeoutMs":5000}}`

// newConfig starts the given number of fake engines and returns a configuration that
// lists them.
func newConfig(t *testing.T, engines int) (cfg mysql.Config, list []*mysql.FakeEngine) {
	t.Helper()
	cfg = mysql.Config{Enabled: true, Listen: testprocess.FreeAddr(t), ReadClass: "lookup", LoadClass: "load",
		Accounts: []mysql.Account{{User: "app", Password: "secret"}}}
	if err := json.Unmarshal([]byte(decisionSettings), &cfg.Settings); err != nil {
		t.Fatal(err)
	}
	for i := range engines {
		e := mysql.NewFakeEngine(t, fmt.Sprintf("e%d", i), "inner")
		list = append(list, e)
		cfg.Engines = append(cfg.Engines, mysql.Engine{ID: e.ID, Address: e.Addr, Kind: "std-8", User: "gate", Password: "inner"})
	}
	return cfg, list
}

// deploy starts fake engines and the program. If change is not nil, it modifies the
// configuration first.
func deploy(t *testing.T, engines int, change func(*mysql.Config)) *deployment {
	t.Helper()
	d := &deployment{t: t}
	d.cfg, d.engines = newConfig(t, engines)
	if change != nil {
		change(&d.cfg)
	}
	d.path = writeConfig(t, &d.cfg)
	d.prog = testprocess.Start(t, []string{"PROXY_CONFIG="}, "-mysql", d.path)
	d.db = openDatabase(t, "app:secret@tcp("+d.cfg.Listen+")/trips")
	return d
}

// rewriteConfig writes the current configuration to the configuration file.
func (d *deployment) rewriteConfig() {
	d.t.Helper()
	writeConfigTo(d.t, d.path, &d.cfg)
}

// writeConfig writes a configuration to a new file and returns its path.
func writeConfig(t *testing.T, cfg *mysql.Config) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "mysql.json")
	writeConfigTo(t, path, cfg)
	return path
}

func writeConfigTo(t *testing.T, path string, cfg *mysql.Config) {
	t.Helper()
	data, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// silenceDriver turns off the log of the driver, which all tests share.
var silenceDriver = sync.OnceValue(func() error { return driver.SetLogger(&driver.NopLogger{}) })

// openDatabase opens a database through a front end and waits until a login succeeds.
func openDatabase(t *testing.T, dsn string) *sql.DB {
	t.Helper()
	if err := silenceDriver(); err != nil {
		t.Fatal(err)
	}
	db, err := sql.Open("mysql", dsn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = db.Close() })
	testprocess.Until(t, "a login", func() bool { return db.Ping() == nil })
	return db
}

// ran returns how often the engines ran statements with a prefix.
func (d *deployment) ran(prefix string) (n int) {
	for _, e := range d.engines {
		n += e.Ran(prefix)
	}
	return n
}

// setBehavior sets the behavior of all engines.
func (d *deployment) setBehavior(on func(step, sql string) string) {
	for _, e := range d.engines {
		e.SetBehavior(on)
	}
}

// failOnce returns a behavior of engines in which the given step fails the first time
// it is reached by a statement with the prefix sql. act says how the step fails.
func failOnce(step, sql, act string) func(string, string) string {
	var mu sync.Mutex
	done := false
	return func(s, q string) string {
		mu.Lock()
		defer mu.Unlock()
		if done || s != step || !strings.HasPrefix(q, sql) {
			return ""
		}
		done = true
		return act
	}
}

// mysqlError returns the number and SQLSTATE of a MySQL error, and 0 for other errors.
func mysqlError(err error) (uint16, string) {
	var e *driver.MySQLError
	if errors.As(err, &e) {
		return e.Number, string(e.SQLState[:])
	}
	return 0, ""
}

// exec runs a statement and reports a test error if the statement fails.
func (d *deployment) exec(statement string, args ...any) {
	d.t.Helper()
	if _, err := d.db.Exec(statement, args...); err != nil {
		d.t.Errorf("%s: %v", statement, err)
	}
}

func (d *deployment) wantCode(err error, number uint16, state string) {
	d.t.Helper()
	if n, s := mysqlError(err); n != number || s != state {
		d.t.Errorf("error %v, want %d (%s)", err, number, state)
	}
}

func (d *deployment) wantRan(prefix string, n int) {
	d.t.Helper()
	if got := d.ran(prefix); got != n {
		d.t.Errorf("%q ran %d times, want %d", prefix, got, n)
	}
}
