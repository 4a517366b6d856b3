package mysql_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhill/internal/mysql"
)

// TestStatementsRunInTheDatabaseOfTheirClient guards against rows of another client's
// database: a statement of a client without a database ran in the one that the shared session
// had been left with. Clients with a database, with another, with one that does not exist and
// without any send statements, as text and prepared, while the engine closes connections.
func TestStatementsRunInTheDatabaseOfTheirClient(t *testing.T) {
	const closeEvery = 150 * time.Millisecond
	for _, perEngine := range []int{1, 4} {
		t.Run(fmt.Sprintf("%d sessions", perEngine), func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, func(c *mysql.Config) { c.Limits.ConnectionsPerEngine = perEngine })
			engine := d.engines[0]
			stop := make(chan struct{})
			var closing, clients sync.WaitGroup
			closing.Go(func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(closeEvery):
						engine.CloseAll()
					}
				}
			})
			for n, database := range []string{"", "", "stock", "audit", "missing"} {
				client := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
				if err := client.SelectDatabase(database); err != nil {
					t.Fatal(err)
				}
				clients.Go(func() { sendWithDatabase(t, client, n, database) })
			}
			clients.Wait()
			close(stop)
			closing.Wait()
			checkDatabases(t, engine)
		})
	}
}

const (
	databaseStatements = 60 // of each client
	databaseLabel      = "database of the client: "
)

// sendWithDatabase sends statements that name the client's database in a string.
func sendWithDatabase(t *testing.T, client *mysql.RawClient, n int, database string) {
	rng := rand.New(rand.NewPCG(*fleetSeed, uint64(n)))
	for k := range databaseStatements {
		sql := fmt.Sprintf("SELECT %d, %d, '%s%s' FROM t", n, k%10, databaseLabel, database)
		send := client.Send
		if rng.IntN(2) == 0 {
			send = client.SendPrepared
		}
		err := send(sql)
		if err == nil {
			_, err = client.ReadAnswer()
		}
		if err != nil {
			t.Error(err)
			return
		}
		time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
	}
}

func checkDatabases(t *testing.T, engine *mysql.FakeEngine) {
	t.Helper()
	ran := engine.Databases()
	if len(ran) < databaseStatements/2 {
		t.Fatalf("%d statements ran, want %d at least", len(ran), databaseStatements/2)
	}
	for sql, database := range ran {
		if want := fmt.Sprintf("'%s%s'", databaseLabel, database); !strings.Contains(sql, want) {
			t.Errorf("%s ran in the database %q", sql, database)
		}
	}
}

// TestUnknownDatabaseIsTheClientsError guards against a client that is told to try again, for
// ever, because the database that it has selected does not exist: the database was a part of the
// login of a new session, so the engine counted as one that can't be reached.
func TestUnknownDatabaseIsTheClientsError(t *testing.T) {
	const (
		statements      = 30
		unknownDatabase = 1049
	)
	for _, prepared := range []bool{false, true} {
		t.Run(fmt.Sprintf("prepared %v", prepared), func(t *testing.T) {
			d := deploy(t, 1, func(c *mysql.Config) { c.Limits.ConnectionsPerEngine = 2 })
			wrong := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
			other := mysql.NewRawClient(t, d.cfg.Listen, "app", "secret")
			if err := wrong.SelectDatabase("missing"); err != nil {
				t.Fatal(err)
			}
			for n := range statements {
				d.engines[0].CloseAll() // each statement gets a new session
				send := wrong.Send
				if prepared {
					send = wrong.SendPrepared
				}
				if err := send("SELECT 1 FROM t"); err != nil {
					t.Fatal(err)
				}
				answer, err := wrong.ReadAnswer()
				if err != nil || answer.Code != unknownDatabase {
					t.Errorf("statement %d in a database that does not exist: %+v, error %v; want 1049", n, answer, err)
				}
				if err := other.Send("SELECT 1 FROM trips_1.t"); err != nil {
					t.Fatal(err)
				}
				if answer, err := other.ReadAnswer(); err != nil || answer.Code != 0 {
					t.Errorf("statement %d of the other client: %+v, error %v; want its rows", n, answer, err)
				}
			}
		})
	}
}
