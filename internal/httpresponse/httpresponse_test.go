package httpresponse

import (
	"bytes"
	"strings"
	"testing"
)

// TestStatusLines checks the status line for each status code in use.
func TestStatusLines(t *testing.T) {
	want := map[int]string{
		200: "HTTP/1.1 200 OK",
		400: "HTTP/1.1 400 Bad Request",
		404: "HTTP/1.1 404 Not Found",
		405: "HTTP/1.1 405 Method Not Allowed",
		408: "HTTP/1.1 408 Request Timeout",
		409: "HTTP/1.1 409 Conflict",
		410: "HTTP/1.1 410 Gone",
		411: "HTTP/1.1 411 Length Required",
		413: "HTTP/1.1 413 Content Too Large",
		431: "HTTP/1.1 431 Request Header Fields Too Large",
		502: "HTTP/1.1 502 Bad Gateway",
		503: "HTTP/1.1 503 Service Unavailable",
		504: "HTTP/1.1 504 Gateway Timeout",
		505: "HTTP/1.1 505 HTTP Version Not Supported",
	}
	if len(reasons) != len(want) {
		t.Errorf("%d status codes have a reason phrase, want %d", len(reasons), len(want))
	}
	for status, line := range want {
		var written bytes.Buffer
		if err := (&Response{Status: status}).Write(&written); err != nil {
			t.Fatal(err)
		}
		if first, _, _ := strings.Cut(written.String(), "\r\n"); first != line {
			t.Errorf("status line %q, want %q", first, line)
		}
	}
}

// TestWrite checks the bytes of responses with and without optional parts.
func TestWrite(t *testing.T) {
	for _, test := range []struct {
		response Response
		want     string
	}{
		{
			Response{Status: 200, Body: []byte("{}")},
			"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}",
		},
		{
			Response{
				Status:     503,
				Fields:     []Field{{"Srv-Wait-Ms", "500"}, {"X-Other", "b"}},
				Body:       []byte(`{"err":"Rejected"}`),
				CloseAfter: true,
			},
			"HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 18\r\n" +
				"Srv-Wait-Ms: 500\r\nX-Other: b\r\nConnection: close\r\n\r\n" + `{"err":"Rejected"}`,
		},
	} {
		var written bytes.Buffer
		if err := test.response.Write(&written); err != nil {
			t.Fatal(err)
		}
		if written.String() != test.want {
			t.Errorf("wrote %q, want %q", written.String(), test.want)
		}
	}
}
