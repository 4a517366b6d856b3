package engineclient

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"

	"dewhill/control"
	"dewhill/internal/dispatch"
	"dewhill/internal/lineproto"
)

// The engines' line protocol. Its verbs and field names appear in this file only.

// The limits on the replies of an engine.
const (
	maxLineBytes   = 4 << 10
	maxPageBytes   = 6000
	maxPages       = 1024
	maxResultBytes = 48000 // all pages together
	columnsPerRow  = 3
	lengthBits     = 31 // size of the integers in lengths and counts
)

var crlf = []byte("\r\n")

// requestLine returns the first line of a request, which the statement follows. The
// line states the time that is left until the request's deadline at nowMS, the time
// of the write, because the request may have waited for its connection.
func requestLine(r *request, nowMS float64) string {
	key := ""
	if r.idempotencyKey != "" {
		key = ",i=" + r.idempotencyKey
	}
	remainingMS := max(1, int(r.deadlineMS-nowMS))
	return fmt.Sprintf("PULL %s c=%s,w=%d%s,nice=%d %d", r.id, r.class, remainingMS, key, r.priority, len(r.statement))
}

func cancelLine(id string) string                 { return "KILL " + id }
func priorityLine(id string, priority int) string { return fmt.Sprintf("BOOST %s %d", id, priority) }
func pageLine(id string, page int) string         { return fmt.Sprintf("SCROLL %s %d", id, page) }
func discardPagesLine(id string) string           { return "DISCARD " + id }
func probeLine(id string) string                  { return "METER " + id }
func probeID(number int) string                   { return fmt.Sprintf("m%d", number) }

// replyKind is the meaning of a reply for its request or probe.
type replyKind int

// The kinds of replies. Verbs that are not in replyKinds are replyUnknown.
const (
	replyUnknown   replyKind = iota
	replyResult              // the request is complete; this is page 0 of its result
	replyRejected            // the engine is at capacity: the request never ran
	replyError               // the request failed and may have run, or a page is lost
	replyExpired             // the request expired before it started: it never ran
	replyStatus              // the request is still running
	replyPage                // a further page of the result
	replyHealthy             // reply to a probe
	replyUnhealthy           // reply to a probe
)

var replyKinds = map[string]replyKind{
	"ACK":    replyResult,
	"AGAIN":  replyRejected,
	"EIO":    replyError,
	"STALE":  replyExpired,
	"EVENT":  replyStatus,
	"BLOCK":  replyPage,
	"READY":  replyHealthy,
	"AILING": replyUnhealthy,
}

// The names of a reply's fields.
const (
	fieldPageCount   = "batches"
	fieldPageNumber  = "batch"
	fieldWorkMS      = "cpu"
	fieldMemoryMB    = "used"
	fieldLoadReport  = "load"
	fieldStatus      = "note"
	fieldStatusLevel = "num"
)

// reply is one reply from an engine.
type reply struct {
	id     string // of the request or probe
	kind   replyKind
	verb   string // as received
	fields map[string]string
	body   []byte
}

// errMalformedReply is wrapped by all errors about malformed replies.
var errMalformedReply = errors.New("malformed reply")

// readReply reads one reply: a line ID VERB FIELDS LENGTH, then LENGTH bytes and a
// line end.
func readReply(buffer *lineproto.Buffer) (*reply, error) {
	line, err := buffer.ReadLine()
	if err != nil {
		return nil, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 4 || parts[0] == "" {
		return nil, fmt.Errorf("%w: %.40q", errMalformedReply, line)
	}
	r := &reply{id: parts[0], kind: replyKinds[parts[1]], verb: parts[1]}
	r.fields, err = parseFields(parts[2])
	if err != nil {
		return nil, err
	}
	length, err := strconv.ParseUint(parts[3], 10, lengthBits)
	if err != nil || length > maxPageBytes {
		return nil, fmt.Errorf("%w: length %.20q", errMalformedReply, parts[3])
	}
	r.body, err = readBody(buffer, int(length))
	return r, err
}

func readBody(buffer *lineproto.Buffer, length int) ([]byte, error) {
	body, err := buffer.ReadBytes(length + len(crlf))
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(body[length:], crlf) {
		return nil, fmt.Errorf("%w: no line end after %d bytes", errMalformedReply, length)
	}
	return append([]byte(nil), body[:length]...), nil
}

func parseFields(text string) (map[string]string, error) {
	if text == "-" {
		return nil, nil
	}
	fields := map[string]string{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, found := strings.Cut(part, "=")
		if _, repeated := fields[name]; !found || name == "" || repeated {
			return nil, fmt.Errorf("%w: field %.40q", errMalformedReply, part)
		}
		fields[name] = value
	}
	return fields, nil
}

// positiveField returns the value of a field that must be an integer of at least 1.
func (r *reply) positiveField(name string) (int, error) {
	n, err := strconv.ParseUint(r.fields[name], 10, lengthBits)
	if err != nil || n < 1 {
		return 0, fmt.Errorf("%w: %s %.20q", errMalformedReply, name, r.fields[name])
	}
	return int(n), nil
}

// numberField returns the value of a field that holds a finite number of at least 0,
// and 0 for any other field.
func (r *reply) numberField(name string) float64 {
	number, ok := parseNumber(r.fields[name])
	if !ok {
		return 0
	}
	return number
}

// parseNumber parses a finite number of at least 0.
func parseNumber(text string) (float64, bool) {
	number, err := strconv.ParseFloat(text, 64)
	ok := err == nil && number >= 0 && !math.IsInf(number, 0)
	return number, ok
}

// status returns the status of an attempt; ok is false if the reply is malformed. A
// level out of range counts as malformed, because package control bases decisions
// about attempts on the level.
func (r *reply) status() (kind dispatch.StatusKind, level float64, ok bool) {
	name := r.fields[fieldStatus]
	text := r.fields[fieldStatusLevel]
	if name == "" && text == "" {
		return dispatch.AttemptAlive, 0, true
	}
	level, ok = parseNumber(text)
	if !ok {
		return 0, 0, false
	}
	switch name {
	case "share":
		return dispatch.AttemptProgress, level, level <= 1
	case "short":
		return dispatch.AttemptShortOfMemory, level, true
	case "held":
		return dispatch.AttemptBlocked, level, level == 1 || level == 2
	default:
		return 0, 0, false
	}
}

// absent is the value of numbers that a load report does not contain.
const absent = -1

// loadReport returns the reply's load report, such as inflight:7;util:0.61, or nil if
// there is none. A report with a malformed value, or without any known name, is
// malformed as a whole, because an engine at capacity could look idle by the rest of
// its report.
func (r *reply) loadReport() (report *control.LoadReport, malformed bool) {
	text := r.fields[fieldLoadReport]
	if text == "" {
		return nil, false
	}
	report = &control.LoadReport{
		InFlight:       absent,
		Queued:         absent,
		BusyFraction:   absent,
		MemoryFraction: absent,
		DiskFraction:   absent,
	}
	known := 0
	for part := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(part, ":")
		target := loadReportValue(report, name)
		if target == nil {
			continue
		}
		number, ok := parseNumber(value)
		if !ok {
			return nil, true
		}
		*target = number
		known++
	}
	if known == 0 {
		return nil, true
	}
	return report, false
}

// loadReportValue returns a pointer to the field for a name in a load report, or nil
// if the name is unknown.
func loadReportValue(report *control.LoadReport, name string) *float64 {
	switch name {
	case "inflight", "rif":
		return &report.InFlight
	case "queue", "q":
		return &report.Queued
	case "util", "busy":
		return &report.BusyFraction
	case "x0":
		return &report.MemoryFraction
	case "x1":
		return &report.DiskFraction
	default:
		return nil
	}
}

// checkPage returns an error unless a page consists of complete rows in UTF-8. The
// JSON encoding for the client would replace invalid bytes, and the client could not
// tell a truncated row from a complete one.
func checkPage(page []byte) error {
	if len(page) == 0 {
		return nil
	}
	if !utf8.Valid(page) {
		return fmt.Errorf("%w: page is not UTF-8", errMalformedReply)
	}
	if page[len(page)-1] != '\n' {
		return fmt.Errorf("%w: page ends within a row", errMalformedReply)
	}
	for row := range bytes.SplitSeq(page[:len(page)-1], []byte("\n")) {
		if bytes.Count(row, []byte("\t")) != columnsPerRow-1 {
			return fmt.Errorf("%w: row without %d columns", errMalformedReply, columnsPerRow)
		}
	}
	return nil
}
