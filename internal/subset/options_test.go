package subset

import (
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "dewhill/internal/testprocess" // fixes rapid's seed
)

func TestParseOptions(t *testing.T) {
	for _, c := range []struct {
		name, text string
		wantError  string // empty: none
		wantSize   int
	}{
		{"empty file", "", "", AutoSize},
		{"size", "per_front = 4\n", "", 4},
		{"off", "per_front = 0\n", "", 0},
		{"negative", "\nper_front = -1\n", "per_front is -1", 0},
		{"too large", "per_front = 65\n", "must be 0 to 64", 0},
		{"unknown key", "per_fornt = 4\n", `unknown key "per_fornt"`, 0},
		{"malformed line", "# a comment\nper_front = = 4\n", "fleet.toml: line 2:", 0},
		{"wrong type", "per_front = \"six\"\n", "fleet.toml", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			options, err := ParseOptions("fleet.toml", []byte(c.text))
			if c.wantError != "" {
				if err == nil || !strings.Contains(err.Error(), c.wantError) {
					t.Errorf("error %v, want one that contains %q", err, c.wantError)
				}
				return
			}
			if err != nil || options.Size != c.wantSize {
				t.Errorf("size %d, error %v, want size %d", options.Size, err, c.wantSize)
			}
		})
	}
}

// A truncated valid file followed by arbitrary text gives options in range or an error
// that names the file, and never a panic.
func TestParseOptionsMalformedText(t *testing.T) {
	valid := "# subsets\nper_front = 8\n"
	rapid.Check(t, func(t *rapid.T) {
		text := valid[:rapid.IntRange(0, len(valid)).Draw(t, "cut")] + rapid.String().Draw(t, "suffix")
		options, err := ParseOptions("fleet.toml", []byte(text))
		if err != nil && !strings.HasPrefix(err.Error(), "fleet.toml: ") {
			t.Fatalf("%q: error %v does not name the file", text, err)
		}
		if err == nil && (options.Size < AutoSize || options.Size > MaxSize) {
			t.Fatalf("%q: per_front %d was accepted", text, options.Size)
		}
	})
}
