package server

import (
	"bytes"
	"encoding/json"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dewhill/internal/dispatch"
	"dewhill/internal/goldentest"
)

// Operators and their tools read the counters that the program prints on SIGUSR1 and when
// it ends, and that GET /-/counters returns.
func TestCompatReport(t *testing.T) {
	f := newFrontEndWithDistinctCounters(t)
	text := f.loop.CountersJSON()
	checkKeyPaths(t, "report-paths.txt", text)
	var all map[string]any
	if err := json.Unmarshal(text, &all); err != nil {
		t.Fatal(err)
	}
	// These depend on the host, or are tested in internal/cluster.
	for _, name := range []string{"heap_mb", "goroutines", "group"} {
		delete(all, name)
	}
	text, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	checkValues(t, "report.json", text)
}

// The keys of the counters are in alphabetical order, as operators compare counters as
// text.
func TestCompatKeyOrder(t *testing.T) {
	f := newFrontEndWithDistinctCounters(t)
	checkKeyOrder(t, f.loop.CountersJSON())
	checkKeyOrder(t, runUrgentCall(f, f.admin.CountersJSON))
	checkKeyOrder(t, newCompatMySQLService(t).loop.CountersJSON())
}

// checkKeyOrder checks that the top-level keys of a JSON text are in alphabetical order.
func checkKeyOrder(t *testing.T, text []byte) {
	t.Helper()
	var values map[string]json.RawMessage
	if err := json.Unmarshal(text, &values); err != nil {
		t.Fatal(err)
	}
	sorted, err := json.Marshal(values)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(text, sorted) {
		t.Errorf("got\n%s\nwant, with the keys in order\n%s", text, sorted)
	}
}

// The counters have no key for the cluster if there is none, and no key for unexpected
// datagrams if none were received.
func TestCompatReportWithoutCluster(t *testing.T) {
	f := newFrontEndWithDistinctCounters(t)
	f.cluster = nil
	f.counters.UnexpectedDatagrams = 0
	checkKeyPaths(t, "report-alone-paths.txt", f.loop.CountersJSON())
}

// The counters of the MySQL front end have different keys.
func TestCompatReportMySQL(t *testing.T) {
	s := newCompatMySQLService(t)
	checkKeyPaths(t, "report-mysql-paths.txt", s.loop.CountersJSON())
}

func newCompatMySQLService(t *testing.T) *service {
	t.Helper()
	config, err := ReadMySQLConfig("../mysql/testdata/compat/mysql.json")
	if err != nil {
		t.Fatal(err)
	}
	config.Config.Listen = "127.0.0.1:0"
	s, err := newMySQLFrontEnd(config, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

// Operators' tools read the counters that GET /control/counters returns. The tests of
// internal/adminapi cover the calls, and docs/on-call.md documents the names.
func TestCompatOperatorCounters(t *testing.T) {
	f := newFrontEndWithDistinctCounters(t)
	f.counters.Reloads = 31
	f.counters.FailedReloads = 32
	f.httpServer.Counters.Classes[0].Served = 33
	f.httpServer.Counters.Classes[0].Rejected = 34
	f.httpServer.Counters.Classes[0].Failed = 35
	f.applyUpdates(&f.cfg.InitialUpdates) // an active engine, a draining one and a removed one
	text := runUrgentCall(f, f.admin.CountersJSON)
	checkValues(t, "control-counters.json", text)
}

// Operators' tools read the responses to GET /control/fleet and GET /control/state.
func TestCompatOperatorViews(t *testing.T) {
	f := newFrontEndWithDistinctCounters(t)
	checkKeyPaths(t, "control-fleet-paths.txt", runUrgentCall(f, f.admin.FleetJSON))
	checkKeyPaths(t, "control-state-paths.txt", runUrgentCall(f, f.admin.StateJSON))
}

// newFrontEndWithDistinctCounters returns a front end with all features on, one open
// request, and a different value in each counter.
func newFrontEndWithDistinctCounters(t *testing.T) *platformFrontEnd {
	t.Helper()
	t.Setenv("TMPDIR", t.TempDir())
	cfg, err := ReadConfig(filepath.Join("testdata", "compat", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	cfg.ControlListen = "127.0.0.1:0"
	cfg.PeerListen = "127.0.0.1:0"
	cfg.PeersAll = ""
	cfg.Peers = []string{"127.0.0.1:9", "127.0.0.1:10"}
	cfg.Settings.GatewayIndex = 0
	cfg.Settings.GatewayCount = 2
	cfg.Cluster.Enabled = true
	cfg.Cluster.Replication.Enabled = true
	s, f, err := newPlatformFrontEnd(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = s.listener.Close()
		_ = f.admin.listener.Close()
		_ = f.peers.Close()
	})
	arrivedAtMS := f.loop.Now() + 60000 // far from its deadline, however slow the host is
	openRequest := dispatch.Request{
		ID:           "9b1f03aa5c7e2d41",
		ArrivedAtMS:  arrivedAtMS,
		DeadlineAtMS: arrivedAtMS + 60000,
	}
	query := dispatch.Query{Statement: []byte("x")}
	if err := f.loop.Submit(openRequest, query, func(dispatch.Response, any) {}); err != nil {
		t.Fatal(err)
	}
	next := 0
	for _, counters := range []any{
		&f.httpServer.Counters,
		&f.loop.Counters,
		&f.enginePool.Counters,
		&f.counters,
		&f.loop.requestLog.counters,
		&f.cluster.Counters,
	} {
		fillCounters(reflect.ValueOf(counters).Elem(), &next)
	}
	return f
}

// fillCounters sets each number in a counters struct to the next value, in the order of
// the fields, and each map to one entry with the next value.
func fillCounters(v reflect.Value, next *int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if goldentest.IsAdded(v, v.Type().Field(i).Name) {
				continue
			}
			fillCounters(v.Field(i), next)
		}
	case reflect.Slice:
		for i := range v.Len() {
			fillCounters(v.Index(i), next)
		}
	case reflect.Map:
		*next++
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("sample"), reflect.ValueOf(*next))
	case reflect.Int:
		*next++
		v.SetInt(int64(*next))
	case reflect.Float64:
		*next++
		v.SetFloat(float64(*next))
	default: // not a counter
	}
}

// runUrgentCall runs a call that posts an urgent function and waits for its result. It runs
// the function itself, as the loop does not run in these tests.
func runUrgentCall(f *platformFrontEnd, call func() []byte) []byte {
	result := make(chan []byte, 1)
	go func() { result <- call() }()
	(<-f.loop.urgent)()
	return <-result
}

// checkValues compares the values of a JSON text with a golden file, ignoring the order of
// keys.
func checkValues(t *testing.T, name string, text []byte) {
	t.Helper()
	var got, want any
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(golden(t, name), &want); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: got\n%s", name, text)
	}
}

// checkKeyPaths compares the key paths and value types of a JSON text with a golden file.
func checkKeyPaths(t *testing.T, name string, text []byte) {
	t.Helper()
	if got := keyPaths(t, text); got != string(golden(t, name)) {
		t.Errorf("%s: got\n%s", name, got)
	}
}

// keyPaths returns the key paths of a JSON text with the types of their values, sorted,
// one on each line.
func keyPaths(t *testing.T, text []byte) string {
	t.Helper()
	var top any
	if err := json.Unmarshal(text, &top); err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			found[path+" object"] = true
			for key, below := range v {
				walk(strings.TrimPrefix(path+"."+key, "."), below)
			}
		case []any:
			found[path+" array"] = true
			for _, below := range v {
				walk(path+"[]", below)
			}
		case string:
			found[path+" string"] = true
		case float64:
			found[path+" number"] = true
		case bool:
			found[path+" bool"] = true
		default:
			found[path+" null"] = true
		}
	}
	walk("", top)
	list := []string{}
	for path := range found {
		list = append(list, strings.TrimSpace(path))
	}
	slices.Sort(list)
	return strings.Join(list, "\n") + "\n"
}
