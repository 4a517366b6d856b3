package simproto

import (
	"reflect"
	"strings"
	"testing"
)

// Keys that the protocol does not define are skipped in each message, at every level,
// as are unknown values of a load report.
func TestUnknownKeysAreSkipped(t *testing.T) {
	for _, line := range []string{
		`{"t":"MARK","momentMs":1,"serial":2}`,
		`{"t":"END"}`,
		`{"t":"CENSUS","page":1,"items":[{"engine":"h:1","mode":"live"}]}`,
		`{"t":"ENLIST","who":1,"initSeed":1,"env":{"tickMs":5,"limits":{"tryLimit":4}}}`,
		`{"t":"DEMAND","who":1,"ref":"r","class":1,"giveUpAtMs":5}`,
		`{"t":"STATUS_NOTE","who":1,"ref":"r","topic":1,"level":0.5}`,
		`{"t":"OUTCOME","who":1,"ref":"r","engine":"h:1","rc":10,"usage":{"rif":2}}`,
		`{"t":"HEALTH","who":1,"engine":"h:1","rc":10,"usage":{"rif":2}}`,
		`{"t":"HEARD","who":1,"neighbour":2,"msg":"aGk="}`,
		`{"t":"ABANDONED","who":1,"ref":"r"}`,
		`{"t":"TICK_DUE","who":1,"label":"sweep"}`,
		`{"t":"POWER_OFF","who":1}`,
	} {
		var plain, withMore Decoder
		more := strings.ReplaceAll(line, `{"t"`, `{"later":{"t":"END"},"odd":[1],"t"`)
		more = strings.ReplaceAll(more, `"rif":2`, `"rif":2,"later":-1`)
		more = strings.ReplaceAll(more, `{"engine":"h:1","mode"`, `{"later":"x","engine":"h:1","mode"`)
		more = strings.ReplaceAll(more, `"tryLimit":4`, `"tryLimit":4,"later":"x"`)
		want, got := decode(t, &plain, line), decode(t, &withMore, more)
		if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(withMore.pages, plain.pages) {
			t.Errorf("%s: %+v, want %+v", more, got, want)
		}
	}
}
