package httpfront

import (
	"errors"
	"fmt"
	"net/textproto"
	"strconv"
	"strings"

	"dewhill/internal/lineproto"
)

const (
	maxHeadBytes    = 16 << 10
	maxKeyBytes     = 256 // of an order key or an idempotency key
	maxDigits       = 15  // of a whole number
	requestIDLength = 16
)

// request is one HTTP message from a client.
type request struct {
	method      string
	path        string
	fields      textproto.MIMEHeader
	body        []byte
	closeAfter  bool // the client closes after the response
	arrivedAtMS float64
}

// requestError is the error for a malformed message. The server responds with the
// status and the reason and closes the connection.
type requestError struct {
	status int
	reason string
}

// Error returns the reason, which is also the text in the response.
func (e *requestError) Error() string { return e.reason }

func requestErrorf(status int, format string, args ...any) error {
	return &requestError{status, fmt.Sprintf(format, args...)}
}

// readRequest reads one message. The error for a malformed or too long message is a
// *requestError; the connection can't be used after it, because the start of the next
// message is not known. Other errors come from the connection.
func readRequest(buffer *lineproto.Buffer, maxBody int) (*request, error) {
	firstLine, fields, err := buffer.ReadHead()
	var malformed textproto.ProtocolError
	switch {
	case errors.Is(err, lineproto.ErrTooLong):
		return nil, requestErrorf(431, "head over %d bytes", maxHeadBytes)
	case errors.As(err, &malformed):
		return nil, requestErrorf(400, "malformed head")
	case err != nil:
		return nil, err
	}
	m := &request{fields: fields}
	if err := m.parseRequestLine(firstLine); err != nil {
		return nil, err
	}
	for _, value := range fields.Values("Connection") {
		if strings.Contains(strings.ToLower(value), "close") {
			m.closeAfter = true
		}
	}
	length, err := m.contentLength()
	if err != nil {
		return nil, err
	}
	if length > maxBody {
		return nil, requestErrorf(413, "body over %d bytes", maxBody)
	}
	body, err := buffer.ReadBytes(length)
	if err != nil {
		return nil, err
	}
	m.body = append([]byte(nil), body...)
	return m, nil
}

func (m *request) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], "/") {
		return requestErrorf(400, "malformed request line")
	}
	m.method = parts[0]
	m.path = parts[1]
	switch parts[2] {
	case "HTTP/1.1":
	case "HTTP/1.0":
		m.closeAfter = true
	default:
		return requestErrorf(505, "version not supported")
	}
	return nil
}

// contentLength returns the length of the body. A head whose body length is ambiguous
// is malformed, because an ambiguous length allows request smuggling: one message
// hidden in another.
func (m *request) contentLength() (int, error) {
	if _, found := m.fields["Transfer-Encoding"]; found {
		return 0, requestErrorf(411, "a body needs Content-Length")
	}
	for name := range m.fields {
		if strings.ContainsAny(name, " \t") { // textproto accepts these as distinct fields
			return 0, requestErrorf(400, "malformed field name")
		}
	}
	lengths := m.fields.Values("Content-Length")
	switch {
	case len(lengths) > 1:
		return 0, requestErrorf(400, "more than one Content-Length")
	case len(lengths) == 1:
		length, err := parseDigits(lengths[0])
		if err != nil {
			return 0, requestErrorf(400, "malformed Content-Length")
		}
		return length, nil
	case m.method == "POST":
		return 0, requestErrorf(411, "a body needs Content-Length")
	default:
		return 0, nil
	}
}

var errNotDigits = errors.New("not a whole number")

// parseDigits parses a non-negative decimal integer without a sign, of at most
// maxDigits digits.
func parseDigits(text string) (int, error) {
	if text == "" || len(text) > maxDigits || strings.Trim(text, "0123456789") != "" {
		return 0, errNotDigits
	}
	return strconv.Atoi(text)
}

// field returns the value of a header field, or an empty string if the field is
// absent. A repeated field is malformed.
func (m *request) field(name string) (string, error) {
	values := m.fields.Values(name)
	switch len(values) {
	case 0:
		return "", nil
	case 1:
		return values[0], nil
	default:
		return "", requestErrorf(400, "more than one %s", name)
	}
}

// numberField returns the value of a field that holds a number from 0 to maxValue, or
// 0 if the field is absent or empty.
func (m *request) numberField(name string, maxValue float64) (float64, error) {
	text, err := m.field(name)
	if err != nil || text == "" {
		return 0, err
	}
	number, err := strconv.ParseFloat(text, 64)
	inRange := number >= 0 && number <= maxValue
	if err != nil || !inRange {
		return 0, requestErrorf(400, "bad %s", name)
	}
	return number, nil
}

func (m *request) requestID() (string, error) {
	id, err := m.field(headerRequestID)
	if err != nil {
		return "", err
	}
	if !isRequestID(id) {
		return "", requestErrorf(400, "bad %s", headerRequestID)
	}
	return id, nil
}

func isRequestID(text string) bool {
	return len(text) == requestIDLength && strings.Trim(text, "0123456789abcdefABCDEF") == ""
}

// waitMS returns how long the client waits for the response, in milliseconds.
func (m *request) waitMS() (float64, error) {
	text, err := m.field(headerWaitMS)
	if err != nil {
		return 0, err
	}
	wait, err := parseDigits(text)
	if err != nil || wait <= 0 || wait > maxWaitMS {
		return 0, requestErrorf(400, "bad %s", headerWaitMS)
	}
	return float64(wait), nil
}

// orderKey returns the order key: requests with the same key are kept in order.
func (m *request) orderKey() (string, error) {
	key, err := m.field(headerKey)
	if err != nil {
		return "", err
	}
	if len(key) > maxKeyBytes {
		return "", requestErrorf(400, "bad %s", headerKey)
	}
	return key, nil
}

// idempotencyKey returns the key by which engines recognize a repeated request.
// The key is sent in a field of the engine's request, so it may contain only visible
// ASCII without the comma, which ends a field.
func (m *request) idempotencyKey(required bool) (string, error) {
	key, err := m.field(headerIdempotencyKey)
	if err != nil {
		return "", err
	}
	if key == "" && required {
		return "", requestErrorf(400, "no %s", headerIdempotencyKey)
	}
	invalid := func(r rune) bool { return r <= ' ' || r > '~' || r == ',' }
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, invalid) {
		return "", requestErrorf(400, "bad %s", headerIdempotencyKey)
	}
	return key, nil
}
