package simproto

import (
	"testing"

	"dewhill/control"
)

func TestAppendAction(t *testing.T) {
	for _, c := range []struct {
		action control.Action
		want   string
	}{
		{
			control.Action{Kind: control.StartAttempt, RequestID: "r", Engine: "h:1", DeadlineAtMS: 8.5},
			`{"t":"ISSUE","who":3,"ref":"r","engine":"h:1","untilMs":8.5}`,
		},
		{
			control.Action{Kind: control.RejectRequest, RequestID: "r"},
			`{"t":"DECLINE","who":3,"ref":"r","waitMs":0}`,
		},
		{
			control.Action{Kind: control.FailRequest, RequestID: "r"},
			`{"t":"SURRENDER","who":3,"ref":"r"}`,
		},
		{
			control.Action{Kind: control.CancelAttempt, RequestID: "r"},
			`{"t":"REVOKE","who":3,"ref":"r","sendNo":0}`,
		},
		{
			control.Action{Kind: control.SetResources, RequestID: "r", MemoryMB: 64, Priority: 2},
			`{"t":"ALLOT","who":3,"ref":"r","memoryGrant":64,"lane":2}`,
		},
		{
			control.Action{Kind: control.ProbeEngine, Engine: "h:1"},
			`{"t":"ASK_LOAD","who":3,"engine":"h:1"}`,
		},
		{
			control.Action{Kind: control.Broadcast, Message: []byte("hi")},
			`{"t":"TELL","who":3,"peer":"*","msg":"aGk="}`,
		},
		{
			control.Action{Kind: control.SetTimer, DelayMS: 25, Timer: "x"},
			`{"t":"SLEEP","who":3,"afterMs":25,"label":"x"}`,
		},
		{
			control.Action{Kind: control.WatchEndpoints},
			`{"t":"LISTEN","who":3,"enable":true}`,
		},
		{
			control.Action{Kind: control.WriteLog, Log: customLogEntry{text: `a "b"`}},
			`{"t":"TRACE","who":3,"msg":"a \"b\""}`,
		},
	} {
		if got := string(AppendAction(nil, 3, &c.action)); got != c.want+"\n" {
			t.Errorf("got %swant %s", got, c.want)
		}
	}
}

func TestAppendCrashAndOK(t *testing.T) {
	const want = `{"t":"CRASH","who":0,"msg":"oops"}` + "\n" + `{"t":"OK","serial":9}` + "\n"
	if got := string(AppendOK(AppendCrash(nil, 0, "oops"), 9)); got != want {
		t.Errorf("got %s", got)
	}
}

func TestAppendUnknownAction(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("AppendAction did not panic on an action of unknown kind")
		}
	}()
	AppendAction(nil, 3, &control.Action{Kind: -1})
}
