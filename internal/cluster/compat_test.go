package cluster

import (
	"bytes"
	"encoding/json"
	"net/netip"
	"os"
	"reflect"
	"testing"

	"github.com/BurntSushi/toml"

	"dewhill/internal/membership"
	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// TestCompatOptions checks that a golden settings file is read correctly. The file sets
// every key to a distinct value that is not the default.
func TestCompatOptions(t *testing.T) {
	text, err := os.ReadFile("testdata/compat/group.toml")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ParseOptions("group.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	want := Options{
		Enabled:             true,
		MaxDatagramBytes:    1201,
		Seeds:               []string{"10.0.0.4:7946", "10.0.0.5:7947"},
		FleetSize:           9,
		StateDir:            "testdata/compat",
		ProbeIntervalMS:     1001,
		ProbeTimeoutMS:      251,
		SuspicionMinMS:      2501,
		SuspicionMaxMS:      4001,
		ReconnectIntervalMS: 3001,
		ForgetAfterMS:       600001,
		DatagramsPerSecond:  4.5,
		Replication: ReplicationOptions{
			Enabled:           true,
			WriteQuorum:       "here",
			ResendMS:          201,
			WriteTimeoutMS:    2001,
			CompareIntervalMS: 4002,
			CatchUpTimeoutMS:  5001,
			BytesPerSecond:    8193,
		},
		seeds: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.4:7946"), netip.MustParseAddrPort("10.0.0.5:7947")},
	}
	if !reflect.DeepEqual(o, want) {
		t.Errorf("options %+v, want %+v", o, want)
	}
	wantTimes := membership.Times{
		ProbeIntervalMS:     1001,
		ProbeTimeoutMS:      251,
		SuspicionMinMS:      2501,
		SuspicionMaxMS:      4001,
		ReconnectIntervalMS: 3001,
		ForgetAfterMS:       600001,
		DatagramsPerSecond:  4.5,
	}
	if o.Times() != wantTimes {
		t.Errorf("times %+v, want %+v", o.Times(), wantTimes)
	}
	wantReplicationTimes := replication.Times{
		ResendMS:          201,
		WriteTimeoutMS:    2001,
		CompareIntervalMS: 4002,
		CatchUpTimeoutMS:  5001,
		BytesPerSecond:    8193,
	}
	if o.Replication.Times() != wantReplicationTimes {
		t.Errorf("replication times %+v, want %+v", o.Replication.Times(), wantReplicationTimes)
	}
	checkAllRead(t, reflect.ValueOf(o), reflect.ValueOf(DefaultOptions()))

	var again bytes.Buffer
	encoder := toml.NewEncoder(&again)
	encoder.Indent = ""
	if err := encoder.Encode(o); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again.Bytes(), text) {
		t.Errorf("the options are encoded as\n%s\nwant\n%s", again.Bytes(), text)
	}
}

// checkAllRead fails for each field that has its default value, because the golden file is
// meant to set all fields.
func checkAllRead(t *testing.T, v, defaults reflect.Value) {
	t.Helper()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		switch {
		case !field.IsExported():
		case field.Type.Kind() == reflect.Struct:
			checkAllRead(t, v.Field(i), defaults.Field(i))
		case reflect.DeepEqual(v.Field(i).Interface(), defaults.Field(i).Interface()):
			t.Errorf("%s has its default value", field.Name)
		}
	}
}

// TestCompatDefaults checks the defaults, which apply without a file and with the shipped
// file. All front ends of a fleet that is being upgraded must have the same defaults.
func TestCompatDefaults(t *testing.T) {
	want := Options{
		MaxDatagramBytes:    256,
		ProbeIntervalMS:     1000,
		ProbeTimeoutMS:      250,
		SuspicionMinMS:      2500,
		SuspicionMaxMS:      4000,
		ReconnectIntervalMS: 3000,
		ForgetAfterMS:       600000,
		DatagramsPerSecond:  3,
		Replication:         ReplicationOptions{WriteQuorum: "majority", ResendMS: 200, WriteTimeoutMS: 2000, CompareIntervalMS: 4000, CatchUpTimeoutMS: 5000, BytesPerSecond: 8192},
	}
	for _, path := range []string{"no such file", "../../deploy/group.toml"} {
		o, err := ReadOptions(path)
		if err != nil || !reflect.DeepEqual(o, want) {
			t.Errorf("%s: %+v, %v, want %+v", path, o, err, want)
		}
	}
}

// idleHost is an event loop that has a fixed time and calls no functions, and a link that
// drops all datagrams.
type idleHost struct{}

func (idleHost) Now() float64                             { return 1e12 }
func (idleHost) After(float64, func())                    {}
func (idleHost) Post(func())                              {}
func (idleHost) Logf(string, ...any)                      {}
func (idleHost) SendTo(int, netip.AddrPort, []byte) error { return nil }

// newTestCluster returns the cluster of one of two front ends.
func newTestCluster() *Cluster {
	options := DefaultOptions()
	options.Enabled = true
	options.Replication.Enabled = true
	peers := []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7946"), netip.MustParseAddrPort("127.0.0.1:7947")}
	identity := Identity{Name: "gw-7", Index: 0, Peers: peers, Addr: peers[0], Seed: 5}
	return New(options, identity, idleHost{}, idleHost{}, nil, nil)
}

// fillCounters sets each number in a struct of counters to a distinct value, in the order
// of the fields, and adds one entry to each map.
func fillCounters(v reflect.Value, next *int) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillCounters(v.Field(i), next)
		}
	case reflect.Map:
		*next++
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf("sample"), reflect.ValueOf(*next))
	case reflect.Int:
		*next++
		v.SetInt(int64(*next))
	default: // not a counter
	}
}

// checkGoldenJSON compares a value, encoded as JSON, with a golden file.
func checkGoldenJSON(t *testing.T, name string, v any) {
	t.Helper()
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/compat/" + name)
	if err != nil {
		t.Fatal(err)
	}
	if text = append(text, '\n'); !bytes.Equal(text, want) {
		t.Errorf("%s: encoded\n%s\nwant\n%s", name, text, want)
	}
}

// TestCompatReport checks the encoding of the counters for operators.
func TestCompatReport(t *testing.T) {
	c := newTestCluster()
	next := 0
	for _, counters := range []any{&c.Counters, &c.members.view.Counters, &c.overrides.replica.Counters, &c.leases.manager.Counters} {
		fillCounters(reflect.ValueOf(counters).Elem(), &next)
	}
	checkGoldenJSON(t, "report.json", c.CountersReport())
}

// TestCompatFleet checks the response to GET /control/fleet.
func TestCompatFleet(t *testing.T) {
	var view map[string]any
	if err := json.Unmarshal(newTestCluster().MembersJSON(), &view); err != nil {
		t.Fatal(err)
	}
	checkGoldenJSON(t, "fleet.json", view)
}

// TestCompatState checks the response to GET /control/state with concurrent overrides of an
// engine and of a front end.
func TestCompatState(t *testing.T) {
	c := newTestCluster()
	other := replication.New(replication.Options{Name: "gw-8", ProcessID: 77}, 6)
	here := replication.Peer{Number: 0}
	other.Apply(0, replication.Start{})
	other.Apply(0, replication.MembersChanged{Alive: []replication.Peer{here}, All: []replication.Peer{here}, Size: 2})
	for _, key := range []replication.Key{{Kind: replication.Engine, ID: "s-1"}, {Kind: replication.FrontEnd, ID: "gw-9"}} {
		if err := c.WriteOverride(key, true, make(chan WriteResult, 1)); err != nil {
			t.Fatal(err)
		}
		out := other.Apply(1, replication.Write{Key: key, Disabled: false, RequiredReplicas: 1, WallClockMS: 1e12})
		for _, s := range out.Sends {
			c.Receive(1, netip.AddrPort{}, peer.Wrap(peer.Replication, s.Message))
		}
	}
	var state map[string]any
	if err := json.Unmarshal(c.StateJSON(), &state); err != nil {
		t.Fatal(err)
	}
	state["digest"] = "" // the digest and the times differ from run to run
	for _, c := range state["conflicts"].([]any) {
		for _, override := range c.(map[string]any)["words"].([]any) {
			override.(map[string]any)["at_ms"] = 0
		}
	}
	for _, e := range state["engines_out"].([]any) {
		e.(map[string]any)["at_ms"] = 0
	}
	checkGoldenJSON(t, "state.json", state)
}

// TestCompatWriteResult checks the response to an override that too few front ends have
// stored.
func TestCompatWriteResult(t *testing.T) {
	text, err := json.Marshal(WriteResult{Replicas: 1, Required: 2})
	if want := `{"kept":1,"needed":2}`; err != nil || string(text) != want {
		t.Errorf("encoded %s, %v, want %s", text, err, want)
	}
}

// TestCompatNames checks the names of states and datagram kinds in reports for operators.
func TestCompatNames(t *testing.T) {
	states := map[membership.State]string{
		membership.Unknown: "unknown",
		membership.Alive:   "alive",
		membership.Suspect: "suspect",
		membership.Dead:    "dead",
		membership.Left:    "left",
	}
	for state, want := range states {
		if state.String() != want {
			t.Errorf("state %d: %v, want %s", state, state, want)
		}
	}
	kinds := map[peer.Kind]string{
		peer.Demand:      "demand",
		peer.Membership:  "fleet",
		peer.Replication: "replica",
		peer.Maintenance: "upkeep",
		peer.Lease:       "loads",
	}
	for kind, want := range kinds {
		if kind.String() != want {
			t.Errorf("kind %d: %v, want %s", kind, kind, want)
		}
	}
}

// TestCompatLeaseSummary checks the leases in the response to GET /control/state.
func TestCompatLeaseSummary(t *testing.T) {
	text, err := json.Marshal(leaseSummaryJSON{CanVote: true, Held: 1, MayHaveRun: 2, Ended: 3})
	if want := `{"votes":true,"claimed":1,"may_have_run":2,"ended":3}`; err != nil || string(text) != want {
		t.Errorf("%s, %v, want %s", text, err, want)
	}
}
