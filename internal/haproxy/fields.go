package haproxy

import (
	"errors"
	"strings"
)

var errUnclosedQuote = errors.New("a quote is not closed")

// splitter splits a line into fields as HAProxy does: white space within quotes or after a
// backslash does not end a field, and # begins a comment.
type splitter struct {
	fields  []string
	field   strings.Builder
	inField bool
	quote   byte // quote character that is not closed yet; 0: none
}

// splitFields returns the fields of a line, and errUnclosedQuote if a quote is not closed.
func splitFields(line string) ([]string, error) {
	var s splitter
	for i := 0; i < len(line); i++ {
		c := line[i]
		if c == '\\' && s.quote != '\'' && i+1 < len(line) {
			i++
			s.add(line[i])
			continue
		}
		if c == '#' && s.quote == 0 {
			break
		}
		s.next(c)
	}
	s.endField()
	if s.quote != 0 {
		return s.fields, errUnclosedQuote
	}
	return s.fields, nil
}

func (s *splitter) next(c byte) {
	switch {
	case s.quote != 0 && c == s.quote:
		s.quote = 0
	case s.quote != 0:
		s.add(c)
	case c == '"' || c == '\'':
		s.quote = c
		s.inField = true
	case c == ' ' || c == '\t' || c == '\r':
		s.endField()
	default:
		s.add(c)
	}
}

func (s *splitter) add(c byte) {
	s.field.WriteByte(c)
	s.inField = true
}

func (s *splitter) endField() {
	if !s.inField {
		return
	}
	s.fields = append(s.fields, s.field.String())
	s.field.Reset()
	s.inField = false
}

// argument returns the first argument of a keyword, or an empty string if there is none.
func argument(fields []string) string {
	if len(fields) < 2 {
		return ""
	}
	return fields[1]
}
