package engineclient

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// TestRepliesInPieces checks that replies are read alike however they are split into segments.
func TestRepliesInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		bodies := rapid.SliceOfN(rapid.StringMatching(`([a-zé]{0,9}\t[0-9]{0,9}\t[^\n\t]{0,40}\n){0,9}`), 1, 4).Draw(t, "bodies")
		for i, b := range bodies {
			fmt.Fprintf(&all, "%d ACK batches=%d,load=inflight:7;util:0.61 %d\r\n%s\r\n", i, i+1, len(b), b)
		}
		buffer := lineproto.New(testprocess.NewChunkedConn(t, []byte(all.String())), maxLineBytes)
		for i, b := range bodies {
			r, err := readReply(buffer)
			if err != nil || string(r.body) != b || r.id != fmt.Sprint(i) || r.numberField("batches") != float64(i+1) {
				t.Fatalf("reply %d: %+v, %v", i, r, err)
			}
			if report, _ := r.loadReport(); report.InFlight != 7 || report.BusyFraction != 0.61 || report.DiskFraction != absent {
				t.Fatalf("report %+v", report)
			}
		}
	})
}

// TestMalformedPages checks that a page must consist of complete rows of UTF-8 text.
func TestMalformedPages(t *testing.T) {
	for page, valid := range map[string]bool{"": true, "a\t1\té\n": true, "a\t1\t\nb\t\t\n": true, "a\t1\tx": false, "a\t1\tx\nb\t2\n": false,
		"a\t1\tx\ty\n": false, "a\t1\t\xff\xfe\n": false, "\n": false, "\t\t\n\n": false} {
		if err := checkPage([]byte(page)); valid != (err == nil) {
			t.Errorf("%.40q: %v", page, err)
		}
	}
}

// TestMalformedReplies checks that malformed input leads to an error, never to a panic,
// an endless wait or a body over the limit.
func TestMalformedReplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		buffer := lineproto.New(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, "aa ACK batches=2,cpu=NaN,load=x:y;util:-1 3\r\na\tb\r\n",
			"aa BLOCK batch=1 0\r\n\r\n", "t1 READY load= 0\r\n\r\n")), maxLineBytes)
		for range 5 {
			r, err := readReply(buffer)
			if err != nil {
				return
			}
			if report, malformed := r.loadReport(); report != nil && (malformed || report.BusyFraction != report.BusyFraction) || r.numberField("cpu") < 0 || len(r.body) > maxPageBytes {
				t.Fatalf("%+v", r)
			}
		}
	})
}

// TestMalformedLoadReports checks that a load report with a malformed value, or without
// any known name, is dropped as a whole and reported as malformed.
func TestMalformedLoadReports(t *testing.T) {
	for _, c := range []struct {
		text             string
		valid, malformed bool
	}{
		{"", false, false}, {"rif:4;busy:0.5;new:x", true, false}, {"busy:0", true, false},
		{"rif:4;busy:", false, true}, {"rif:-1", false, true}, {"busy:NaN", false, true}, {"rif:Inf;busy:1", false, true},
		{"new:1", false, true}, {"rif", false, true}, {";;", false, true},
	} {
		r := &reply{fields: map[string]string{"load": c.text}}
		if report, malformed := r.loadReport(); (report != nil) != c.valid || malformed != c.malformed {
			t.Errorf("%q: %+v, malformed %v", c.text, report, malformed)
		}
	}
}

// TestStatuses checks that a status with a level in its range is returned, and that any
// other is malformed.
func TestStatuses(t *testing.T) {
	for _, c := range []struct {
		name, text string
		kind       dispatch.StatusKind
		level      float64
		ok         bool
	}{
		{"", "", dispatch.AttemptAlive, 0, true}, {"share", "0.25", dispatch.AttemptProgress, 0.25, true}, {"share", "1", dispatch.AttemptProgress, 1, true},
		{"short", "96", dispatch.AttemptShortOfMemory, 96, true}, {"held", "1", dispatch.AttemptBlocked, 1, true}, {"held", "2", dispatch.AttemptBlocked, 2, true},
		{"share", "1.5", 0, 0, false}, {"share", "NaN", 0, 0, false}, {"share", "-1", 0, 0, false}, {"share", "", 0, 0, false},
		{"short", "Inf", 0, 0, false}, {"held", "3", 0, 0, false}, {"held", "0", 0, 0, false}, {"other", "1", 0, 0, false},
		{"", "1", 0, 0, false},
	} {
		r := &reply{fields: map[string]string{"note": c.name, "num": c.text}}
		kind, level, ok := r.status()
		if ok != c.ok || ok && (kind != c.kind || level != c.level) {
			t.Errorf("%s %s: %v %v %v", c.name, c.text, kind, level, ok)
		}
	}
}
