package mysql

import (
	"fmt"
	"slices"
	"strings"

	"dewhill/internal/sqlscan"
)

// hintPrefix begins a comment with hints for this server.
const hintPrefix = "dewhill:"

// statementInfo is what can be told from a statement's text.
type statementInfo struct {
	verb            string // first keyword, in upper case
	writes          bool   // it may write
	params          int    // placeholders
	table           string // first one named
	tableGroup      int
	withoutComments string
	hints           map[string]string
	err             *Error // why it can't be served
	isNoOp          bool   // answered with OK: it says what holds anyway
}

var (
	readVerbs = []string{"SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "WITH", "VALUES", "TABLE"}

	// Statements that need a session of one's own, or another kind of answer.
	sessionVerbs = []string{
		"BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE", "LOCK", "UNLOCK", "XA", "SET",
		"PREPARE", "EXECUTE", "DEALLOCATE", "HANDLER", "USE", "KILL", "RESET", "CHANGE", "SHUTDOWN",
		"GRANT", "DECLARE",
	}

	// Functions whose value belongs to a session.
	sessionFunctions = []string{
		"LAST_INSERT_ID", "FOUND_ROWS", "ROW_COUNT", "GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS",
		"CONNECTION_ID",
	}

	// Keywords that write wherever they stand: also inside WITH, EXPLAIN ANALYZE
	// or a locking read.
	writeKeywords = []string{"INSERT", "UPDATE", "DELETE", "REPLACE", "INTO", "FOR", "LOCK"}

	// Keywords before a table's name.
	tableKeywords = []string{"FROM", "JOIN", "INTO", "UPDATE", "TABLE"}

	// Statements that ask for what holds anyway, with spaces folded.
	noOpStatements = []string{"SET AUTOCOMMIT=1", "SET AUTOCOMMIT=ON", "SET NAMES UTF8MB4", "SET NAMES UTF8",
		"SET NAMES 'UTF8MB4'", "SET NAMES 'UTF8'"}
)

func unsupported(format string, args ...any) *Error {
	return &Error{codeNotSupported, "42000", "not supported here: " + fmt.Sprintf(format, args...)}
}

// inspect reads a statement.
func inspect(sql string) *statementInfo {
	s := &statementInfo{tableGroup: sqlscan.TableGroup(sql)}
	tokens := s.stripComments(sql)
	for len(tokens) > 0 && tokens[0].Text == "(" {
		tokens = tokens[1:]
	}
	if len(tokens) == 0 {
		s.err = &Error{codeEmptyQuery, "42000", "Query was empty"}
		return s
	}
	s.verb = strings.ToUpper(tokens[0].Text)
	s.writes = s.writes || !slices.Contains(readVerbs, s.verb)
	s.scanTokens(tokens)
	s.checkSession()
	return s
}

// stripComments takes hints from the comments, and returns the tokens between
// them.
func (s *statementInfo) stripComments(sql string) []sqlscan.Token {
	var text strings.Builder
	var rest []sqlscan.Token
	tokens := sqlscan.Scan(sql)
	for i, token := range tokens {
		end := len(sql)
		if i+1 < len(tokens) {
			end = tokens[i+1].Offset
		}
		if token.Kind == sqlscan.Comment {
			s.readHints(token.Text)
			text.WriteByte(' ')
			continue
		}
		text.WriteString(sql[token.Offset:end])
		rest = append(rest, token)
	}
	s.withoutComments = strings.TrimSpace(text.String())
	return rest
}

// readHints takes a comment's hints. A comment that engines execute is part of
// the statement, and may write.
func (s *statementInfo) readHints(comment string) {
	if strings.HasPrefix(comment, "!") || strings.HasPrefix(comment, "M!") {
		s.writes = true
		return
	}
	fields := strings.Fields(comment)
	if len(fields) == 0 || fields[0] != hintPrefix {
		return
	}
	if s.hints == nil {
		s.hints = map[string]string{}
	}
	for _, field := range fields[1:] {
		name, value, _ := strings.Cut(field, "=")
		s.hints[name] = value
	}
}

func (s *statementInfo) scanTokens(tokens []sqlscan.Token) {
	for i, token := range tokens {
		switch token.Kind {
		case sqlscan.Symbol:
			s.scanSymbol(token.Text, i+1 < len(tokens))
		case sqlscan.Identifier:
			if !token.Quoted {
				isCall := i+1 < len(tokens) && tokens[i+1].Text == "("
				s.scanKeyword(strings.ToUpper(token.Text), isCall)
			}
			if s.table == "" && i > 0 && !tokens[i-1].Quoted {
				s.scanTable(tokens, i)
			}
		default: // strings and numbers tell nothing
		}
	}
}

func (s *statementInfo) scanSymbol(symbol string, moreFollows bool) {
	switch symbol {
	case "?":
		s.params++
	case ";":
		if moreFollows {
			s.err = unsupported("more than one statement")
		}
	case "@":
		s.err = unsupported("variables of a session")
	}
}

func (s *statementInfo) scanKeyword(keyword string, isCall bool) {
	switch {
	case slices.Contains(writeKeywords, keyword):
		s.writes = true
	case keyword == "LOCAL" && s.verb == "LOAD":
		s.err = unsupported("LOAD DATA LOCAL")
	case keyword == "TEMPORARY" && s.verb == "CREATE":
		s.err = unsupported("temporary tables")
	case isCall && slices.Contains(sessionFunctions, keyword):
		s.err = unsupported("%s()", keyword)
	}
}

// scanTable takes the table's name at i, if the token before says that it is one.
func (s *statementInfo) scanTable(tokens []sqlscan.Token, i int) {
	if !slices.Contains(tableKeywords, strings.ToUpper(tokens[i-1].Text)) {
		return
	}
	s.table = tokens[i].Text
	if i+2 < len(tokens) && tokens[i+1].Text == "." {
		s.table += "." + tokens[i+2].Text
	}
}

// checkSession sorts out what needs a session of the client's own at an engine.
func (s *statementInfo) checkSession() {
	if !slices.Contains(sessionVerbs, s.verb) {
		return
	}
	text := strings.TrimSuffix(s.withoutComments, ";")
	text = strings.ToUpper(strings.Join(strings.Fields(text), " "))
	text = strings.ReplaceAll(text, " =", "=")
	text = strings.ReplaceAll(text, "= ", "=")
	if slices.Contains(noOpStatements, text) {
		s.isNoOp = true
		return
	}
	s.err = unsupported("%s: each statement stands alone and may go to any engine", s.verb)
}
