package server

import (
	"bytes"
	"encoding/json"
	"fmt"
	"path/filepath"
	"reflect"
	"testing"

	"dewhill/control"
	"dewhill/internal/discovery"
	"dewhill/internal/goldentest"
	"dewhill/internal/simproto"
)

// The platform writes the file that $PROXY_CONFIG names. The golden file sets every key
// that is read, each to a value other than zero.
func TestCompatConfig(t *testing.T) {
	for _, name := range []string{"PROXY_NAME", "PROXY_LISTEN", "PROXY_CONTROL"} {
		t.Setenv(name, "")
	}
	path := filepath.Join("testdata", "compat", "config.json")
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "name", c.Name, "gw-7")
	expectEqual(t, "listen", c.Listen, "127.0.0.1:8080")
	expectEqual(t, "seed", c.Seed, "9b1f03aa5c7e2d41")
	expectEqual(t, "seed as a number", c.seed, uint64(0x9b1f03aa5c7e2d41))
	expectEqual(t, "limits.cores", c.Limits.Cores, 1.5)
	expectEqual(t, "limits.memory_mb", c.Limits.MemoryMB, 384)
	expectEqual(t, "limits.sockets", c.Limits.Sockets, 640)
	expectEqual(t, "peer_listen", c.PeerListen, "127.0.0.1:7946")
	expectEqual(t, "peers", c.Peers, []string{"127.0.0.2:7946", "127.0.0.3:7946"})
	expectEqual(t, "peers_all", c.PeersAll, "127.0.0.9:7000")
	expectEqual(t, "board", c.DiscoveryAddress, "127.0.0.1:9000")
	expectEqual(t, "control", c.ControlListen, "127.0.0.1:9100")
	checkInitialUpdates(t, &c.InitialUpdates)
	checkSettings(t, &c.Settings)
	checkControl(t, &c.Settings)
	checkNoneZero(t, "config", reflect.ValueOf(*c))

	again, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	if again = append(again, '\n'); !bytes.Equal(again, golden(t, "config.json")) {
		t.Errorf("marshaled again, the configuration differs from the golden file:\n%s", again)
	}
}

// checkInitialUpdates checks the endpoint list updates of the golden configuration.
func checkInitialUpdates(t *testing.T, updates *discovery.Updates) {
	t.Helper()
	endpoints := []discovery.Endpoint{
		{
			ID: "s-1", Address: "127.0.0.1:9301", Zone: "east", Kind: "large", Cell: 3,
			State: "active", Size: 0.75, StartedAtMS: 1700000000123,
		},
		{
			ID: "s-2", Address: "127.0.0.1:9302", Zone: "west", Kind: "small", Cell: 4,
			State: "leaving", Size: 0.5, StartedAtMS: 1700000000456,
		},
		{
			ID: "s-3", Address: "127.0.0.1:9303", Zone: "west", Kind: "small", Cell: 5,
			State: "left", Size: 0.25, StartedAtMS: 1700000000789,
		},
	}
	list := &discovery.EndpointList{Snapshot: true, Endpoints: endpoints}
	want := discovery.Updates{Revision: 12, Updates: []discovery.Update{{Revision: 11, Endpoints: list}}}
	expectEqual(t, "known", *updates, want)
}

// checkSettings checks each field of the golden configuration's settings.
func checkSettings(t *testing.T, s *simproto.Settings) {
	t.Helper()
	expectEqual(t, "categories", s.Classes, []simproto.Class{
		{
			Name: "read", LatencyObjectiveMS: 110, ObjectiveSlope: 1.5, DeadlineMS: 1100, PriorityWeight: 2, LateWeight: 0.25,
			Idempotency: "pure", IdempotencyScope: "all",
			IdempotencyWindowMS: 5100, OrderedByKey: true, Streaming: true, Zones: []int{1}, EngineKinds: []int{1},
		},
		{
			Name: "change", LatencyObjectiveMS: 120, ObjectiveSlope: 2.5, DeadlineMS: 1200, PriorityWeight: 3, LateWeight: 0.5,
			Idempotency: "token", IdempotencyScope: "zone",
			IdempotencyWindowMS: 5200, OrderedByKey: true, Streaming: true, Zones: []int{2}, EngineKinds: []int{2},
		},
		{
			Name: "fill", LatencyObjectiveMS: 130, ObjectiveSlope: 3.5, DeadlineMS: 1300, PriorityWeight: 4, LateWeight: 0.75,
			Idempotency: "side_effect", IdempotencyScope: "cell",
			IdempotencyWindowMS: 5300, OrderedByKey: true, Streaming: true, Zones: []int{3}, EngineKinds: []int{3},
		},
	})
	expectEqual(t, "contract.graceToAnswerMs", s.Contract.ResponseGraceMS, 21.0)
	expectEqual(t, "contract.stopSendingWithinMs", s.Contract.DrainGraceMS, 501.0)
	expectEqual(t, "contract.fallMultiple", s.Contract.OverloadMultiple, 2.5)
	expectEqual(t, "contract.fallMs", s.Contract.OverloadWindowMS, 1001.0)
	expectEqual(t, "contract.coldShare", s.Contract.SlowStartInitialFraction, 0.5)
	expectEqual(t, "contract.warmWithinMs", s.Contract.SlowStartWindowMS, 10001.0)
	expectEqual(t, "contract.mustAskInMs", s.Contract.EndpointListMaxAgeMS, 31.0)
	expectEqual(t, "contract.orderSettleMs", s.Contract.KeySettleMS, 41.0)
	expectEqual(t, "contract.spareAttempts", s.Contract.RetryBudgetBase, 51.0)
	expectEqual(t, "contract.extraPerRequest", s.Contract.RetryBudgetPerRequest, 0.125)
	expectEqual(t, "contract.countedOverMs", s.Contract.RetryBudgetWindowMS, 61.0)
	expectEqual(t, "customers", len(s.Tenants), 1)
	expectEqual(t, "customers.allowancePerS", s.Tenants[0].RequestsPerSecond, 71.0)
	expectEqual(t, "discovery", s.Discovery, "ask")
	expectEqual(t, "domain.blockedByLoads", s.Domain.BlockedByLoads, []bool{true})
	expectEqual(t, "domain.classLoad", s.Domain.IsLoad, []bool{true})
	expectEqual(t, "domain.coresByKind", s.Domain.CoresByKind, []int{8, 16})
	expectEqual(t, "domain.memoryByKindMb", s.Domain.MemoryMBByKind, []float64{16384, 32768})
	expectEqual(t, "domain.dop", s.Domain.Threads, []int{1, 2, 4})
	expectEqual(t, "domain.grantsCount", s.Domain.CanGrantMemory, true)
	expectEqual(t, "domain.largestShare", s.Domain.MaxMemoryGrant, 0.625)
	expectEqual(t, "domain.progressMs", s.Domain.ProgressIntervalMS, 81.0)
	expectEqual(t, "domain.takesPriority", s.Domain.CanPrioritize, true)
	expectEqual(t, "domain.tellsCost", s.Domain.EnginesReportCost, true)
	expectEqual(t, "domain.memoryShort", s.Domain.MemoryShortMode, "spill")
	expectEqual(t, "hostTypes", s.EngineKinds, []string{"small", "large"})
	expectEqual(t, "limits.connIdleMs", s.Limits.ConnectionIdleMS, 15001.0)
	expectEqual(t, "limits.connectTimeoutMs", s.Limits.ConnectTimeoutMS, 251.0)
	expectEqual(t, "limits.maxOpen", s.Limits.MaxOpenRequests, 91)
	expectEqual(t, "limits.streamsPerConn", s.Limits.StreamsPerConnection, 33)
	expectEqual(t, "limits.cancel", s.Limits.CanCancel, true)
	expectEqual(t, "limits.maxRetryAfterMs", s.Limits.MaxRetryAfterMS, 502.0)
	expectEqual(t, "limits.mayTell", s.Limits.CanGossip, true)
	expectEqual(t, "limits.probes", s.Limits.CanProbe, true)
	expectEqual(t, "limits.retryAfter", s.Limits.SendsRetryAfter, true)
	expectEqual(t, "limits.secondCopies", s.Limits.CanHedge, true)
	expectEqual(t, "limits.tryLimit", s.Limits.MaxAttempts, 5)
	expectEqual(t, "localities", s.Zones, []string{"east", "west"})
	expectEqual(t, "ordinal", s.GatewayIndex, 6)
	expectEqual(t, "overShareWorth", s.OverQuotaWeight, 0.375)
	expectEqual(t, "replicasOfMe", s.GatewayCount, 9)
	expectEqual(t, "reporting.via", s.Reporting.Via, "answers")
	expectEqual(t, "tickMs", s.TickMS, 7.0)
	expectEqual(t, "zone", s.Zone, 1)
}

// checkControl checks the control settings that the enum values of the golden
// configuration are converted to.
func checkControl(t *testing.T, s *simproto.Settings) {
	t.Helper()
	converted, err := s.Control()
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "pure", converted.Classes[0].Idempotency, control.Idempotent)
	expectEqual(t, "token", converted.Classes[1].Idempotency, control.IdempotentWithKey)
	expectEqual(t, "side_effect", converted.Classes[2].Idempotency, control.NotIdempotent)
	expectEqual(t, "all", converted.Classes[0].IdempotencyScope, control.AllEngines)
	expectEqual(t, "zone", converted.Classes[1].IdempotencyScope, control.SameZone)
	expectEqual(t, "cell", converted.Classes[2].IdempotencyScope, control.SameCell)
	expectEqual(t, "ask", converted.PollsEndpointList, true)
	expectEqual(t, "answers", converted.LoadReportsInReplies && converted.LoadReportsInProbes, true)
}

// checkNoneZero reports zero fields of the golden configuration: they were not read.
func checkNoneZero(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			t.Errorf("%s: nil", path)
			return
		}
		checkNoneZero(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if !field.IsExported() || field.Tag.Get("json") == "-" || goldentest.IsAdded(v, field.Name) {
				continue
			}
			checkNoneZero(t, path+"."+field.Name, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s: empty", path)
		}
		for i := range v.Len() {
			checkNoneZero(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s: zero", path)
		}
	}
}

// The platform starts all front ends of a group with the same file. The name and the
// addresses of each are in its environment.
func TestCompatEnvironment(t *testing.T) {
	t.Setenv("PROXY_NAME", "gw-8")
	t.Setenv("PROXY_LISTEN", "127.0.0.1:8081")
	t.Setenv("PROXY_CONTROL", "127.0.0.1:9101")
	c, err := ReadConfig(filepath.Join("testdata", "compat", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "PROXY_NAME", c.Name, "gw-8")
	expectEqual(t, "PROXY_LISTEN", c.Listen, "127.0.0.1:8081")
	expectEqual(t, "PROXY_CONTROL", c.ControlListen, "127.0.0.1:9101")
}
