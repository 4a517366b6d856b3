// Package readbuffer buffers the input of a connection until it is parsed.
package readbuffer

import "io"

// minFreeBytes is the minimum free capacity before each read.
const minFreeBytes = 512

// Sizes configures the memory that a buffer allocates and keeps.
type Sizes struct {
	InitialBytes int // capacity of the first allocation
	MaxIdleBytes int // a larger buffer is released once it is empty, as connections are long-lived
}

// Buffer holds bytes that were read from its source and have not been consumed.
// A buffer grows as needed and is compacted in place. It is not safe for
// concurrent use.
type Buffer struct {
	source   io.Reader
	sizes    Sizes
	data     []byte
	consumed int // number of bytes at the start of data that were consumed
}

// New returns an empty buffer that reads from source. No memory is allocated
// before the first read.
func New(source io.Reader, sizes Sizes) Buffer {
	return Buffer{source: source, sizes: sizes}
}

// Buffered returns the number of bytes that can be consumed without a read.
func (b *Buffer) Buffered() int { return len(b.data) - b.consumed }

// Cap returns the capacity of the buffer in bytes.
func (b *Buffer) Cap() int { return cap(b.data) }

// Fill reads once from the source, even if bytes are already buffered.
func (b *Buffer) Fill() error {
	b.reserve()
	n, err := b.source.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		return nil
	}
	if err == nil {
		return io.ErrNoProgress
	}
	return err
}

// FillTo reads until at least n bytes are buffered. An error of the source is
// returned unchanged; bytes read before the error stay buffered.
func (b *Buffer) FillTo(n int) error {
	for b.Buffered() < n {
		if err := b.Fill(); err != nil {
			return err
		}
	}
	return nil
}

// Peek returns the buffered bytes without consuming them. The slice is valid until
// the next read.
func (b *Buffer) Peek() []byte { return b.data[b.consumed:] }

// Next consumes n buffered bytes and returns them. The slice is valid until the
// next read. At least n bytes must be buffered.
func (b *Buffer) Next(n int) []byte {
	data := b.data[b.consumed : b.consumed+n]
	b.consumed += n
	return data
}

// reserve makes space for a read. It reuses the space of consumed bytes before it
// allocates more.
func (b *Buffer) reserve() {
	if b.consumed > 0 {
		remaining := copy(b.data, b.data[b.consumed:])
		b.data = b.data[:remaining]
		b.consumed = 0
	}
	if len(b.data) == 0 && cap(b.data) > b.sizes.MaxIdleBytes {
		b.data = nil
	}
	if cap(b.data)-len(b.data) < minFreeBytes {
		larger := make([]byte, 0, max(b.sizes.InitialBytes, 2*cap(b.data)))
		b.data = append(larger, b.data...)
	}
}
