package httpfront

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/lineproto"
	"dewhill/internal/testprocess"
)

// TestRequestsInPieces checks that messages are parsed correctly however their bytes are
// split across reads.
func TestRequestsInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all strings.Builder
		bodies := rapid.SliceOfN(rapid.StringN(0, 300, 5000), 1, 4).Draw(t, "bodies")
		for i, b := range bodies {
			fmt.Fprintf(&all, "POST /api/v2/c%d HTTP/1.1\r\nReq-Id: %d\r\nContent-Length: %d\r\n\r\n%s", i, i, len(b), b)
		}
		in := lineproto.New(testprocess.NewChunkedConn(t, []byte(all.String())), maxHeadBytes)
		for i, b := range bodies {
			c, err := readRequest(in, maxBodyBytes)
			if err != nil || string(c.body) != b || c.path != fmt.Sprintf("/api/v2/c%d", i) || c.fields.Get("Req-Id") != fmt.Sprint(i) {
				t.Fatalf("message %d: parsed %+v, error %v", i, c, err)
			}
		}
		if in.Buffered() != 0 {
			t.Fatalf("%d bytes are left after the last message", in.Buffered())
		}
	})
}

// TestMalformedRequests checks that malformed input gives an error or complete messages,
// never a panic or a body over the limit.
func TestMalformedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := lineproto.New(testprocess.NewChunkedConn(t, testprocess.MalformedMessage(t, postMessage, postMessage+postMessage, "\r\n\r\n"+postMessage)), maxHeadBytes)
		for range 10 {
			c, err := readRequest(in, maxBodyBytes)
			if err != nil {
				return
			}
			if len(c.body) > maxBodyBytes || !strings.HasPrefix(c.path, "/") {
				t.Fatalf("message outside the limits: %+v", c)
			}
		}
	})
}

const postMessage = "POST /api/v2/load HTTP/1.1\r\nHost: x\r\nReq-Id: 9b1f03aa5c7e2d41\r\nContent-Length: 5\r\n\r\nhello"

// TestBufferShrinks checks that the memory of a large message is released.
func TestBufferShrinks(t *testing.T) {
	big := fmt.Sprintf("POST /x HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", 1<<19, strings.Repeat("x", 1<<19))
	in := lineproto.New(strings.NewReader(big+postMessage), maxHeadBytes)
	for range 2 {
		if _, err := readRequest(in, maxBodyBytes); err != nil {
			t.Fatal(err)
		}
	}
	if err := in.WaitForData(); !errors.Is(err, io.EOF) {
		t.Errorf("after the last message: error %v, want EOF", err)
	}
	if in.Cap() > 64<<10 {
		t.Errorf("the buffer keeps %d bytes", in.Cap())
	}
}
