package server_test

import (
	"strings"

	"dewhill/internal/fakes"
)

// replyOneRow, replyNoRows and neverReply are scripts of engines.
func replyOneRow(c fakes.Command) string { return fakes.ResultReply(c.ID, "batches=1", "a\tb\tc\n") }
func replyNoRows(c fakes.Command) string { return fakes.ResultReply(c.ID, "batches=1", "") }
func neverReply(fakes.Command) string    { return "" }

// replyError and replyFull are scripts of an engine that has failed, and of one that is
// full. resetConnection is one of an engine that resets its connection.
func replyError(c fakes.Command) string    { return fakes.ErrorReply(c.ID) }
func replyFull(c fakes.Command) string     { return fakes.FullReply(c.ID) }
func resetConnection(fakes.Command) string { return fakes.ResetConnection }

// gate holds the answers to some statements until it is opened.
type gate struct{ opened chan struct{} }

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// open lets all answers out.
func (g *gate) open() { close(g.opened) }

// reply is a script: it answers with one row, and statements that begin with "slow"
// once the gate is open.
func (g *gate) reply(c fakes.Command) string {
	if strings.HasPrefix(c.Statement, "slow") {
		<-g.opened
	}
	return replyOneRow(c)
}

// answerAfter is a script of a discovery service: it answers polls for the updates after
// one revision, and is silent otherwise.
func answerAfter(revision int, updates fakes.Updates) func(fakes.Poll) string {
	return func(p fakes.Poll) string {
		if p.Revision != revision {
			return ""
		}
		return updates.JSON()
	}
}

// neverAnswerPoll is a script of a discovery service.
func neverAnswerPoll(fakes.Poll) string { return "" }
