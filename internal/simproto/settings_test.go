package simproto

import (
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"

	"dewhill/control"
)

func TestDecodeSettings(t *testing.T) {
	var d Decoder
	start, ok := decode(t, &d, `{"t":"ENLIST","who":1,"initSeed":18446744073709551615,"env":{"unheard":{"of":1},
		"categories":[{"aimMs":10,"effect":"pure"},{"aimMs":20,"effect":"token","group":"cell","windowMs":5,
		"sequential":true,"hostTypesOpen":[1],"allowedIn":[0]},{"effect":"side_effect"}],
		"contract":{"graceToAnswerMs":3,"spareAttempts":2},"domain":{"coresByKind":[4,8],"dop":[1,2],
		"classLoad":[false,true]},"hostTypes":["x","y"],"limits":{"cancel":true,"tryLimit":4},"replicasOfMe":3,
		"discovery":"ask","customers":[{"allowancePerS":9}]}}`).(StartInstance)
	s := start.Settings
	if !ok || start.Instance != 1 || start.Seed != 1<<64-1 || len(s.Classes) != 3 || len(s.EngineKinds) != 2 {
		t.Fatalf("settings %+v", start)
	}
	c := s.Classes[1]
	if c.Idempotency != control.IdempotentWithKey || c.IdempotencyScope != control.SameCell ||
		!c.OrderedByKey || !c.IsLoad || c.Threads != 2 || c.EngineKinds[0] != 1 || c.Zones[0] != 0 ||
		s.Classes[2].Idempotency != control.NotIdempotent {
		t.Errorf("classes %+v", s.Classes)
	}
	if s.EngineKinds[1].Cores != 8 || s.ResponseGraceMS != 3 || s.RetryBudgetBase != 2 || !s.CanCancel ||
		s.MaxAttempts != 4 || s.GatewayCount != 3 || !s.PollsEndpointList ||
		s.Tenants[0].RequestsPerSecond != 9 || s.RetryBudgetWindowMS != 0 || s.CanProbe {
		t.Errorf("settings %+v", s)
	}
}

// The names of classes, engine kinds, zones and tenants do not influence decisions:
// with other names, the settings of package control are the same. Every entry still
// counts, since the decision logic refers to entries by their position.
func TestNamesAreNotDecisionSettings(t *testing.T) {
	const text = `{"categories":[{"name":"A","aimMs":700,"hardLimitMs":4000,"value":2,"effect":"pure"},
		{"name":"B","aimMs":900,"hardLimitMs":9000,"value":3,"effect":"token","group":"zone","windowMs":800,
			"allowedIn":[1]},
		{"name":"C","aimMs":2900,"hardLimitMs":9500,"value":4,"effect":"side_effect","sequential":true,
			"hostTypesOpen":[0]}],
		"customers":[{"name":"T","allowancePerS":7,"portion":0.5}],
		"hostTypes":["K","L"],"localities":["Z","Y"],"stages":["S"],
		"domain":{"coresByKind":[3,7],"dop":[1,2,3]},
		"contract":{"fallMultiple":3,"fallMs":900,"coldShare":0.2,"warmWithinMs":7000},
		"replicasOfMe":5,"ordinal":2,"tickMs":5}`
	read := func(text string) control.Settings {
		t.Helper()
		var settings Settings
		if err := json.Unmarshal([]byte(text), &settings); err != nil {
			t.Fatal(err)
		}
		decisionSettings, err := settings.Control()
		if err != nil {
			t.Fatal(err)
		}
		return decisionSettings
	}
	other := text
	for _, name := range []string{"A", "B", "C", "T", "K", "L", "Z", "Y", "S"} {
		other = strings.ReplaceAll(other, strconv.Quote(name), strconv.Quote("lookup "+name+" load"))
	}
	if a, b := read(text), read(other); !reflect.DeepEqual(a, b) || len(a.Classes) != 3 || a.EngineKinds[1].Cores != 7 {
		t.Errorf("with other names the settings are\n%+v\nwant\n%+v", b, a)
	}
}

// Requests refer to tenants by name. Settings that were written before tenants had
// names remain valid.
func TestTenantNames(t *testing.T) {
	var settings Settings
	text := `{"customers":[{"name":"north","allowancePerS":3},{"allowancePerS":4}]}`
	if err := json.Unmarshal([]byte(text), &settings); err != nil {
		t.Fatal(err)
	}
	want := []Tenant{{Name: "north", RequestsPerSecond: 3}, {RequestsPerSecond: 4}}
	if !slices.Equal(settings.Tenants, want) {
		t.Errorf("decoded %+v, want %+v", settings.Tenants, want)
	}
}
