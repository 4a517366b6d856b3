package mysql_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhill/internal/mysql"
)

// TestLostDatagramsKeepTheOrderOfAKey guards against loads of one key that run in another
// order than they were sent, because a datagram of the earlier one's lease was lost.
func TestLostDatagramsKeepTheOrderOfAKey(t *testing.T) {
	const (
		rounds  = 6
		loads   = 4 // in each round, of which the odd ones have no id
		apartMS = 100
		lostMS  = 60
	)
	for _, size := range []int{2, 3} {
		t.Run(fmt.Sprintf("%d front ends", size), func(t *testing.T) {
			t.Parallel()
			f := startLoadFleet(t, loadFleetOptions{seed: *fleetSeed, size: size, loads: 1, maxRunMS: 1})
			var mu sync.Mutex
			var ran []string
			for _, engine := range f.engines {
				engine.SetBehavior(func(_, sql string) string {
					mu.Lock()
					defer mu.Unlock()
					ran = append(ran, sql)
					return ""
				})
			}
			var clients []*mysql.RawClient
			for range loads {
				clients = append(clients, mysql.NewRawClient(t, f.addrs[0], "app", "secret"))
			}
			for round := range rounds {
				var want []string
				f.Partition(0)
				for n, client := range clients {
					hint := fmt.Sprintf("key=k%d id=r%d-%d", round, round, n)
					if n%2 == 1 {
						hint = fmt.Sprintf("key=k%d", round)
					}
					sql := fmt.Sprintf("INSERT /* dewhill: %s */ INTO trips_1.t VALUES (%d)", hint, n)
					want = append(want, sql)
					if err := client.Send(sql); err != nil {
						t.Fatal(err)
					}
					time.Sleep(lostMS * time.Millisecond)
					f.Heal()
					time.Sleep((apartMS - lostMS) * time.Millisecond)
				}
				for n, client := range clients {
					if err := client.ReadResponse(); err != nil {
						t.Errorf("round %d, load %d: %v, want its OK", round, n, err)
					}
				}
				mu.Lock()
				if got := strings.Join(ran, "\n"); got != strings.Join(want, "\n") {
					t.Errorf("round %d: the loads ran in this order:\n%s", round, got)
				}
				ran = nil
				mu.Unlock()
			}
		})
	}
}
