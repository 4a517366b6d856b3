package subset

import (
	"bytes"
	"os"
	"testing"

	"github.com/BurntSushi/toml"
)

// Operators write the file that the -fleet flag names, so its keys must not change. The
// golden file has every key.
func TestCompatOptions(t *testing.T) {
	text, err := os.ReadFile("testdata/compat/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	options, err := ParseOptions("fleet.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	if want := (Options{Size: 7}); options != want {
		t.Errorf("options %+v, want %+v", options, want)
	}
	var encoded bytes.Buffer
	if err := toml.NewEncoder(&encoded).Encode(options); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(encoded.Bytes(), text) {
		t.Errorf("encoded again:\n%s\nwant:\n%s", encoded.Bytes(), text)
	}
}
