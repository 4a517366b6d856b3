package readbuffer

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"dewhill/internal/testprocess"

	"pgregory.net/rapid"
)

var testSizes = Sizes{InitialBytes: 1024, MaxIdleBytes: 4096}

// TestBytesArriveInOrder checks that the bytes are returned complete and in order
// for any sizes of reads and of consumed parts.
func TestBytesArriveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "sent")
		buffer := New(testprocess.NewChunkedConn(t, bytes.Clone(sent)), testSizes)
		var received []byte
		for {
			n := rapid.IntRange(1, 6_000).Draw(t, "wanted")
			err := buffer.FillTo(n)
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil || buffer.Buffered() < n || len(buffer.Peek()) != buffer.Buffered() {
				t.Fatalf("FillTo: error %v, %d bytes buffered of %d wanted, Peek returns %d",
					err, buffer.Buffered(), n, len(buffer.Peek()))
			}
			received = append(received, buffer.Next(n)...)
		}
		received = append(received, buffer.Peek()...) // the remainder, shorter than n
		if !bytes.Equal(received, sent) {
			t.Fatalf("received %d bytes that differ from the %d bytes sent", len(received), len(sent))
		}
	})
}

// errBroken is the error of a scriptedSource without further texts.
var errBroken = errors.New("broken")

// scriptedSource returns the next of its texts for each read, then errBroken.
type scriptedSource struct{ texts []string }

func (s *scriptedSource) Read(p []byte) (int, error) {
	if len(s.texts) == 0 {
		return 0, errBroken
	}
	n := copy(p, s.texts[0])
	s.texts = s.texts[1:]
	return n, nil
}

// TestFillReadsOnce checks that Fill reads exactly once even if bytes are
// buffered, that FillTo does not read if enough bytes are buffered, and that an
// error leaves the buffered bytes unchanged.
func TestFillReadsOnce(t *testing.T) {
	source := &scriptedSource{[]string{"ab", "cd", "ef"}}
	buffer := New(source, testSizes)
	for _, step := range []struct {
		read     func() error
		err      error
		buffered string
	}{
		{buffer.Fill, nil, "ab"},
		{buffer.Fill, nil, "abcd"},
		{func() error { return buffer.FillTo(4) }, nil, "abcd"},
		{func() error { return buffer.FillTo(5) }, nil, "abcdef"},
		{func() error { return buffer.FillTo(7) }, errBroken, "abcdef"},
		{buffer.Fill, errBroken, "abcdef"},
	} {
		if err := step.read(); !errors.Is(err, step.err) || string(buffer.Peek()) != step.buffered {
			t.Errorf("error %v, buffered %q; want error %v, buffered %q",
				err, buffer.Peek(), step.err, step.buffered)
		}
	}
}

// TestReadsWithoutProgressEnd checks that FillTo does not loop forever on a source
// that returns neither bytes nor an error.
func TestReadsWithoutProgressEnd(t *testing.T) {
	buffer := New(&scriptedSource{[]string{""}}, testSizes)
	if err := buffer.FillTo(1); !errors.Is(err, io.ErrNoProgress) {
		t.Errorf("FillTo: error %v, want %v", err, io.ErrNoProgress)
	}
}

// endlessSource fills the slice of each read completely.
type endlessSource struct{}

func (endlessSource) Read(p []byte) (int, error) { return len(p), nil }

// TestMemory checks that a buffer allocates nothing before its first read, that
// it does not grow while bytes are consumed as fast as they are read, and that a
// buffer that has grown is released once it is empty.
func TestMemory(t *testing.T) {
	buffer := New(endlessSource{}, testSizes)
	if buffer.Cap() != 0 {
		t.Errorf("capacity is %d bytes before the first read", buffer.Cap())
	}
	for range 100 {
		if err := buffer.FillTo(100); err != nil {
			t.Fatal(err)
		}
		buffer.Next(buffer.Buffered())
	}
	if buffer.Cap() != testSizes.InitialBytes {
		t.Errorf("capacity is %d bytes for short messages", buffer.Cap())
	}
	if err := buffer.FillTo(100_000); err != nil {
		t.Fatal(err)
	}
	if buffer.Cap() < 100_000 || buffer.Cap() > 300_000 {
		t.Errorf("capacity is %d bytes for a message of 100,000 bytes", buffer.Cap())
	}
	buffer.Next(buffer.Buffered())
	if err := buffer.Fill(); err != nil {
		t.Fatal(err)
	}
	if buffer.Cap() != testSizes.InitialBytes {
		t.Errorf("capacity is %d bytes after a large message was consumed", buffer.Cap())
	}
}

// TestSpaceIsReused checks that the space of consumed bytes is reused for further
// input when a part of a message stays buffered each time.
func TestSpaceIsReused(t *testing.T) {
	source := &scriptedSource{}
	for range 1000 {
		source.texts = append(source.texts, string(make([]byte, 300)))
	}
	buffer := New(source, testSizes)
	for range 1000 {
		if err := buffer.Fill(); err != nil {
			t.Fatal(err)
		}
		buffer.Next(max(0, buffer.Buffered()-100))
	}
	if buffer.Cap() != testSizes.InitialBytes {
		t.Errorf("capacity is %d bytes, want %d", buffer.Cap(), testSizes.InitialBytes)
	}
}
