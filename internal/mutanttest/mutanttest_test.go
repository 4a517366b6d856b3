package mutanttest

import (
	"errors"
	"testing"
)

// TestApply checks that apply replaces a text that occurs exactly once, and fails for any other text.
func TestApply(t *testing.T) {
	cases := []struct {
		name, source, want string
		err                error
	}{
		{name: "one occurrence", source: "if guard {", want: "if true || guard {"},
		{name: "no occurrence", source: "if other {", err: errNotUnique},
		{name: "two occurrences", source: "if guard { if guard {", err: errNotUnique},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			mutant := Mutant{Name: "no guard", File: "file.go", Old: "if guard {", New: "if true || guard {"}
			got, err := mutant.apply(c.source)
			if got != c.want || !errors.Is(err, c.err) {
				t.Errorf("got %q, error %v, want %q, error %v", got, err, c.want, c.err)
			}
		})
	}
}

// TestExpectKilled checks that ExpectKilled accepts a mutant that fails a test: TestApply must fail if
// apply returns the source unchanged.
func TestExpectKilled(t *testing.T) {
	ExpectKilled(t, Mutant{
		Name: "no change",
		File: "internal/mutanttest/mutanttest.go",
		Old:  "return strings.Replace(source, m.Old, m.New, 1), nil",
		New:  "return source, nil",
	}, "./internal/mutanttest", "TestApply")
}
