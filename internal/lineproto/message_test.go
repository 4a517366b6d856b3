package lineproto

import (
	"testing"
)

// countingWriter counts calls of Write and records the text written.
type countingWriter struct {
	writes int
	text   string
}

func (c *countingWriter) Write(p []byte) (int, error) {
	c.writes++
	c.text += string(p)
	return len(p), nil
}

// TestWriteIsOneWrite checks that a message of several lines is sent in one write
// and that a message from the pool starts empty.
func TestWriteIsOneWrite(t *testing.T) {
	for range 2 {
		var c countingWriter
		n, err := Write(&c, func(m *Message) {
			for range 3 {
				m.Line("line")
			}
			m.Bytes([]byte("body"))
		})
		if err != nil || n != len(c.text) || c.writes != 1 || c.text != "line\r\nline\r\nline\r\nbody" {
			t.Errorf("%d writes of %q, returned %d and error %v; want one write", c.writes, c.text, n, err)
		}
	}
}
