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

// TestWaitingRepeatsAreAnsweredAtShutdown guards against repeats without an answer: they
// waited for a load at another front end when their own one received SIGTERM, and were not
// answered before the platform killed it.
func TestWaitingRepeatsAreAnsweredAtShutdown(t *testing.T) {
	const (
		runMS   = 12_000
		repeats = 3 // the first waits for the lease, the others for the first
	)
	f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: 3, loads: 1, maxRunMS: 1})
	for _, engine := range f.engines {
		engine.SetBehavior(func(_, sql string) string {
			if strings.Contains(sql, "slow") {
				return fmt.Sprintf("wait %d", runMS)
			}
			return ""
		})
	}
	const load = "INSERT /* dewhill: id=slow */ INTO trips_1.slow VALUES (1)"
	holder := mysql.NewRawClient(t, f.addrs[0], "app", "secret")
	if err := holder.Send(load); err != nil {
		t.Fatal(err)
	}
	testprocess.Until(t, "the load to be held", func() bool {
		state, ok := leaseState(f.Fronts[1])
		return ok && state.Claimed == 1
	})
	var waiting sync.WaitGroup
	for n := range repeats {
		client := mysql.NewRawClient(t, f.addrs[1], "app", "secret")
		waiting.Go(func() {
			err := client.Send(load)
			if err == nil {
				err = client.ReadResponse()
			}
			if err == nil || !strings.Contains(err.Error(), "may have run") {
				t.Errorf("repeat %d: %v, want the error that the load may have run", n, err)
			}
		})
	}
	time.Sleep(500 * time.Millisecond) // until they wait
	f.Terminate(f.Fronts[1], killAfterTerm)
	waiting.Wait()
	if err := holder.ReadResponse(); err != nil {
		t.Errorf("the load: %v, want its OK", err)
	}
}
