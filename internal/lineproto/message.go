package lineproto

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// maxPooledBytes is the largest capacity of a message that is returned to the
// pool.
const maxPooledBytes = 64 << 10

// Message accumulates the bytes of a message before it is sent.
type Message struct {
	data bytes.Buffer
}

// Line appends a formatted line and CRLF.
func (m *Message) Line(format string, args ...any) {
	fmt.Fprintf(&m.data, format, args...)
	m.data.WriteString("\r\n")
}

// Bytes appends data unchanged.
func (m *Message) Bytes(data []byte) { m.data.Write(data) }

var messages = sync.Pool{New: func() any { return &Message{} }}

// Write sends the message that compose builds in one write; writing line by line
// would cost a system call and a packet for each line. Write returns the number of
// bytes written to destination.
func Write(destination io.Writer, compose func(*Message)) (int, error) {
	m := messages.Get().(*Message)
	defer func() {
		if m.data.Cap() <= maxPooledBytes {
			m.data.Reset()
			messages.Put(m)
		}
	}()
	compose(m)
	return destination.Write(m.data.Bytes())
}

// Len returns the number of bytes appended so far.
func (m *Message) Len() int { return m.data.Len() }
