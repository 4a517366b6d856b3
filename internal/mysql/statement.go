package mysql

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"dewhill/internal/sqlscan"
)

// hintPrefix is the first word of a comment that holds hints for this server.
const hintPrefix = "dewhill:"

// statementInfo holds the properties of a statement that its text reveals.
type statementInfo struct {
	verb            string // first keyword, in upper case
	writes          bool   // may write data
	params          int    // number of placeholders
	table           string // first table named in the statement
	tableGroup      int
	withoutComments string
	withoutRetry    string // the text without the hint that marks a retry and white space around it
	hints           map[string]string
	hasEngineText   bool // has an executable comment, which is text for the engine only
	scope           writeScope
	err             *Error // response if the statement can't be served
	isNoOp          bool   // requests a setting that always holds; answered with OK and not sent to an engine
}

var (
	readVerbs = []string{"SELECT", "SHOW", "EXPLAIN", "DESCRIBE", "DESC", "WITH", "VALUES", "TABLE"}

	// Statements that need an engine session reserved for the client, or whose result is
	// of an unsupported kind.
	sessionVerbs = []string{
		"BEGIN", "START", "COMMIT", "ROLLBACK", "SAVEPOINT", "RELEASE", "LOCK", "UNLOCK", "XA", "SET",
		"PREPARE", "EXECUTE", "DEALLOCATE", "HANDLER", "USE", "KILL", "RESET", "CHANGE", "SHUTDOWN",
		"GRANT", "DECLARE",
	}

	// Functions whose value depends on the engine session.
	sessionFunctions = []string{
		"LAST_INSERT_ID", "FOUND_ROWS", "ROW_COUNT", "GET_LOCK", "RELEASE_LOCK", "RELEASE_ALL_LOCKS",
		"CONNECTION_ID",
	}

	// Keywords that make a statement a write at any position, as in WITH, EXPLAIN ANALYZE
	// or a locking read.
	writeKeywords = []string{"INSERT", "UPDATE", "DELETE", "REPLACE", "INTO", "FOR", "LOCK"}

	// Keywords that precede a table's name.
	tableKeywords = []string{"FROM", "JOIN", "INTO", "UPDATE", "TABLE"}

	// Statements that request a setting that always holds, in upper case and with spaces
	// normalized.
	noOpStatements = []string{"SET AUTOCOMMIT=1", "SET AUTOCOMMIT=ON", "SET NAMES UTF8MB4", "SET NAMES UTF8",
		"SET NAMES 'UTF8MB4'", "SET NAMES 'UTF8'"}
)

func unsupported(format string, args ...any) *Error {
	return &Error{codeNotSupported, "42000", "not supported here: " + fmt.Sprintf(format, args...)}
}

// inspect determines the properties of a statement from its text.
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
	if !s.hasEngineText {
		s.scope = writeScopeOf(s.verb, tokens)
	}
	s.checkSession()
	return s
}

// stripComments reads the hints in comments, sets withoutComments and withoutRetry, and
// returns the tokens that are not comments.
func (s *statementInfo) stripComments(sql string) []sqlscan.Token {
	var text, withoutRetry strings.Builder
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
			withoutRetry.WriteString(removeRetryHint(token, sql[token.Offset:end]))
			continue
		}
		text.WriteString(sql[token.Offset:end])
		withoutRetry.WriteString(sql[token.Offset:end])
		rest = append(rest, token)
	}
	s.withoutComments = strings.TrimSpace(text.String())
	s.withoutRetry = strings.TrimSpace(withoutRetry.String())
	return rest
}

// retryHint is the hint by which a client states that it has sent a load before.
const retryHint = "retry"

var retryHintPattern = regexp.MustCompile(`\s+` + retryHint + `=(?:yes|no)`)

// removeRetryHint removes the hint that marks a retry from a comment and the space after
// it. If the comment has no other hint, it is removed as a whole.
func removeRetryHint(comment sqlscan.Token, text string) string {
	fields := strings.Fields(comment.Text)
	if len(fields) == 0 || fields[0] != hintPrefix {
		return text
	}
	without := retryHintPattern.ReplaceAllString(text, "")
	if len(fields) == 2 && without != text {
		return ""
	}
	return without
}

// readHints reads the hints in a comment. An executable comment (/*! or /*M!) is part of
// the statement for the engine and may write.
func (s *statementInfo) readHints(comment string) {
	if strings.HasPrefix(comment, "!") || strings.HasPrefix(comment, "M!") {
		s.writes = true
		s.hasEngineText = true
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
		default: // strings and numbers have no effect
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

// scanTable sets the table to the name at i if a table keyword precedes it.
func (s *statementInfo) scanTable(tokens []sqlscan.Token, i int) {
	if !slices.Contains(tableKeywords, strings.ToUpper(tokens[i-1].Text)) {
		return
	}
	s.table = tokens[i].Text
	if i+2 < len(tokens) && tokens[i+1].Text == "." {
		s.table += "." + tokens[i+2].Text
	}
}

// checkSession rejects statements that need an engine session reserved for the client,
// except for those that request a setting that always holds.
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
