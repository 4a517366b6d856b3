package server_test

import (
	"strings"

	"dewhill/internal/fakes"
)

// replyOneRow, replyNoRows and neverReply are scripts of engines that reply with a result
// or not at all.
func replyOneRow(c fakes.Command) string { return fakes.ResultReply(c.ID, "batches=1", "a\tb\tc\n") }
func replyNoRows(c fakes.Command) string { return fakes.ResultReply(c.ID, "batches=1", "") }
func neverReply(fakes.Command) string    { return "" }

// replyError, replyFull and resetConnection are scripts of engines that fail, are full, or
// reset their connection.
func replyError(c fakes.Command) string    { return fakes.ErrorReply(c.ID) }
func replyFull(c fakes.Command) string     { return fakes.FullReply(c.ID) }
func resetConnection(fakes.Command) string { return fakes.ResetConnection }

// gate delays the replies to some statements until it is opened.
type gate struct{ opened chan struct{} }

func newGate() *gate { return &gate{opened: make(chan struct{})} }

// open releases all replies.
func (g *gate) open() { close(g.opened) }

// reply is a script. It replies with one row; to statements that begin with "slow" it replies
// once the gate is open.
func (g *gate) reply(c fakes.Command) string {
	if strings.HasPrefix(c.Statement, "slow") {
		<-g.opened
	}
	return replyOneRow(c)
}

// answerAfter returns a script of a discovery service that answers polls for the updates
// after one revision, and no other polls.
func answerAfter(revision int, updates fakes.Updates) func(fakes.Poll) string {
	return func(p fakes.Poll) string {
		if p.Revision != revision {
			return ""
		}
		return updates.JSON()
	}
}

// neverAnswerPoll is a script of a discovery service that answers no poll.
func neverAnswerPoll(fakes.Poll) string { return "" }
