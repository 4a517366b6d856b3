package mysql

import (
	"encoding/binary"
	"fmt"
)

// handleBytes is the length of a prepared statement's handle in a command.
const handleBytes = 4

// handleCommand handles a command and queues its response. It reports whether the
// connection stays open.
func (c *client) handleCommand(command byte, argument []byte) bool {
	switch command {
	case comQuit:
		return false
	case comPing:
		c.writeOK()
	case comInitDB:
		c.database = string(argument)
		c.writeOK()
	case comQuery:
		c.updateCounters(func(counters *ServerCounters) { counters.Queries++ })
		return c.query(string(argument))
	case comStmtPrepare:
		c.updateCounters(func(counters *ServerCounters) { counters.Prepares++ })
		c.prepare(string(argument))
	case comStmtExecute:
		c.updateCounters(func(counters *ServerCounters) { counters.Executes++ })
		return c.execute(argument)
	case comStmtLongData: // has no response
		c.appendLongData(argument)
	case comStmtClose: // has no response
		if len(argument) >= handleBytes {
			delete(c.statements, binary.LittleEndian.Uint32(argument))
		}
	case comStmtReset:
		if statement := c.lookupStatement(argument); statement != nil {
			statement.resetLongData()
			c.writeOK()
		}
	default:
		c.updateCounters(func(counters *ServerCounters) { counters.Unsupported++ })
		c.writeError(&Error{codeUnknownCommand, "08S01", fmt.Sprintf("command 0x%02x is not supported", command)})
	}
	return true
}

// query handles COM_QUERY, a statement as text, and reports whether the connection stays
// open.
func (c *client) query(sql string) bool {
	info := c.inspectStatement(sql)
	switch {
	case info == nil:
		return true
	case info.isNoOp:
		c.writeOK()
		return true
	case info.params > 0:
		c.writeError(&Error{codeSyntax, "42000", "a parameter outside a prepared statement"})
		return true
	}
	return c.runStatement(&Statement{SQL: sql, Database: c.database, scope: info.scope}, info)
}

// inspectStatement returns the properties of a statement. If the statement can't be
// served, it queues an error and returns nil.
func (c *client) inspectStatement(sql string) *statementInfo {
	if len(sql) > maxStatementBytes {
		c.writeUnsupported(&Error{codePacketTooLarge, "08S01",
			fmt.Sprintf("a statement may hold at most %d bytes", maxStatementBytes)})
		return nil
	}
	info := inspect(sql)
	if info.err != nil {
		c.writeUnsupported(info.err)
		return nil
	}
	return info
}

func (c *client) writeUnsupported(e *Error) {
	c.updateCounters(func(counters *ServerCounters) { counters.Unsupported++ })
	c.writeError(e)
}

// runStatement passes a statement to the event loop, waits for its outcome and queues
// the response. It reports whether the connection stays open.
func (c *client) runStatement(statement *Statement, info *statementInfo) bool {
	outcomes := make(chan outcome, 1)
	c.server.loop.Post(func() {
		c.busy = !c.disconnected
		c.server.submit(c, statement, info, func(o outcome) {
			c.requestID = ""
			c.load = nil
			outcomes <- o
		})
	})
	watch := c.watchDisconnect()
	select {
	case o := <-outcomes:
		watch.stop()
		c.ranStatement = true
		c.writeOutcome(o)
		return true
	case <-watch.disconnected:
		c.server.loop.PostUrgent(c.handleDisconnect)
		return false
	}
}

func (c *client) writeOutcome(o outcome) {
	switch {
	case o.err != nil:
		c.writeError(o.err)
	case o.result == nil:
		c.writeError(&Error{codeFailed, "58000", "no result"})
	case o.result.Err != nil:
		c.writeError(o.result.Err)
	case o.result.OK != nil:
		c.stream.queuePacket(o.result.OK)
	default:
		c.writeRows(o.result)
	}
}

// writeRows queues the columns and rows of a result, which are sent unchanged as the
// engine sent them.
func (c *client) writeRows(result *Result) {
	c.stream.queuePacket(appendLengthEncodedInt(nil, uint64(len(result.Columns))))
	for _, column := range result.Columns {
		c.stream.queuePacket(column)
	}
	c.stream.queuePacket(eofPacket())
	for _, row := range result.Rows {
		c.stream.queuePacket(row)
	}
	c.stream.queuePacket(eofPacket())
}
