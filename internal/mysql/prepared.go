package mysql

import (
	"encoding/binary"
	"fmt"
	"slices"
)

const (
	maxStatementsPerClient = 1024
	longDataHeaderBytes    = 6 // statement handle and parameter number
)

// Param is a value bound to a prepared statement, encoded as in the protocol.
type Param struct {
	Type  byte
	Flag  byte
	Null  bool
	Value []byte
}

// preparedStatement is a client's prepared statement. The server assigns its handle,
// because an engine's handle is valid only on one connection to that engine.
type preparedStatement struct {
	sql             string
	database        string
	info            *statementInfo
	parameterTypes  []byte // type and flag of each parameter, from the last execute that sent types
	longData        map[int][]byte
	longDataTooLong bool
}

func (s *preparedStatement) resetLongData() {
	s.longData = nil
	s.longDataTooLong = false
}

// prepare handles COM_STMT_PREPARE. The response declares no result columns, because
// the response to each execute defines the columns of its result.
func (c *client) prepare(sql string) {
	info := c.inspectStatement(sql)
	if info == nil {
		return
	}
	if info.params > maxParameters || len(c.statements) >= maxStatementsPerClient {
		c.writeError(&Error{codeTooManyStatements, "42000", "too many prepared statements or parameters"})
		return
	}
	c.lastStatementID++
	c.statements[c.lastStatementID] = &preparedStatement{sql: sql, database: c.database, info: info}
	response := binary.LittleEndian.AppendUint32([]byte{okMark}, c.lastStatementID)
	response = append(response, 0, 0, byte(info.params), byte(info.params>>8), 0, 0, 0)
	c.stream.queuePacket(response)
	if info.params == 0 {
		return
	}
	for range info.params {
		c.stream.queuePacket(parameterColumn)
	}
	c.stream.queuePacket(eofPacket())
}

// parameterColumn is the column definition that is sent for each parameter.
var parameterColumn = newParameterColumn()

func newParameterColumn() []byte {
	const (
		fixedFieldsBytes = 0x0c
		charsetBinary    = 63
		flagBinary       = 0x80
	)
	var definition []byte
	for _, text := range []string{"def", "", "", "", "?", ""} { // catalog to original column name
		definition = appendLengthEncodedBytes(definition, []byte(text))
	}
	definition = append(definition, fixedFieldsBytes, charsetBinary, 0, 0, 0, 0, 0)
	return append(definition, typeVarString, flagBinary, 0, 0, 0, 0)
}

// lookupStatement returns the statement whose handle is at the start of the argument.
// If the handle is unknown, it queues an error and returns nil.
func (c *client) lookupStatement(argument []byte) *preparedStatement {
	if len(argument) >= handleBytes {
		statement := c.statements[binary.LittleEndian.Uint32(argument)]
		if statement != nil {
			return statement
		}
	}
	c.writeError(&Error{codeUnknownHandle, "HY000", "unknown prepared statement handle"})
	return nil
}

// appendLongData handles COM_STMT_SEND_LONG_DATA. The command has no response, so the
// next execute reports data that is too long; data for an unknown statement or
// parameter is ignored.
func (c *client) appendLongData(argument []byte) {
	if len(argument) < longDataHeaderBytes {
		return
	}
	statement := c.statements[binary.LittleEndian.Uint32(argument)]
	parameter := int(binary.LittleEndian.Uint16(argument[handleBytes:]))
	if statement == nil || parameter >= statement.info.params {
		return
	}
	data := argument[longDataHeaderBytes:]
	total := len(data)
	for _, long := range statement.longData {
		total += len(long)
	}
	if total > maxLongDataBytes {
		statement.longDataTooLong = true
		return
	}
	if statement.longData == nil {
		statement.longData = map[int][]byte{}
	}
	statement.longData[parameter] = append(statement.longData[parameter], data...)
}

// execute handles COM_STMT_EXECUTE and reports whether the connection stays open.
func (c *client) execute(argument []byte) bool {
	statement := c.lookupStatement(argument)
	if statement == nil {
		return true
	}
	params, invalid := statement.bind(argument[handleBytes:])
	statement.resetLongData()
	if invalid != nil {
		c.writeError(invalid)
		return true
	}
	if statement.info.isNoOp {
		c.writeOK()
		return true
	}
	return c.runStatement(&Statement{
		SQL:      statement.sql,
		Database: statement.database,
		Prepared: true,
		Params:   params,
		scope:    statement.info.scope,
	}, statement.info)
}

func malformedExecute() *Error { return &Error{codeMalformedPacket, "HY000", "malformed execute"} }

// bind parses the parameter values of COM_STMT_EXECUTE.
func (s *preparedStatement) bind(argument []byte) ([]Param, *Error) {
	r := payloadReader{rest: argument}
	if r.uint(1) != cursorNone {
		return nil, unsupported("cursors")
	}
	r.take(4) // iteration count
	if s.longDataTooLong {
		message := fmt.Sprintf("long data may hold at most %d bytes", maxLongDataBytes)
		return nil, &Error{codePacketTooLarge, "08S01", message}
	}
	count := s.info.params
	if count == 0 {
		if r.malformed {
			return nil, malformedExecute()
		}
		return nil, nil
	}
	nulls := r.take((count + 7) / 8)
	if r.uint(1) == 1 { // the types of the parameters follow
		s.parameterTypes = slices.Clone(r.take(2 * count))
	}
	if r.malformed || len(s.parameterTypes) != 2*count {
		return nil, malformedExecute()
	}
	params := make([]Param, count)
	for i := range params {
		params[i] = s.bindParameter(&r, i, nulls[i/8]&(1<<(i%8)) != 0)
	}
	if r.malformed || len(r.rest) > 0 {
		return nil, malformedExecute()
	}
	return params, nil
}

func (s *preparedStatement) bindParameter(r *payloadReader, index int, null bool) Param {
	p := Param{Type: s.parameterTypes[2*index], Flag: s.parameterTypes[2*index+1]}
	if long, found := s.longData[index]; found {
		if form, _ := binaryForm(p.Type); form != lengthEncoded {
			p.Type = typeBlob
		}
		p.Value = appendLengthEncodedBytes(nil, long)
		return p
	}
	if null || p.Type == typeNull {
		p.Null = true
		return p
	}
	p.Value = slices.Clone(r.binaryValue(p.Type))
	return p
}

// encodeExecute returns the argument of COM_STMT_EXECUTE for an engine's handle.
func encodeExecute(handle uint32, params []Param) []byte {
	argument := binary.LittleEndian.AppendUint32(nil, handle)
	argument = append(argument, cursorNone, 1, 0, 0, 0)
	if len(params) == 0 {
		return argument
	}
	nulls := make([]byte, (len(params)+7)/8)
	for i, p := range params {
		if p.Null {
			nulls[i/8] |= 1 << (i % 8)
		}
	}
	argument = append(argument, nulls...)
	argument = append(argument, 1) // the types of the parameters follow
	for _, p := range params {
		argument = append(argument, p.Type, p.Flag)
	}
	for _, p := range params {
		if !p.Null {
			argument = append(argument, p.Value...)
		}
	}
	return argument
}
