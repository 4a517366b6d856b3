package simproto

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"dewhill/control"
)

func decode(t *testing.T, d *Decoder, line string) Message {
	t.Helper()
	message, err := d.Decode([]byte(line))
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	return message
}

// decodeOneEvent decodes a line that is an event and does not depend on earlier lines.
func decodeOneEvent(t *testing.T, line string) control.Event {
	t.Helper()
	var d Decoder
	message, ok := decode(t, &d, line).(InstanceEvent)
	if !ok {
		t.Fatalf("%s is not an event: %+v", line, message)
	}
	return message.Event
}

func TestDecodeBatchStart(t *testing.T) {
	var d Decoder
	want := BatchStart{NowMS: 12.5, Serial: 7}
	if got := decode(t, &d, `{"t":"MARK","momentMs":12.5,"serial":7}`); got != want {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestDecodeEndpoints(t *testing.T) {
	var d Decoder
	decode(t, &d, `{"t":"CENSUS","page":2,"items":[{"engine":"h:1","regionPart":1,"kind":1,"bay":3,"mode":"live",
		"size":2,"upSinceMs":40},{"engine":"h:2","mode":"quiescing"},{"engine":"h:3","mode":"dead"}]}`)
	got := decode(t, &d, `{"t":"MEMBERSHIP","who":4,"scope":"restored","index":1,"page":2}`)
	want := InstanceEvent{Instance: 4, Event: control.Event{
		Kind: control.EndpointSnapshot,
		Engines: []control.EngineInfo{
			{ID: "h:1", Zone: 1, Kind: 1, Cell: 3, Size: 2, StartedAtMS: 40},
			{ID: "h:2", Draining: true},
			{ID: "h:3", Removed: true},
		},
	}}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	update := decode(t, &d, `{"t":"MEMBERSHIP","who":0,"scope":"update","index":2,"page":2}`)
	if kind := update.(InstanceEvent).Event.Kind; kind != control.EndpointUpdate {
		t.Errorf("kind %d, want %d", kind, control.EndpointUpdate)
	}
}

func TestDecodeRequest(t *testing.T) {
	got := decodeOneEvent(t, `{"t":"DEMAND","who":0,"ref":"r","class":1,"billing":1,"key":"k","giveUpAtMs":900,
		"guessMs":30,"needMb":64,"dataset":5,"bits":1,"later":true}`)
	want := control.Event{
		Kind: control.RequestArrived, RequestID: "r", Class: 1, Tenant: 1, Key: "k", DeadlineAtMS: 900,
		WorkMS: 30, MemoryMB: 64, Dataset: 5,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
	got = decodeOneEvent(t, `{"t":"DEMAND","who":0,"ref":"r","guessMs":30,"bits":4}`)
	if got.WorkMS != 0 {
		t.Errorf("work %v although the flag says that the estimate is not valid", got.WorkMS)
	}
}

func TestDecodeOutcome(t *testing.T) {
	got := decodeOneEvent(t, `{"t":"OUTCOME","who":0,"ref":"r","sendNo":1,"engine":"h:1","rc":10,"spentMs":9,
		"doneFlag":true,"usedUp":409603,"usage":{"rif":2,"x0":0.5}}`)
	want := control.Event{
		Kind: control.AttemptEnded, RequestID: "r", Attempt: 1, Engine: "h:1", Result: control.Served, ElapsedMS: 9,
		RequestDone: true, WorkMS: 100, MemoryMB: 12,
		LoadReport: &control.LoadReport{
			InFlight: 2, Queued: -1, BusyFraction: -1, MemoryFraction: 0.5, DiskFraction: -1,
		},
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

func TestDecodeEventKinds(t *testing.T) {
	for line, want := range map[string]control.EventKind{
		`{"t":"STATUS_NOTE","who":0,"ref":"r","topic":1,"level":0.5}`: control.AttemptProgress,
		`{"t":"STATUS_NOTE","who":0,"ref":"r","topic":2,"level":10}`:  control.AttemptShortOfMemory,
		`{"t":"STATUS_NOTE","who":0,"ref":"r","topic":3,"level":2}`:   control.AttemptBlocked,
		`{"t":"OPENED","who":0,"ref":"r","engine":"h:1"}`:             control.StreamOpened,
		`{"t":"ABANDONED","who":0,"ref":"r"}`:                         control.RequestAbandoned,
		`{"t":"TICK_DUE","who":0,"label":"x"}`:                        control.TimerFired,
		`{"t":"HEALTH","who":0,"engine":"h:1","rc":50}`:               control.ProbeEnded,
		`{"t":"HEARD","who":0,"neighbour":2,"msg":"aGk="}`:            control.GossipReceived,
		`{"t":"MEMBERSHIP","who":0,"scope":"unavailable","index":1}`:  control.EndpointListFailed,
	} {
		if got := decodeOneEvent(t, line).Kind; got != want {
			t.Errorf("%s: kind %d, want %d", line, got, want)
		}
	}
}

func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct {
		name, line string
		wantText   string
		wantError  error // nil: only the text is checked
	}{
		{"no JSON", `{"t":"MARK"`, "malformed", nil},
		{"no clock", `{"t":"MARK","serial":1}`, "no clock or serial number", errNoClockOrSerial},
		{"unknown verb", `{"t":"GREETING","who":0}`, `"GREETING"`, errUnknownVerb},
		{"unknown verb, no instance", `{"t":"GREETING"}`, "unknown verb", errUnknownVerb},
		{"no instance", `{"t":"DEMAND","ref":"r"}`, "no instance", errNoInstance},
		{"no instance of an event", `{"t":"MEMBERSHIP","scope":"update"}`, "no instance", errNoInstance},
		{"no request", `{"t":"DEMAND","who":0}`, "no request", errNoRequest},
		{"no abandoned request", `{"t":"ABANDONED","who":0}`, "no request", errNoRequest},
		{"no request of a status", `{"t":"STATUS_NOTE","who":0,"topic":1}`, "no request", errNoRequest},
		{"no request of a stream", `{"t":"OPENED","who":0,"engine":"h:1"}`, "no request", errNoRequest},
		{"no request of an outcome", `{"t":"OUTCOME","who":0,"engine":"h:1","rc":10}`, "no request", errNoRequest},
		{"negative class", `{"t":"DEMAND","who":0,"ref":"r","class":-1}`, "negative class", errNegativeClass},
		{"field of another type", `{"t":"DEMAND","who":"x"}`, "DEMAND", nil},
		{"no engine", `{"t":"OUTCOME","who":0,"ref":"r","rc":10}`, "no engine", errNoEngine},
		{"no probed engine", `{"t":"HEALTH","who":0,"rc":10}`, "no engine", errNoEngine},
		{"no engine in a list", `{"t":"CENSUS","page":1,"items":[{"mode":"live"}]}`, "no engine", errNoEngine},
		{"unknown outcome and no request", `{"t":"OUTCOME","who":0,"rc":99}`, "outcome 99", errUnknownOutcome},
		{"unknown outcome of a probe", `{"t":"HEALTH","who":0,"rc":99}`, "outcome 99", errUnknownOutcome},
		{"unknown outcome", `{"t":"OUTCOME","who":0,"ref":"r","engine":"h:1","rc":99}`,
			"outcome 99", errUnknownOutcome},
		{"unknown status", `{"t":"STATUS_NOTE","who":0,"ref":"r","topic":9}`, "topic 9", errUnknownStatus},
		{"unknown page", `{"t":"MEMBERSHIP","who":0,"scope":"update","page":9}`,
			"no endpoint page 9", errNoEndpointPage},
		{"unknown change", `{"t":"MEMBERSHIP","who":0,"scope":"odd"}`, "scope", errUnknownChange},
		{"unknown state", `{"t":"CENSUS","page":1,"items":[{"engine":"h:1","mode":"odd"}]}`, "mode", errUnknownState},
		{"no settings", `{"t":"ENLIST","who":0,"initSeed":1}`, "no settings", errNoSettings},
		{"no seed", `{"t":"ENLIST","who":0,"env":{}}`, "no seed", errNoSeed},
		{"malformed settings", `{"t":"ENLIST","who":0,"initSeed":1,"env":{"categories":[{"effect":1}]}}`,
			"ENLIST", nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			var d Decoder
			_, err := d.Decode([]byte(c.line))
			if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), c.wantText) {
				t.Errorf("%s: error %v, want one with %q", c.line, err, c.wantText)
			}
			if c.wantError != nil && !errors.Is(err, c.wantError) {
				t.Errorf("%s: error %v, want %v", c.line, err, c.wantError)
			}
		})
	}
}
