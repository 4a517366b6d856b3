// Package lineproto reads and writes messages that consist of lines and of
// byte sequences of known length, as in HTTP/1.1 and the engines' protocol.
//
//	buffer.go   reads lines, heads and byte sequences of known length
//	message.go  composes a message and sends it in one write
//	socket.go   checks a connection for unread input without consuming the input
//
// Lines and heads are parsed by net/textproto.
package lineproto

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"sync"

	"dewhill/internal/readbuffer"
)

// ErrTooLong is returned for a line, head or body over its limit.
var ErrTooLong = errors.New("message too long")

// parserBufferBytes is the buffer size of a pooled parser. Longer lines are read
// in parts.
const parserBufferBytes = 1024

// bufferSizes are sized for requests and replies of a few hundred bytes.
var bufferSizes = readbuffer.Sizes{InitialBytes: 4096, MaxIdleBytes: 16 << 10}

// Buffer buffers the input of one connection and reads messages from it. A Buffer
// is not safe for concurrent use.
type Buffer struct {
	readbuffer.Buffer
	maxLineBytes int // limits heads as well as lines
}

// New returns a buffer that reads from source. Reading a line
// or head longer than maxLineBytes fails with ErrTooLong.
func New(source io.Reader, maxLineBytes int) *Buffer {
	return &Buffer{Buffer: readbuffer.New(source, bufferSizes), maxLineBytes: maxLineBytes}
}

// WaitForData returns once at least one byte is buffered.
func (b *Buffer) WaitForData() error { return b.FillTo(1) }

// ReadLine returns the next line without its line ending.
func (b *Buffer) ReadLine() (string, error) {
	data, err := b.readUntil(lineLength)
	if err != nil {
		return "", err
	}
	var line string
	err = parse(data, func(r *textproto.Reader) error {
		line, err = r.ReadLine()
		return err
	})
	return line, err
}

// ReadHead reads a head up to its empty line and returns the first line and the
// header fields. The error for a malformed head is a textproto.ProtocolError.
func (b *Buffer) ReadHead() (firstLine string, fields textproto.MIMEHeader, err error) {
	if err := b.skipEmptyLines(); err != nil {
		return "", nil, err
	}
	data, err := b.readUntil(headLength)
	if err != nil {
		return "", nil, err
	}
	err = parse(data, func(r *textproto.Reader) error {
		firstLine, err = r.ReadLine()
		if err != nil {
			return err
		}
		fields, err = r.ReadMIMEHeader()
		return err
	})
	return firstLine, fields, err
}

// skipEmptyLines discards empty lines before a head (RFC 9112, section 2.2).
func (b *Buffer) skipEmptyLines() error {
	for {
		if err := b.WaitForData(); err != nil {
			return err
		}
		next := b.Peek()[0]
		if next != '\r' && next != '\n' {
			return nil
		}
		b.Next(1)
	}
}

// ReadBytes returns the next n bytes. The slice is valid until the next call.
func (b *Buffer) ReadBytes(n int) ([]byte, error) {
	err := b.FillTo(n)
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return b.Next(n), nil
}

// readUntil calls length with the buffered bytes, reading more as long as length
// returns a negative number, then consumes and returns that many bytes.
func (b *Buffer) readUntil(length func([]byte) int) ([]byte, error) {
	for {
		n := length(b.Peek())
		if n > b.maxLineBytes || n < 0 && b.Buffered() > b.maxLineBytes {
			return nil, fmt.Errorf("over %d bytes: %w", b.maxLineBytes, ErrTooLong)
		}
		if n >= 0 {
			return b.Next(n), nil
		}
		err := b.Fill()
		if errors.Is(err, io.EOF) && b.Buffered() > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, err
		}
	}
}

// lineLength returns the length of the first line including its line ending, or
// -1 if data does not contain a line ending.
func lineLength(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	if end < 0 {
		return -1
	}
	return end + 1
}

// headLength returns the length of the head including its empty line, or -1 if
// data does not contain the empty line.
func headLength(data []byte) int {
	length := 0
	for {
		end := bytes.IndexByte(data[length:], '\n')
		if end < 0 {
			return -1
		}
		line := bytes.TrimSuffix(data[length:length+end], []byte("\r"))
		length += end + 1
		if len(line) == 0 {
			return length
		}
	}
}

// parser is a textproto.Reader over a byte slice. Parsers are pooled, because a
// connection needs a parser only while it parses.
type parser struct {
	data   bytes.Reader
	buffer *bufio.Reader
	text   textproto.Reader
}

var parsers = sync.Pool{New: func() any {
	p := &parser{}
	p.buffer = bufio.NewReaderSize(&p.data, parserBufferBytes)
	p.text.R = p.buffer
	return p
}}

func parse(data []byte, read func(*textproto.Reader) error) error {
	p := parsers.Get().(*parser)
	defer parsers.Put(p)
	p.data.Reset(data)
	p.buffer.Reset(&p.data)
	return read(&p.text)
}
