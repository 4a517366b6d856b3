package acceptance

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"dewhill/internal/simproto"
)

const protocolPage = "../../docs/protocol.md"

// namedTest matches the name of a test on the page, as package.Test.
var namedTest = regexp.MustCompile(`\b([a-z]+)\.(Test[A-Za-z0-9]+)`)

// TestProtocolPageNamesTests checks that each test that the protocol page names exists in
// the named package, and that each row of the page's tables names a test.
func TestProtocolPageNamesTests(t *testing.T) {
	page := readProtocolPage(t)
	sources := map[string]string{}
	for _, named := range namedTest.FindAllStringSubmatch(page, -1) {
		name, test := named[1], named[2]
		if _, read := sources[name]; !read {
			sources[name] = testSources(t, name)
		}
		if !strings.Contains(sources[name], "\nfunc "+test+"(") {
			t.Errorf("docs/protocol.md names %s, which does not exist in package %s", test, name)
		}
	}
	for line := range strings.Lines(page) {
		isRow := strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| ---")
		isHead := strings.HasSuffix(line, "| tests |\n")
		if isRow && !isHead && !namedTest.MatchString(line) {
			t.Errorf("docs/protocol.md names no test in the row %.60q", line)
		}
	}
}

// TestProtocolPageNamesSettings checks that the protocol page names each key of the settings
// that the program reads.
func TestProtocolPageNamesSettings(t *testing.T) {
	page := readProtocolPage(t)
	var check func(reflect.Type)
	check = func(of reflect.Type) {
		switch of.Kind() {
		case reflect.Slice:
			check(of.Elem())
		case reflect.Struct:
			for i := range of.NumField() {
				key, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
				named := regexp.MustCompile(`\b` + key + `\b`)
				if !named.MatchString(page) {
					t.Errorf("docs/protocol.md doesn't name the setting %s", key)
				}
				check(of.Field(i).Type)
			}
		default:
		}
	}
	check(reflect.TypeFor[simproto.Settings]())
}

func readProtocolPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(protocolPage)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// testSources returns the text of all test files of a package.
func testSources(t *testing.T, name string) string {
	t.Helper()
	var all strings.Builder
	for _, pattern := range []string{"../../" + name, "../../internal/" + name, "../../cmd/" + name} {
		files, err := filepath.Glob(filepath.Join(pattern, "*_test.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			all.Write(text)
		}
	}
	return all.String()
}
