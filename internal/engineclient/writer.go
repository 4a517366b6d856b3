package engineclient

import (
	"io"
	"slices"
	"time"

	"dewhill/internal/lineproto"
)

const (
	maxBatch     = 64                    // commands in one write
	drainTimeout = 50 * time.Millisecond // for reading replies that arrived before a write failed
)

// writeTimedOut reports whether a write has been blocked for more than
// writeTimeoutMS.
func (p *Pool) writeTimedOut(c *connection) bool {
	started := c.writeStartedMS.Load()
	return started > 0 && p.loop.Now()-float64(started) > writeTimeoutMS
}

// writeLoop writes queued commands in batches until the connection is closed or a
// write fails. After a failed write the reader still reads the data that has already
// arrived, which may include replies.
func (p *Pool) writeLoop(c *connection) {
	for cmd := range c.commands {
		if err := p.writeBatch(c, nextBatch(c, cmd)); err != nil {
			_ = c.socket.SetReadDeadline(time.Now().Add(drainTimeout))
			p.loop.Post(func() { c.writeFailed = true })
			break
		}
	}
	p.loop.Post(func() { p.goroutineDone(c) })
}

// nextBatch returns a command and those queued behind it, at most maxBatch.
func nextBatch(c *connection, first command) []command {
	batch := []command{first}
	for len(batch) < maxBatch {
		select {
		case cmd, open := <-c.commands:
			if !open {
				return batch
			}
			batch = append(batch, cmd)
		default:
			return batch
		}
	}
	return batch
}

// writeBatch writes the commands of a batch, except for requests that were withdrawn
// or have expired.
func (p *Pool) writeBatch(c *connection, batch []command) error {
	nowMS := p.loop.Now()
	batch = slices.DeleteFunc(batch, func(cmd command) bool {
		return cmd.exchange != nil && !p.claimForWriting(cmd.exchange, nowMS)
	})
	if len(batch) == 0 {
		return nil
	}
	c.writeStartedMS.Store(int64(nowMS))
	written, ends, err := writeCommands(c, batch, nowMS)
	c.writeStartedMS.Store(0)
	for i, cmd := range batch {
		p.commandWritten(cmd, err == nil || written > 0 && ends[i] <= written, err)
	}
	return err
}

// claimForWriting moves an exchange from stageQueued to stageWritten and reports
// whether it did. An expired exchange is withdrawn instead.
func (p *Pool) claimForWriting(ex *exchange, nowMS float64) bool {
	if ex.expired(nowMS) {
		p.loop.Post(func() { p.withdraw(ex) })
		return false
	}
	return ex.stage.CompareAndSwap(stageQueued, stageWritten)
}

// writeCommands writes a batch. It returns the number of bytes written and, for each
// command, the offset of its end. A batch that starts an exchange is not written
// after the engine has closed the connection, because it would be unknown whether its
// requests ran.
func writeCommands(c *connection, batch []command, nowMS float64) (written int, ends []int, err error) {
	ends = make([]int, len(batch))
	startsExchange := slices.ContainsFunc(batch, func(cmd command) bool { return cmd.exchange != nil })
	if startsExchange && lineproto.PeerClosed(c.socket) {
		return 0, ends, io.EOF
	}
	written, err = lineproto.Write(c.socket, func(e *lineproto.Message) {
		for i, cmd := range batch {
			cmd.appendTo(e, nowMS)
			ends[i] = e.Len()
		}
	})
	return written, ends, err
}

func (cmd *command) appendTo(e *lineproto.Message, nowMS float64) {
	if cmd.exchange == nil || cmd.exchange.request == nil {
		e.Bytes([]byte(cmd.line))
		e.Bytes(crlf)
		return
	}
	request := cmd.exchange.request
	e.Bytes([]byte(requestLine(request, nowMS)))
	e.Bytes(crlf)
	e.Bytes(request.statement)
	e.Bytes(crlf)
}

// commandWritten records the outcome of writing a command: whether it was written
// completely, and the error of its batch's write, if any.
func (p *Pool) commandWritten(cmd command, complete bool, err error) {
	switch {
	case err == nil && cmd.afterWrite != nil:
		p.loop.Post(cmd.afterWrite)
	case cmd.exchange == nil:
	case !complete:
		cmd.exchange.stage.Store(stageTruncated)
	case !cmd.exchange.isProbe:
		p.requestsWritten.Add(1)
	}
}
