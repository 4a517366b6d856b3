package fakes

import "fmt"

// ResultReply returns the reply of an engine with fields, as in batches=1, and the first page of a
// result.
func ResultReply(id, fields, page string) string {
	return fmt.Sprintf("%s ACK %s %d\r\n%s\r\n", id, fields, len(page), page)
}

// PageReply returns the reply of an engine with a further page of a result.
func PageReply(id string, number int, page string) string {
	return fmt.Sprintf("%s BLOCK batch=%d %d\r\n%s\r\n", id, number, len(page), page)
}

// ErrorReply returns the reply of an engine at which a request has failed.
func ErrorReply(id string) string { return emptyReply(id, "EIO") }

// FullReply returns the reply of an engine without free capacity.
func FullReply(id string) string { return emptyReply(id, "AGAIN") }

// emptyReply returns a reply with neither fields nor a body.
func emptyReply(id, verb string) string { return fmt.Sprintf("%s %s - 0\r\n\r\n", id, verb) }
