package sqlscan

import (
	"slices"
	"strings"
)

// NoTableGroup is returned for a statement that names no group of tables.
const NoTableGroup = -1

// maxGroupDigits is the maximum number of digits of the group in a schema's name.
const maxGroupDigits = 8

// tableKeywords are the keywords that precede a table's name.
var tableKeywords = map[string]bool{"from": true, "join": true, "into": true, "update": true, "table": true}

// TableGroup returns the group of tables that a statement reads or writes: the number
// after the last underscore of the schema's name. The first schema after a table
// keyword takes precedence over schemas elsewhere in the text, because the alias that
// qualifies a column may look like a schema. Without a table keyword, the first schema
// in the text is used.
func TableGroup(sql string) int {
	tokens := slices.DeleteFunc(Scan(sql), func(t Token) bool { return t.Kind == Comment })
	found := NoTableGroup
	for i := range tokens {
		group := schemaGroup(tokens[i:])
		if group == NoTableGroup {
			continue
		}
		if i > 0 && isTableKeyword(tokens[i-1]) {
			return group
		}
		if found == NoTableGroup {
			found = group
		}
	}
	return found
}

func isTableKeyword(t Token) bool {
	return t.Kind == Identifier && !t.Quoted && tableKeywords[strings.ToLower(t.Text)]
}

// schemaGroup returns the group of the schema if the tokens start with a qualified name.
func schemaGroup(tokens []Token) int {
	if len(tokens) < 3 || tokens[0].Kind != Identifier || tokens[2].Kind != Identifier {
		return NoTableGroup
	}
	if tokens[1].Kind != Symbol || tokens[1].Text != "." {
		return NoTableGroup
	}
	return groupNumber(tokens[0].Text)
}

// groupNumber returns the number after the last underscore of a schema's name.
func groupNumber(schema string) int {
	underscore := strings.LastIndexByte(schema, '_')
	if underscore <= 0 {
		return NoTableGroup
	}
	digits := schema[underscore+1:]
	if digits == "" || len(digits) > maxGroupDigits {
		return NoTableGroup
	}
	number := 0
	for _, c := range []byte(digits) {
		if !isDigit(c) {
			return NoTableGroup
		}
		number = number*10 + int(c-'0')
	}
	return number
}
