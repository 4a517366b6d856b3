package simproto

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"dewhill/control"
	"dewhill/internal/goldentest"
)

func goldenText(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", file))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// compatRequests are the messages that the golden file decodes to.
func compatRequests() []Message {
	engines := []control.EngineInfo{
		{ID: "h:1", Zone: 1, Kind: 2, Cell: 3, Size: 4.5, StartedAtMS: 40},
		{ID: "h:2", Draining: true},
		{ID: "h:3", Removed: true},
	}
	event := func(e control.Event) Message { return InstanceEvent{Instance: 4, Event: e} }
	outcome := func(r control.Result) Message {
		return event(control.Event{Kind: control.AttemptEnded, RequestID: "r1", Engine: "h:1", Result: r})
	}
	return []Message{
		BatchStart{NowMS: 12.5, Serial: 7},
		BatchEnd{},
		EndpointPage{},
		StopInstance{Instance: 4},
		event(control.Event{Kind: control.EndpointSnapshot, Engines: engines}),
		event(control.Event{Kind: control.EndpointSnapshot, Engines: engines}),
		event(control.Event{Kind: control.EndpointUpdate, Engines: engines}),
		event(control.Event{Kind: control.EndpointListFailed}),
		event(control.Event{Kind: control.RequestArrived, RequestID: "r1", Class: 1, Tenant: 2, Key: "k1",
			DeadlineAtMS: 900, WorkMS: 30.5, MemoryMB: 64, Dataset: 5}),
		event(control.Event{Kind: control.RequestArrived, RequestID: "r2", Class: 1, Tenant: 2, DeadlineAtMS: 900,
			Dataset: -1}),
		event(control.Event{Kind: control.TimerFired, Timer: "sweep"}),
		event(control.Event{Kind: control.ProbeEnded, Engine: "h:1", Result: control.Served, ElapsedMS: 1.5,
			LoadReport: &control.LoadReport{InFlight: 1, Queued: 2, BusyFraction: 0.25, MemoryFraction: 0.5,
				DiskFraction: 0.75}}),
		event(control.Event{Kind: control.ProbeEnded, Engine: "h:1", Result: control.ConnectFailed}),
		event(control.Event{Kind: control.GossipReceived, Peer: 2, Message: []byte{0x3f, 0x80, 0, 0}}),
		event(control.Event{Kind: control.AttemptProgress, RequestID: "r1", Attempt: 1, Progress: 0.5}),
		event(control.Event{Kind: control.AttemptShortOfMemory, RequestID: "r1", Attempt: 1, MissingMemoryMB: 10}),
		event(control.Event{Kind: control.AttemptBlocked, RequestID: "r1", Attempt: 1,
			BlockedOn: control.BlockedOnLoad}),
		event(control.Event{Kind: control.StreamOpened, RequestID: "r1", Attempt: 1, Engine: "h:1"}),
		event(control.Event{Kind: control.AttemptEnded, RequestID: "r1", Attempt: 1, Engine: "h:1",
			Result: control.Served, ElapsedMS: 9.5, RequestDone: true,
			WorkMS: 100, MemoryMB: 12, LoadReport: &control.LoadReport{InFlight: 2, Queued: -1, BusyFraction: -1,
				MemoryFraction: 0.5, DiskFraction: -1}}),
		outcome(control.Errored),
		outcome(control.Rejected),
		outcome(control.TimedOut),
		outcome(control.ConnectFailed),
		outcome(control.Reset),
		outcome(control.Cancelled),
		outcome(control.NotSent),
		event(control.Event{Kind: control.RequestAbandoned, RequestID: "r1"}),
		StartInstance{Instance: 4, Seed: 1<<64 - 1, Settings: control.Settings{GatewayCount: 3}},
		StartInstance{Instance: 4, Seed: 1<<64 - 1, Settings: control.Settings{GatewayCount: 3}},
	}
}

// The simulator writes the lines of the golden file; no code of this repository does.
func TestCompatRequests(t *testing.T) {
	want := compatRequests()
	var d Decoder
	lines := slices.Collect(strings.Lines(goldenText(t, "requests.jsonl")))
	if len(lines) != len(want) {
		t.Fatalf("%d golden lines, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		got, err := d.Decode([]byte(line))
		if err != nil || !reflect.DeepEqual(got, want[i]) {
			t.Errorf("%sdecoded %+v, error %v\nwant %+v", line, got, err, want[i])
		}
	}
}

// The simulator reads the lines of the golden file; no code of this repository does.
func TestCompatReplies(t *testing.T) {
	var got []byte
	for _, action := range []control.Action{
		{Kind: control.StartAttempt, RequestID: "r1", Engine: "h:1", DeadlineAtMS: 8.5},
		{Kind: control.RejectRequest, RequestID: "r1", RetryAfterMS: 0.125},
		{Kind: control.RejectRequest, RequestID: "r1"},
		{Kind: control.FailRequest, RequestID: "r1"},
		{Kind: control.CancelAttempt, RequestID: "r1", Attempt: 2},
		{Kind: control.SetResources, RequestID: "r1", MemoryMB: 64.5, Priority: 2},
		{Kind: control.ProbeEngine, Engine: "h:1"},
		{Kind: control.Broadcast, Message: []byte{0x3f, 0x80, 0, 0}},
		{Kind: control.SetTimer, DelayMS: 25, Timer: "sweep"},
		{Kind: control.WatchEndpoints},
		{Kind: control.WriteLog, Log: customLogEntry{text: "a \"b\" <c>\n"}},
		{Kind: control.StartAttempt, RequestID: "r1", Engine: "h:1", DeadlineAtMS: 1790000000000.0625},
	} {
		got = AppendAction(got, 3, &action)
	}
	got = AppendCrash(got, 3, "oops")
	got = AppendOK(got, 9007199254740993)
	if want := goldenText(t, "replies.jsonl"); string(got) != want {
		t.Errorf("replies are\n%sgolden file\n%s", got, want)
	}
}

// compatSettings are the settings that the golden file decodes to.
func compatSettings() (s Settings) {
	s.Classes = []Class{
		{Name: "quick", LatencyObjectiveMS: 101, ObjectiveSlope: 1.5, DeadlineMS: 102, PriorityWeight: 103,
			LateWeight: 0.25, Idempotency: "token", IdempotencyScope: "cell",
			IdempotencyWindowMS: 104, OrderedByKey: true, Streaming: true, Zones: []int{1, 2},
			EngineKinds: []int{3}},
		{Name: "slow", LatencyObjectiveMS: 105, ObjectiveSlope: 2.5, DeadlineMS: 106, PriorityWeight: 107,
			LateWeight: 0.75, Idempotency: "pure", IdempotencyScope: "zone",
			IdempotencyWindowMS: 108, OrderedByKey: true, Streaming: true, Zones: []int{4}, EngineKinds: []int{5}},
		{Name: "unsafe", LatencyObjectiveMS: 109, ObjectiveSlope: 3.5, DeadlineMS: 110, PriorityWeight: 111,
			LateWeight: 0.5, Idempotency: "side_effect", IdempotencyScope: "all",
			IdempotencyWindowMS: 112, OrderedByKey: true, Streaming: true, Zones: []int{6}, EngineKinds: []int{7}},
	}
	s.Contract.ResponseGraceMS = 201
	s.Contract.DrainGraceMS = 202
	s.Contract.OverloadMultiple = 203
	s.Contract.OverloadWindowMS = 204
	s.Contract.SlowStartInitialFraction = 0.205
	s.Contract.SlowStartWindowMS = 206
	s.Contract.EndpointListMaxAgeMS = 207
	s.Contract.KeySettleMS = 208
	s.Contract.RetryBudgetBase = 209
	s.Contract.RetryBudgetPerRequest = 0.21
	s.Contract.RetryBudgetWindowMS = 211
	s.Tenants = slices.Grow(s.Tenants, 2)[:2]
	s.Tenants[0].RequestsPerSecond = 301
	s.Tenants[1].RequestsPerSecond = 302
	s.Discovery = "ask"
	s.Domain.BlockedByLoads = []bool{true, false, true}
	s.Domain.IsLoad = []bool{false, true}
	s.Domain.CoresByKind = []int{401, 402}
	s.Domain.MemoryMBByKind = []float64{403, 404}
	s.Domain.Threads = []int{405, 406, 407}
	s.Domain.CanGrantMemory = true
	s.Domain.MaxMemoryGrant = 0.408
	s.Domain.ProgressIntervalMS = 409
	s.Domain.CanPrioritize = true
	s.Domain.EnginesReportCost = true
	s.Domain.MemoryShortMode = "spill"
	s.EngineKinds = []string{"large", "small"}
	s.Limits.ConnectionIdleMS = 501
	s.Limits.ConnectTimeoutMS = 502
	s.Limits.MaxOpenRequests = 503
	s.Limits.StreamsPerConnection = 504
	s.Limits.CanCancel = true
	s.Limits.MaxRetryAfterMS = 505
	s.Limits.CanGossip = true
	s.Limits.CanProbe = true
	s.Limits.SendsRetryAfter = true
	s.Limits.CanHedge = true
	s.Limits.MaxAttempts = 506
	s.Zones = []string{"here", "there"}
	s.GatewayIndex = 601
	s.OverQuotaWeight = 0.602
	s.GatewayCount = 603
	s.Reporting.Via = "answers"
	s.TickMS = 604
	s.Zone = 605
	return s
}

// The simulator and the configurations of deployments use these keys of the settings.
// The golden file contains each of them.
func TestCompatSettings(t *testing.T) {
	golden := goldenText(t, "settings.json")
	want := compatSettings()
	for _, path := range zeroFields(reflect.ValueOf(want), "settings") {
		t.Errorf("%s is not in the golden file", path)
	}
	var got Settings
	decoder := json.NewDecoder(strings.NewReader(golden))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("decoded\n%+v, error %v, want\n%+v", got, err, want)
	}
	again, err := json.MarshalIndent(&got, "", " ")
	if err != nil || string(again)+"\n" != golden {
		t.Errorf("encoded again\n%s, error %v, golden file\n%s", again, err, golden)
	}
}

// zeroFields returns the paths of the fields that are zero, including those in lists.
func zeroFields(v reflect.Value, path string) (list []string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if goldentest.IsAdded(v, v.Type().Field(i).Name) {
				continue
			}
			list = append(list, zeroFields(v.Field(i), path+"."+v.Type().Field(i).Name)...)
		}
	case reflect.Slice:
		if v.Len() == 0 {
			return []string{path}
		}
		if v.Type().Elem().Kind() == reflect.Struct {
			for i := range v.Len() {
				list = append(list, zeroFields(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
			}
		}
	default:
		if v.IsZero() {
			list = append(list, path)
		}
	}
	return list
}

// Each key keeps its meaning for the decision logic, including in a line of the
// simulator.
func TestCompatDecisions(t *testing.T) {
	class := func(c control.Class) control.Class {
		c.OrderedByKey, c.Streaming = true, true
		return c
	}
	want := control.Settings{
		GatewayIndex: 601, GatewayCount: 603, Zone: 605, TickMS: 604,
		Classes: []control.Class{
			class(control.Class{LatencyObjectiveMS: 101, ObjectiveSlope: 1.5, DeadlineMS: 102, PriorityWeight: 103,
				LateWeight: 0.25, Idempotency: control.IdempotentWithKey,
				IdempotencyScope: control.SameCell, IdempotencyWindowMS: 104, Zones: []int{1, 2},
				EngineKinds: []int{3}, Threads: 405, BlockedByLoads: true}),
			class(control.Class{LatencyObjectiveMS: 105, ObjectiveSlope: 2.5, DeadlineMS: 106, PriorityWeight: 107,
				LateWeight: 0.75, Idempotency: control.Idempotent,
				IdempotencyScope: control.SameZone, IdempotencyWindowMS: 108, Zones: []int{4},
				EngineKinds: []int{5}, Threads: 406, IsLoad: true}),
			class(control.Class{LatencyObjectiveMS: 109, ObjectiveSlope: 3.5, DeadlineMS: 110, PriorityWeight: 111,
				LateWeight: 0.5, Idempotency: control.NotIdempotent,
				IdempotencyScope: control.AllEngines, IdempotencyWindowMS: 112, Zones: []int{6},
				EngineKinds: []int{7}, Threads: 407, BlockedByLoads: true}),
		},
		EngineKinds:     []control.EngineKind{{Cores: 401, MemoryMB: 403}, {Cores: 402, MemoryMB: 404}},
		Tenants:         []control.Tenant{{RequestsPerSecond: 301}, {RequestsPerSecond: 302}},
		ResponseGraceMS: 201, DrainGraceMS: 202, OverloadMultiple: 203, OverloadWindowMS: 204,
		SlowStartInitialFraction: 0.205, SlowStartWindowMS: 206, EndpointListMaxAgeMS: 207,
		KeySettleMS: 208, RetryBudgetBase: 209, RetryBudgetPerRequest: 0.21, RetryBudgetWindowMS: 211,
		MaxAttempts: 506, MaxOpenRequests: 503,
		CanCancel: true, CanHedge: true, CanProbe: true, CanGossip: true, PollsEndpointList: true,
		SendsRetryAfter: true, MaxRetryAfterMS: 505,
		CanPrioritize: true, CanGrantMemory: true, MaxMemoryGrant: 0.408, EnginesReportCost: true,
		ProgressIntervalMS: 409, OverQuotaWeight: 0.602,
		LoadReportsInReplies: true, LoadReportsInProbes: true,
	}
	var env bytes.Buffer
	if err := json.Compact(&env, []byte(goldenText(t, "settings.json"))); err != nil {
		t.Fatal(err)
	}
	var d Decoder
	got, err := d.Decode([]byte(`{"t":"ENLIST","who":1,"initSeed":2,"env":` + env.String() + "}\n"))
	if err != nil || !reflect.DeepEqual(got, StartInstance{Instance: 1, Seed: 2, Settings: want}) {
		t.Errorf("error %v, message\n%+v, want settings\n%+v", err, got, want)
	}
	for via, want := range map[string][2]bool{"answers": {true, true}, "probe": {false, true}, "": {false, false}} {
		s := Settings{}
		s.Reporting.Via = via
		got, err := s.Control()
		if err != nil || got.LoadReportsInReplies != want[0] || got.LoadReportsInProbes != want[1] {
			t.Errorf("reporting via %q: %+v, error %v", via, got, err)
		}
	}
}
