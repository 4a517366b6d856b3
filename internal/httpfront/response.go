package httpfront

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"time"

	"dewhill/internal/httpresponse"
)

var emptyBody = []byte("{}")

// response is an HTTP response to a client.
type response struct {
	status       int
	retryAfterMS int      // 0: not sent
	body         []byte   // JSON; if nil, encoded from pages and pollPath
	pages        [][]byte // rows as text; see appendRows
	pollPath     string   // path of the result or of its next chunk; empty if none
	closeAfter   bool
	linger       time.Duration // how long input is read after the last response
}

// responseBody is the JSON body of a response.
type responseBody struct {
	Poll string     `json:"poll,omitempty"`
	Page [][]string `json:"page,omitempty"`
	Err  string     `json:"err,omitempty"`
}

func errorBody(reason string) []byte {
	body, _ := json.Marshal(responseBody{Err: reason}) // encoding strings can't fail
	return body
}

// write sends the response.
func (r *response) write(conn net.Conn) error {
	body, err := r.encodeBody()
	if err != nil {
		return err
	}
	message := httpresponse.Response{Status: r.status, Body: body, CloseAfter: r.closeAfter}
	if r.retryAfterMS > 0 {
		retryAfter := httpresponse.Field{Name: headerRetryAfterMS, Value: strconv.Itoa(r.retryAfterMS)}
		message.Fields = append(message.Fields, retryAfter)
	}
	return message.Write(conn)
}

func (r *response) encodeBody() ([]byte, error) {
	if r.body != nil {
		return r.body, nil
	}
	content := responseBody{Poll: r.pollPath}
	for _, page := range r.pages {
		content.Page = appendRows(content.Page, page)
	}
	return json.Marshal(content)
}

// appendRows parses a page and appends its rows. In a page, columns are separated by
// tabs and each row ends with a line feed.
func appendRows(rows [][]string, page []byte) [][]string {
	if len(page) == 0 {
		return rows
	}
	text := strings.TrimSuffix(string(page), "\n")
	for line := range strings.SplitSeq(text, "\n") {
		rows = append(rows, strings.Split(line, "\t"))
	}
	return rows
}
