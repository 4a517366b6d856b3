package adminapi

import (
	"errors"
	"fmt"
	"io"
	"net/textproto"
	"strings"

	"dewhill/internal/lineproto"
)

const (
	maxHeadBytes = 8 << 10
	maxBodyBytes = 64 << 10 // bodies are read and ignored
)

// errMalformedRequest leads to a response with status 400.
var errMalformedRequest = errors.New("malformed request")

// request is an operator's request. No path uses the body, so it is left out.
type request struct {
	method string
	path   string
}

// readRequest reads a request with its body. It returns errMalformedRequest for a
// malformed request; other errors are those of the connection.
func readRequest(source io.Reader) (request, error) {
	buffer := lineproto.New(source, maxHeadBytes)
	firstLine, fields, err := buffer.ReadHead()
	var malformed textproto.ProtocolError
	if errors.Is(err, lineproto.ErrTooLong) || errors.As(err, &malformed) {
		return request{}, errMalformedRequest
	}
	if err != nil {
		return request{}, err
	}
	parts := strings.Split(firstLine, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return request{}, errMalformedRequest
	}
	bodyBytes, err := contentLength(fields)
	if err != nil {
		return request{}, err
	}
	if _, err := buffer.ReadBytes(bodyBytes); err != nil {
		return request{}, err
	}
	return request{method: parts[0], path: parts[1]}, nil
}

func contentLength(fields textproto.MIMEHeader) (int, error) {
	text := fields.Get("Content-Length")
	if text == "" {
		return 0, nil
	}
	length := 0
	scanned, err := fmt.Sscanf(text, "%d", &length)
	if scanned != 1 || err != nil || length < 0 || length > maxBodyBytes {
		return 0, errMalformedRequest
	}
	return length, nil
}
