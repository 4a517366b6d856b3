package deploy_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"testing"

	"dewhill/internal/cluster"
	"dewhill/internal/subset"
)

// TestCompatBalancer checks the value of each key of deploy/balancer.toml, which the
// platform reads. The values are those before the renaming of packages and files, except
// that the decisions are spread over more files and internal/timerheap is a package of its
// own.
func TestCompatBalancer(t *testing.T) {
	want := balancer{
		Build: "mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...",
		Run:   "exec bin/dewhill",
		Sim:   "exec bin/adapter",
		Policy: []string{
			"control/action.go", "control/affinity.go", "control/attempt.go", "control/class.go", "control/doc.go",
			"control/endpoints.go", "control/engine.go", "control/estimate.go", "control/event.go",
			"control/gateway.go", "control/gossip.go", "control/health.go", "control/loadreport.go",
			"control/logentry.go", "control/queue.go", "control/reason.go", "control/request.go",
			"control/retry.go", "control/routing.go", "control/settings.go", "control/shedding.go",
			"control/slowstart.go", "control/supervision.go", "control/threadlimit.go",
		},
		Node: []string{"cmd/dewhill", "internal/dispatch", "internal/httpfront", "internal/engineclient", "internal/discovery", "internal/peer",
			"internal/adminapi", "internal/server", "internal/lineproto", "internal/sqlscan", "internal/subset", "internal/demand",
			"internal/membership", "internal/cluster", "internal/store", "internal/replication", "internal/lease", "internal/antientropy",
			"internal/pbuf", "internal/timerheap"},
		Packages: []string{},
	}
	if b := load(t); !reflect.DeepEqual(b, want) {
		t.Errorf("deploy/balancer.toml: %+v, want %+v", b, want)
	}
}

// shipped returns the text of a file in the deploy folder.
func shipped(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root(t), "deploy", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// setting matches a line of a shipped file that sets a key, or that shows the setting as a
// comment.
var setting = regexp.MustCompile(`(?m)^(?:# )?([a-z_]+ = [^#\n]*?) *(?:#.*)?$`)

// uncommented returns a shipped file with all commented-out settings turned on.
func uncommented(text []byte) []byte { return setting.ReplaceAll(text, []byte("$1")) }

// TestCompatFleet checks that deploy/fleet.toml is read as shipped, and after an operator
// has turned on the setting that it shows.
func TestCompatFleet(t *testing.T) {
	text := shipped(t, "fleet.toml")
	o, err := subset.ParseOptions("fleet.toml", text)
	if err != nil || o.Size != subset.AutoSize {
		t.Errorf("as shipped: %+v, error %v", o, err)
	}
	o, err = subset.ParseOptions("fleet.toml", uncommented(text))
	if err != nil || o.Size != 6 {
		t.Errorf("uncommented: %+v, error %v", o, err)
	}
}

// TestCompatGroup checks that deploy/group.toml is read as shipped, and after an operator
// has turned on the settings that it shows. The file shows every key that is read, with
// its default where it has one.
func TestCompatGroup(t *testing.T) {
	text := shipped(t, "group.toml")
	want := cluster.Options{
		MaxDatagramBytes:    256,
		ProbeIntervalMS:     1000,
		ProbeTimeoutMS:      250,
		SuspicionMinMS:      2500,
		SuspicionMaxMS:      4000,
		ReconnectIntervalMS: 3000,
		ForgetAfterMS:       600000,
		DatagramsPerSecond:  3,
		Replication:         cluster.ReplicationOptions{WriteQuorum: "majority", ResendMS: 200, WriteTimeoutMS: 2000, CompareIntervalMS: 4000, CatchUpTimeoutMS: 5000, BytesPerSecond: 8192},
	}
	if o, err := cluster.ParseOptions("group.toml", text); err != nil || !reflect.DeepEqual(o, want) {
		t.Errorf("as shipped: %+v, error %v", o, err)
	}
	o, err := cluster.ParseOptions("group.toml", uncommented(text))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(o.Seeds, []string{"10.0.0.4:7946"}) {
		t.Errorf("seeds %q, want 10.0.0.4:7946 alone", o.Seeds)
	}
	shown := regexp.MustCompile(`(?m)^[a-z_]+ = `).FindAll(uncommented(text), -1)
	if len(shown) != 19 {
		t.Errorf("the file shows %d keys, want 19: %q", len(shown), shown)
	}
}
