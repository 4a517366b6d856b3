package mysql

import (
	"slices"
	"strings"

	"dewhill/internal/sqlscan"
)

// errorEffect says what an engine's error proves about the effects of the statement
// that it answers.
type errorEffect uint8

const (
	// effectOpen proves nothing: the statement may have changed data. It is the effect of
	// every code that is not in engineErrors.
	effectOpen errorEffect = iota
	// effectRefused proves that the engine refused the statement before it changed data.
	effectRefused
	// effectRolledBack proves that a storage engine with transactions undid the statement.
	// It proves nothing about other tables that the statement may have changed.
	effectRolledBack
)

// engineError is what is known about a code of an engine's error.
type engineError struct {
	code   uint16
	effect errorEffect
	reason string
}

// engineErrors lists what the codes of engines' errors prove. An unknown code proves
// nothing.
var engineErrors = []engineError{
	{codeTooManyConnections, effectRefused, "the connection limit is checked at the login"},
	{1044, effectRefused, "access to a database is checked before execution"},
	{codeAccessDenied, effectRefused, "access is checked before execution"},
	{1046, effectRefused, "tables are resolved before execution; no database is selected"},
	{1049, effectRefused, "tables are resolved before execution; the database does not exist"},
	{1052, effectRefused, "columns are resolved before execution; a name is ambiguous"},
	{1054, effectRefused, "columns are resolved before execution; one does not exist"},
	{codeSyntax, effectRefused, "the statement could not be parsed"},
	{codeEmptyQuery, effectRefused, "there was no statement"},
	{1066, effectRefused, "tables are resolved before execution; an alias is not unique"},
	{1109, effectRefused, "tables are resolved before execution; one is unknown in its clause"},
	{1110, effectRefused, "columns are resolved before execution; one is given twice"},
	{1136, effectRefused, "values are counted for all rows before the first is written"},
	{1142, effectRefused, "access to tables is checked before execution"},
	{1143, effectRefused, "access to columns is checked before execution"},
	{1146, effectRefused, "tables are opened before execution; one does not exist"},
	{1149, effectRefused, "the statement could not be parsed"},
	{codePacketTooLarge, effectRefused, "the engine did not read the whole statement"},
	{codeUserLimit, effectRefused, "the account's limit of connections is checked at the login"},
	{codeRejected, effectRefused, "the account's limit of statements is checked before execution"},
	{codeUnknownHandle, effectRefused, "there was no statement to execute"},
	{codeTooManyStatements, effectRefused, "the statement could not be prepared"},
	{codeNeedsReprepare, effectRefused, "the statement is prepared again before execution, which failed"},
	{codeMalformedPacket, effectRefused, "the engine could not decode the command"},

	{1205, effectRolledBack, "the wait for a lock ended; the statement is undone"},
	{1213, effectRolledBack, "the transaction was chosen to resolve a deadlock, and undone"},
	{1216, effectRolledBack, "only storage engines with transactions check foreign keys"},
	{1217, effectRolledBack, "only storage engines with transactions check foreign keys"},
	{1451, effectRolledBack, "only storage engines with transactions check foreign keys"},
	{1452, effectRolledBack, "only storage engines with transactions check foreign keys"},

	{1021, effectOpen, "the disk became full while the statement ran"},
	{1022, effectOpen, "a storage engine without transactions keeps the rows before the duplicate"},
	{1048, effectOpen, "a storage engine without transactions keeps the rows before the null value"},
	{codeServerShutdown, effectOpen, "the engine shut down while the statement ran"},
	{1062, effectOpen, "a storage engine without transactions keeps the rows before the duplicate"},
	{codeFailed, effectOpen, "the engine does not say what failed"},
	{1114, effectOpen, "a storage engine without transactions keeps the rows that fitted"},
	{codeMayHaveRun, effectOpen, "the commit failed"},
	{1181, effectOpen, "the rollback failed"},
	{1196, effectOpen, "tables without transactions could not be rolled back"},
	{1264, effectOpen, "a storage engine without transactions keeps the rows before the value out of range"},
	{1290, effectOpen, "the engine became read-only, possibly before the commit only"},
	{codeQueryInterrupted, effectOpen, "the statement was interrupted while it ran"},
	{1366, effectOpen, "a storage engine without transactions keeps the rows before the wrong value"},
	{1406, effectOpen, "a storage engine without transactions keeps the rows before the long value"},
	{1927, effectOpen, "the connection was killed while the statement ran"},
	{codeDeadline, effectOpen, "the statement was interrupted by the engine's time limit"},
}

// effectOf returns what a code proves.
func effectOf(code uint16) errorEffect {
	i := slices.IndexFunc(engineErrors, func(e engineError) bool { return e.code == code })
	if i < 0 {
		return effectOpen
	}
	return engineErrors[i].effect
}

// writeScope says how much a statement may write, as far as its text tells. It decides
// which errors prove that the statement changed nothing.
type writeScope uint8

const (
	// scopeUnknown is the scope of statements that may run several statements, as CALL
	// does, or may commit in between: an error may come after a part of them has run.
	scopeUnknown writeScope = iota
	// scopeStatement is the scope of a single statement that changes rows.
	scopeStatement
	// scopeTable is the scope of a single statement that names only one table.
	scopeTable
)

var (
	// rowVerbs are the verbs of statements that run as one statement and change rows.
	rowVerbs = []string{"INSERT", "REPLACE", "UPDATE", "DELETE"}
	// furtherTableKeywords are the keywords that may precede a further table.
	furtherTableKeywords = []string{"SELECT", "JOIN", "STRAIGHT_JOIN", "USING", "TABLE", "WITH"}
	// tableListEnds are the keywords that end the list of tables in UPDATE and DELETE.
	tableListEnds = []string{"SET", "WHERE", "ORDER", "LIMIT", "RETURNING"}
)

// writeScopeOf returns the scope of a statement with this verb.
func writeScopeOf(verb string, tokens []sqlscan.Token) writeScope {
	switch {
	case !slices.Contains(rowVerbs, verb):
		return scopeUnknown
	case namesFurtherTable(verb, tokens):
		return scopeStatement
	default:
		return scopeTable
	}
}

// namesFurtherTable reports whether the statement may name more than one table.
func namesFurtherTable(verb string, tokens []sqlscan.Token) bool {
	inTableList := verb == "UPDATE" || verb == "DELETE"
	for _, token := range tokens {
		if token.Kind == sqlscan.Symbol && token.Text == "," && inTableList {
			return true
		}
		if token.Kind != sqlscan.Identifier || token.Quoted {
			continue
		}
		keyword := strings.ToUpper(token.Text)
		if slices.Contains(furtherTableKeywords, keyword) {
			return true
		}
		if slices.Contains(tableListEnds, keyword) {
			inTableList = false
		}
	}
	return false
}

// provesNoEffect reports whether an engine's error with this code, in place of a result,
// proves that a statement of this scope changed nothing.
func (scope writeScope) provesNoEffect(code uint16) bool {
	switch effectOf(code) {
	case effectRefused:
		return scope != scopeUnknown
	case effectRolledBack:
		return scope == scopeTable
	default:
		return false
	}
}

// ownCodesOfNoRun are codes by which this server itself tells that a load did not run. An
// engine's error with such a code, which does not prove that, must not reach the client
// of a load.
var ownCodesOfNoRun = []uint16{codeTooManyConnections, codeFailed, codeRejected, codeDeadline}
