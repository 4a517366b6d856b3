package mysql_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dewhill/internal/mysql"
)

// soakClient sends statements on connections that it keeps.
type soakClient struct {
	d           *disruptedFleet
	number      int
	rng         *rand.Rand
	connections []*mysql.RawClient // by front end; nil: none
	sent        int
}

// connection returns an open connection to a front end, or nil if there is none.
func (c *soakClient) connection(front int) *mysql.RawClient {
	if c.connections[front] != nil && c.d.maySend(front) {
		return c.connections[front]
	}
	c.closeConnection(front)
	if !c.d.mayConnect(front) {
		return nil
	}
	connection, err := mysql.DialRaw(c.d.addrs[front])
	if err != nil {
		return nil
	}
	_ = connection.SetDeadline(time.Now().Add(soakDeadlines + 2*answerSlack))
	if connection.LogIn("app", "secret") != nil {
		_ = connection.Close()
		return nil
	}
	c.connections[front] = connection
	return connection
}

func (c *soakClient) closeConnection(front int) {
	if c.connections[front] != nil {
		_ = c.connections[front].Close()
		c.connections[front] = nil
	}
}

// run sends statements until a time.
func (c *soakClient) run(end time.Time) {
	for time.Now().Before(end) {
		c.sent++
		statement := c.newStatement()
		for attempt := range maxRepeats {
			if c.send(statement, attempt > 0) || !statement.hasID || time.Now().After(end) {
				break
			}
			time.Sleep(time.Duration(c.rng.IntN(150)) * time.Millisecond)
		}
		time.Sleep(time.Duration(c.rng.IntN(40)) * time.Millisecond)
	}
	for front := range c.connections {
		c.closeConnection(front)
	}
}

func (c *soakClient) newStatement() *soakStatement {
	statement := &soakStatement{text: fmt.Sprintf("SELECT a FROM trips_1.t /* %d-%d */", c.number, c.sent)}
	switch c.rng.IntN(4) {
	case 0:
		statement.text = fmt.Sprintf("INSERT INTO trips_%d.t VALUES (%d, %d)", c.number, c.number, c.sent)
	case 1, 2:
		statement.hasID = true
		statement.text = fmt.Sprintf("INSERT /* dewhill: id=s%d-%d */ INTO trips_%d.t VALUES (%d, %d)",
			c.number, c.sent, c.number, c.number, c.sent)
	}
	c.d.mu.Lock()
	c.d.statements = append(c.d.statements, statement)
	c.d.mu.Unlock()
	return statement
}

// send sends a statement through a random front end, once more if it crosses the close of its
// connection, and reports whether it got a final answer or its client has left.
func (c *soakClient) send(statement *soakStatement, isRepeat bool) (final bool) {
	front := c.rng.IntN(len(c.connections))
	text := statement.text
	mustMark := !c.d.replicates || c.rng.IntN(2) == 0
	if isRepeat && statement.hasID && mustMark {
		text = strings.Replace(text, " */", " retry=yes */", 1)
	}
	crossed, final := c.sendOnce(statement, text, front, false)
	if crossed {
		c.closeConnection(front)
		if statement.hasID && !c.d.replicates {
			text = strings.Replace(statement.text, " */", " retry=yes */", 1)
		}
		_, final = c.sendOnce(statement, text, front, true)
	}
	return final
}

// sendOnce sends a statement once. crossed means that it may have crossed the close of its
// connection.
func (c *soakClient) sendOnce(statement *soakStatement, text string, front int, isSecond bool) (crossed, final bool) {
	connection := c.connection(front)
	if connection == nil {
		return false, false
	}
	sentAt := time.Now()
	var err error
	if c.rng.IntN(3) == 0 {
		err = connection.SendPrepared(text)
	} else {
		err = connection.Send(text)
	}
	if err == nil && c.rng.IntN(15) == 0 {
		time.Sleep(time.Duration(c.rng.IntN(100)) * time.Millisecond)
		statement.unanswered++
		c.closeConnection(front) // the client leaves, and may come back
		return false, c.rng.IntN(2) == 0
	}
	var answer mysql.Answer
	if err == nil {
		answer, err = connection.ReadAnswer()
	}
	took := time.Since(sentAt)
	if err == nil {
		c.checkAnswer(statement, answer, took)
		return false, finalAnswerCode(answer.Code)
	}
	c.closeConnection(front)
	statement.unanswered++
	switch {
	case c.d.wasKilled(front, sentAt.Add(-crossingTime)):
	case took <= crossingTime && !isSecond:
		return true, false
	default:
		c.d.reportf("%s: no answer from front end %d after %v, %v after SIGTERM, second attempt %v: %v",
			text, front, took, c.d.sinceTerm(front), isSecond, err)
	}
	return false, false
}

// checkAnswer records an answer and checks it.
func (c *soakClient) checkAnswer(statement *soakStatement, answer mysql.Answer, took time.Duration) {
	statement.answers = append(statement.answers, answer)
	if took > soakDeadlines+answerSlack {
		c.d.reportf("%s: answered after %v", statement.text, took)
	}
}

// finalAnswerCode reports whether a load is not sent again after an answer with this code.
func finalAnswerCode(code uint16) bool { return !slices.Contains(retryableCodes, code) }
