package main

import (
	"fmt"
	"strings"
	"time"

	"dewhill-review-2/my"
	"dewhill-review-2/rig"
)

// playDatabase: two clients, one of an account without a database, one of an account whose
// database is stock. The engine closes an idle connection. Then the first client sends a
// statement that names a table without a database.
func playDatabase(r *rig.Rig) string {
	engine := &my.Engine{ID: "engine-1", Logf: r.Logf}
	engine.Rows = func(sql string) [][]string {
		if strings.HasPrefix(sql, "SELECT") {
			return [][]string{{"4711"}}
		}
		return nil
	}
	r.Check(engine.Start("127.0.0.1:0"))
	listen := r.FreeTCP()
	config := r.MySQLConfig(listen, map[string]string{"engine-1": engine.Addr()})
	accounts, _ := config["accounts"].([]any)
	config["accounts"] = append(accounts, map[string]any{"user": "auditor", "password": "secret"})
	r.StartFront("mysql", "", "-mysql", r.WriteJSON("mysql.json", config))
	r.Until("the front end to listen", 10*time.Second, func() bool { return rig.Accepts(listen) })

	auditor, err := my.Dial(listen, "auditor", "secret", "", 3*time.Second)
	r.Check(err)
	uploader, err := my.Dial(listen, "uploader", "secret", "", 3*time.Second)
	r.Check(err)
	audit := make(chan error, 1)
	go func() {
		_, err := auditor.Query("SELECT count(*) FROM audit.log /* ms=400 */", 5*time.Second)
		audit <- err
	}()
	r.Until("the auditor's statement to begin", 5*time.Second, func() bool { return len(engine.Runs("audit.log")) == 1 })
	_, err = uploader.Query("INSERT INTO trips VALUES (1)", 5*time.Second)
	r.Check(err)
	r.Check(<-audit)
	time.Sleep(500 * time.Millisecond)
	if r.Trouble {
		id := engine.Runs("audit.log")[0].ConnectionID
		r.Logf("engine-1 closes connection %d, which is idle", id)
		engine.CloseConnection(id)
		time.Sleep(100 * time.Millisecond)
	}
	const statement = "SELECT count(*) FROM trips"
	r.Logf("auditor: no database; sends %q", statement)
	rows, err := auditor.Query(statement, 5*time.Second)
	r.Logf("auditor: answer %v, %v", rows, err)
	for _, run := range engine.Runs(statement) {
		if run.Database != "" {
			return fmt.Sprintf("the auditor, who selected no database, got %v from database %q of the uploader", rows, run.Database)
		}
	}
	if my.CodeOf(err) != 1046 {
		r.Fail("the auditor's answer is %v", err)
	}
	return ""
}
