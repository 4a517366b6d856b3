package mysql_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"dewhill/internal/mysql"
)

// maxOpen is the limit of open requests of the front ends in these tests.
const maxOpen = 2

// limitedDeployment is a front end whose limit of open requests can be reached.
type limitedDeployment struct {
	*deployment
	release chan struct{} // lets a read end
}

// deployWithLimit starts a front end with a limit of the ids that it remembers.
func deployWithLimit(t *testing.T, knownIDs int) *limitedDeployment {
	t.Helper()
	d := deploy(t, 1, func(c *mysql.Config) {
		c.Limits.MaxOpenRequests = maxOpen
		c.Limits.KnownIDs = knownIDs
	})
	limited := &limitedDeployment{deployment: d, release: make(chan struct{})}
	d.setBehavior(func(_, sql string) string {
		if strings.Contains(sql, "slow") {
			<-limited.release
		}
		return ""
	})
	return limited
}

// atLimit calls f while reads take all places for open requests.
func (d *limitedDeployment) atLimit(f func()) {
	d.t.Helper()
	var reads sync.WaitGroup
	for range maxOpen {
		reads.Go(func() {
			if _, err := d.db.Exec("SELECT slow FROM trips_1.t"); err != nil {
				d.t.Error(err)
			}
		})
	}
	d.waitForCounter(fmt.Sprintf(`"open":%d`, maxOpen))
	f()
	for range maxOpen {
		d.release <- struct{}{}
	}
	reads.Wait()
}

// load sends a load with an id, marked as a retry or not, as text or prepared.
func (d *limitedDeployment) load(id string, isRetry, isPrepared bool) error {
	mark := ""
	if isRetry {
		mark = " retry=yes"
	}
	statement := fmt.Sprintf("INSERT INTO trips_1.t /* dewhill: id=%s%s */ VALUES ", id, mark)
	if isPrepared {
		_, err := d.db.Exec(statement+"(?)", 1)
		return err
	}
	_, err := d.db.Exec(statement + "(1)")
	return err
}

// ranWithID returns how often loads with an id ran.
func (d *limitedDeployment) ranWithID(id string) int {
	runs := 0
	for sql, n := range d.engines[0].RunCounts() {
		if strings.Contains(sql, "id="+id+" ") {
			runs += n
		}
	}
	return runs
}

// wantLoad sends a load and checks the error code of its answer, or 0 for success.
func (d *limitedDeployment) wantLoad(want uint16, id string, isRetry, isPrepared bool) {
	d.t.Helper()
	err := d.load(id, isRetry, isPrepared)
	if code, _ := mysqlError(err); code != want || err != nil && code == 0 {
		d.t.Errorf("load %s, marked as a retry: %v: %v, want code %d", id, isRetry, err, want)
	}
}

// TestRefusalProvesNothingOfEarlierAttempts guards against a second run of a load that a front
// end does not remember: a marked repeat that was refused at the limit of open requests ran
// when it was sent again, as if its refusal proved that no earlier attempt had run.
func TestRefusalProvesNothingOfEarlierAttempts(t *testing.T) {
	for _, isPrepared := range []bool{false, true} {
		t.Run(fmt.Sprintf("prepared %v", isPrepared), func(t *testing.T) {
			const knownIDs = 2
			d := deployWithLimit(t, knownIDs)
			for _, id := range []string{"evicted", "known", "last"} {
				d.wantLoad(0, id, false, isPrepared)
			}
			d.atLimit(func() {
				d.wantLoad(codeUnknownLoad, "evicted", true, isPrepared)
				d.wantLoad(codeUnknownLoad, "before", true, isPrepared) // ran before a restart, or not
			})
			for range 2 {
				d.wantLoad(codeUnknownLoad, "evicted", true, isPrepared)
				d.wantLoad(codeUnknownLoad, "before", true, isPrepared)
			}
			if evicted, before := d.ranWithID("evicted"), d.ranWithID("before"); evicted != 1 || before != 0 {
				t.Errorf("the evicted load ran %d times, want 1; the unknown load %d times, want 0", evicted, before)
			}
		})
	}
}

// TestKnownLoadIsNotRefused guards against the answer that nothing ran to a repeat of a load
// that ran, because the front end was at its limit of open requests.
func TestKnownLoadIsNotRefused(t *testing.T) {
	d := deployWithLimit(t, 16)
	d.wantLoad(0, "known", false, false)
	d.atLimit(func() {
		d.wantLoad(0, "known", false, false)
		d.wantLoad(0, "known", true, false)
	})
	if ran := d.ranWithID("known"); ran != 1 {
		t.Errorf("the load ran %d times, want 1", ran)
	}
}

// TestRefusedFirstAttemptMayBeRepeated checks that a load whose first attempt was refused at the
// limit of open requests runs once when it is repeated, marked as a retry.
func TestRefusedFirstAttemptMayBeRepeated(t *testing.T) {
	d := deployWithLimit(t, 16)
	d.atLimit(func() {
		d.wantLoad(codeRejected, "refused", false, false)
		d.wantLoad(codeRejected, "refused", true, false)
	})
	d.wantLoad(0, "refused", true, false)
	d.wantLoad(0, "refused", true, false)
	if ran := d.ranWithID("refused"); ran != 1 {
		t.Errorf("the load ran %d times, want 1", ran)
	}
}
