// Package httpresponse writes HTTP/1.1 responses with a JSON body.
package httpresponse

import (
	"io"

	"dewhill/internal/lineproto"
)

// reasons maps each status code in use to its reason phrase (RFC 9110, section
// 15). The phrase that net/http has for 413 is an older one.
var reasons = map[int]string{
	200: "OK",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	408: "Request Timeout",
	409: "Conflict",
	410: "Gone",
	411: "Length Required",
	413: "Content Too Large",
	431: "Request Header Fields Too Large",
	502: "Bad Gateway",
	503: "Service Unavailable",
	504: "Gateway Timeout",
	505: "HTTP Version Not Supported",
}

// Response is a response with a JSON body.
type Response struct {
	Status     int
	Fields     []Field // in addition to Content-Type, Content-Length and Connection
	Body       []byte
	CloseAfter bool // the server closes the connection after this response
}

// Field is an HTTP header field.
type Field struct {
	Name  string
	Value string
}

// Write sends the response in one write.
func (r *Response) Write(destination io.Writer) error {
	_, err := lineproto.Write(destination, func(m *lineproto.Message) {
		m.Line("HTTP/1.1 %d %s", r.Status, reasons[r.Status])
		m.Line("Content-Type: application/json")
		m.Line("Content-Length: %d", len(r.Body))
		for _, field := range r.Fields {
			m.Line("%s: %s", field.Name, field.Value)
		}
		if r.CloseAfter {
			m.Line("Connection: close")
		}
		m.Line("")
		m.Bytes(r.Body)
	})
	return err
}
