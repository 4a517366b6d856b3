package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// The simulator sends lines like those of the golden file and must get the same
// replies. A change of the decision logic may change these replies, but not their
// format, which the golden files of internal/simproto check line by line.
func TestCompatSession(t *testing.T) {
	read := func(file string) []byte {
		text, err := os.ReadFile(filepath.Join("testdata", "compat", file))
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	requests, want := read("requests.jsonl"), read("replies.jsonl")
	var got bytes.Buffer
	if err := serve(bytes.NewReader(requests), &got); err != nil || !bytes.Equal(got.Bytes(), want) {
		t.Errorf("error %v, replies\n%sgolden file\n%s", err, got.Bytes(), want)
	}
}
