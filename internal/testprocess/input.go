package testprocess

import (
	"flag"
	"io"
	"net"
	"time"

	"pgregory.net/rapid"
)

// rapidSeed is the fixed seed of the tests with random inputs, so that each run gives the same
// result.
const rapidSeed = "20261201"

func init() {
	if err := flag.Set("rapid.seed", rapidSeed); err != nil {
		panic(err)
	}
}

// ChunkedConn is a connection from which fixed data is read in chunks of random sizes, followed by
// io.EOF. Written data is discarded.
type ChunkedConn struct {
	net.Conn
	t    *rapid.T
	data []byte
}

// NewChunkedConn returns a connection from which data is read.
func NewChunkedConn(t *rapid.T, data []byte) *ChunkedConn { return &ChunkedConn{t: t, data: data} }

// Read reads the next chunk.
func (c *ChunkedConn) Read(p []byte) (int, error) {
	if len(c.data) == 0 {
		return 0, io.EOF
	}
	n := rapid.IntRange(1, min(len(p), len(c.data))).Draw(c.t, "cut")
	copy(p, c.data[:n])
	c.data = c.data[n:]
	return n, nil
}

// Write discards the data.
func (c *ChunkedConn) Write(p []byte) (int, error) { return len(p), nil }

// SetDeadline does nothing: reads never block.
func (c *ChunkedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline does nothing: reads never block.
func (c *ChunkedConn) SetReadDeadline(time.Time) error { return nil }

// Close does nothing.
func (c *ChunkedConn) Close() error { return nil }

// MalformedMessage draws one of the messages, truncates it or changes, inserts or removes some of
// its bytes, and returns the result.
func MalformedMessage(t *rapid.T, messages ...string) []byte {
	b := []byte(rapid.SampledFrom(messages).Draw(t, "message"))
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		if len(b) == 0 {
			break
		}
		i := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		switch rapid.IntRange(0, 3).Draw(t, "change") {
		case 0:
			b = b[:i]
		case 1:
			b[i] = rapid.Byte().Draw(t, "byte")
		case 2:
			b = append(b[:i:i], append(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "insert"), b[i:]...)...)
		case 3:
			b = append(b[:i:i], b[min(len(b), i+5):]...)
		}
	}
	return b
}
