// Package haproxy imports an HAProxy configuration: it writes the configuration file of the MySQL
// front end for the only TCP front end that the HAProxy configuration may have, and reports each
// keyword that is not imported.
//
//	import.go    reading the file, findings
//	fields.go    splitting a line into fields
//	section.go   sections and the values that they inherit from defaults
//	keyword.go   the keywords of a section
//	server.go    server lines and their options
//	build.go     the configuration of the MySQL front end from the sections
package haproxy

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"dewhill/internal/mysql"
)

const maxLineBytes = 1 << 20

// Finding reports a line whose meaning is not imported unchanged.
type Finding struct {
	Line  int
	Fatal bool // ignoring the line would change how clients are served
	Text  string
}

// String returns the finding as a line of the report.
func (f Finding) String() string {
	severity := "note"
	if f.Fatal {
		severity = "error"
	}
	return fmt.Sprintf("line %d: %s: %s", f.Line, severity, f.Text)
}

// Run imports a file. It writes the configuration of the MySQL front end to out and the findings
// to report. If a finding is fatal, Run writes nothing to out and fails.
func Run(path string, out, report io.Writer) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // errors of closing don't matter after reading
	config, findings, err := Import(file)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	fatal, err := writeFindings(report, path, findings)
	if err != nil {
		return err
	}
	if fatal > 0 {
		return fmt.Errorf("%s: %d errors; no configuration was written", path, fatal)
	}
	data, err := json.MarshalIndent(config, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "%s\n", data)
	return err
}

// writeFindings writes the findings to report and returns the number of fatal findings.
func writeFindings(report io.Writer, path string, findings []Finding) (fatal int, err error) {
	for _, f := range findings {
		if _, err := fmt.Fprintf(report, "%s: %s\n", path, f); err != nil {
			return fatal, err
		}
		if f.Fatal {
			fatal++
		}
	}
	return fatal, nil
}

// Import reads an HAProxy configuration. The returned configuration is valid only if no finding
// is fatal. An error means that the input can't be read.
func Import(in io.Reader) (*mysql.Config, []Finding, error) {
	im := &importer{
		namedDefaults: map[string]*section{},
		defaults:      &section{timeoutsMS: map[string]float64{}},
	}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	var current *section
	for scanner.Scan() {
		im.line++
		current = im.readLine(current, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, err
	}
	return im.build(), im.findings, nil
}

// importer is the state of a call of Import.
type importer struct {
	findings       []Finding
	line           int // number of the line that is read or checked, for findings
	sections       []*section
	defaults       *section // the last defaults section
	namedDefaults  map[string]*section
	maxConnections int // maxconn of the global section; 0: not set
}

// note reports a finding that does not change how clients are served.
func (im *importer) note(format string, args ...any) { im.report(false, format, args...) }

// fail reports a fatal finding.
func (im *importer) fail(format string, args ...any) { im.report(true, format, args...) }

func (im *importer) report(fatal bool, format string, args ...any) {
	im.findings = append(im.findings, Finding{im.line, fatal, fmt.Sprintf(format, args...)})
}

// readLine reads a line of the section current, which is nil before the first section, and
// returns the section of the next line.
func (im *importer) readLine(current *section, line string) *section {
	fields, err := splitFields(line)
	if err != nil {
		im.fail("%v", err)
		return current
	}
	if len(fields) == 0 {
		return current
	}
	if next := im.beginSection(fields); next != nil {
		return next
	}
	if current == nil {
		im.fail("%q is outside of any section", fields[0])
		return nil
	}
	im.readKeyword(current, fields)
	return current
}
