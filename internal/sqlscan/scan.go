// Package sqlscan splits an SQL statement into tokens, keeping strings and comments
// apart from keywords, and determines the group of tables that the statement uses.
package sqlscan

import "strings"

// Kind is the lexical category of a token.
type Kind int

// Kinds of tokens.
const (
	Identifier Kind = iota // a name or keyword
	String
	Number
	Symbol // a single byte of any other kind
	Comment
)

// Token is a lexical element of a statement.
type Token struct {
	Kind   Kind
	Text   string // without quotes or comment marks
	Quoted bool   // enclosed in quotes; a quoted Identifier is not a keyword
	Offset int    // position of the first byte in the statement
}

// Scan splits a statement into tokens. A string or comment that is not closed
// extends to the end of the statement.
func Scan(sql string) []Token {
	var tokens []Token
	offset := 0
	for offset < len(sql) {
		if isSpace(sql[offset]) {
			offset++
			continue
		}
		token, end := scanToken(sql, offset)
		tokens = append(tokens, token)
		offset = end
	}
	return tokens
}

// scanToken returns the token at an offset and the offset after the token.
func scanToken(sql string, offset int) (Token, int) {
	first := sql[offset]
	switch {
	case first == '\'' || first == '"' || first == '`':
		return scanQuoted(sql, offset)
	case first == '#' || beginsDashComment(sql[offset:]):
		return scanLineComment(sql, offset)
	case strings.HasPrefix(sql[offset:], "/*"):
		return scanBlockComment(sql, offset)
	case isDigit(first):
		end := identifierEnd(sql, offset)
		return Token{Kind: Number, Text: sql[offset:end], Offset: offset}, end
	case isIdentifierByte(first):
		end := identifierEnd(sql, offset)
		return Token{Kind: Identifier, Text: sql[offset:end], Offset: offset}, end
	default:
		return Token{Kind: Symbol, Text: sql[offset : offset+1], Offset: offset}, offset + 1
	}
}

// scanQuoted scans a string or a quoted name. Double quotes enclose a name if a dot
// directly precedes or follows them, and a string otherwise.
func scanQuoted(sql string, offset int) (Token, int) {
	text, end := unquote(sql, offset)
	joined := end < len(sql) && sql[end] == '.' || offset > 0 && sql[offset-1] == '.'
	kind := String
	if sql[offset] == '`' || sql[offset] == '"' && joined {
		kind = Identifier
	}
	return Token{Kind: kind, Text: text, Quoted: true, Offset: offset}, end
}

// unquote returns the text between the quote at an offset and its closing quote, and
// the offset after the closing quote.
func unquote(sql string, offset int) (string, int) {
	quote := sql[offset]
	start := offset + 1
	for i := start; i < len(sql); i++ {
		switch {
		case sql[i] == '\\' && quote != '`':
			i++
		case sql[i] != quote:
		case i+1 < len(sql) && sql[i+1] == quote: // a doubled quote is a literal quote
			i++
		default:
			return sql[start:i], i + 1
		}
	}
	return sql[start:], len(sql)
}

// beginsDashComment reports whether a text begins with a comment of two minus signs. As in
// MySQL, white space or a control character must follow them: "n--1" is a subtraction.
func beginsDashComment(text string) bool {
	rest, found := strings.CutPrefix(text, "--")
	return found && (rest == "" || isSpace(rest[0]) || isControl(rest[0]))
}

func scanLineComment(sql string, offset int) (Token, int) {
	end := len(sql)
	if length := strings.IndexByte(sql[offset:], '\n'); length >= 0 {
		end = offset + length
	}
	return Token{Kind: Comment, Text: strings.TrimLeft(sql[offset:end], "#-"), Offset: offset}, end
}

func scanBlockComment(sql string, offset int) (Token, int) {
	const markBytes = 2
	start := offset + markBytes
	length := strings.Index(sql[start:], "*/")
	if length < 0 {
		return Token{Kind: Comment, Text: sql[start:], Offset: offset}, len(sql)
	}
	return Token{Kind: Comment, Text: sql[start : start+length], Offset: offset}, start + length + markBytes
}

func identifierEnd(sql string, offset int) int {
	for offset < len(sql) && isIdentifierByte(sql[offset]) {
		offset++
	}
	return offset
}

func isSpace(c byte) bool { return c == ' ' || c >= '\t' && c <= '\r' }

func isControl(c byte) bool { return c < ' ' || c == 0x7f }

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isIdentifierByte(c byte) bool {
	isLetter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return isLetter || isDigit(c) || c == '_' || c == '$' || c >= 0x80
}
