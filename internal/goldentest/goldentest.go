// Package goldentest compares encodings with golden files, to test the compatibility between
// versions of this program: during an upgrade, front ends of two versions exchange messages, and a
// new version reads the files that the previous version wrote to disk.
//
// The golden files are in testdata/compat of the package under test. Each line is the name of a
// case, a space, and the encoded bytes in hexadecimal. No code in this module writes these files.
package goldentest

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// Case is a value and the name of the golden line that holds its encoding.
type Case[T any] struct {
	Name  string
	Value T
}

// Check compares values with the lines of a golden file in both directions: the
// golden bytes decode to the value, and both the value and the decoded value
// encode to the golden bytes. The file must have one line for each case.
func Check[T any](t *testing.T, file string, cases []Case[T],
	encode func(T) []byte, decode func([]byte) (T, error),
) {
	t.Helper()
	golden := Read(t, file)
	if len(golden) != len(cases) {
		t.Errorf("%s has %d lines for %d cases", file, len(golden), len(cases))
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			want, found := golden[c.Name]
			if !found {
				t.Errorf("%s has no line for this case", file)
			}
			if got := encode(c.Value); !bytes.Equal(got, want) {
				t.Errorf("encoded %x, golden %x", got, want)
			}
			got, err := decode(want)
			if err != nil || !reflect.DeepEqual(got, c.Value) {
				t.Fatalf("decoded\n%+v, %v, want\n%+v", got, err, c.Value)
			}
			if again := encode(got); !bytes.Equal(again, want) {
				t.Errorf("encoded %x after decoding, golden %x", again, want)
			}
		})
	}
}

// Read returns the encodings of a golden file, by the names of their cases.
func Read(t *testing.T, file string) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", file))
	if err != nil {
		t.Fatal(err)
	}
	encodings := map[string][]byte{}
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		encoding, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		encodings[name] = encoding
	}
	return encodings
}
