package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"dewhill/internal/lineproto"
)

const (
	maxHeadBytes = 16 << 10
	maxBodyBytes = 4 << 20
	lengthBits   = 31 // size of the integers in lengths

	// pollWaitMS is how long the service may hold a poll open while there are no new
	// events.
	pollWaitMS = 1000
)

// errMalformedResponse is wrapped by the errors about malformed responses.
var errMalformedResponse = errors.New("malformed response")

// poll requests the events after a revision. The response must arrive within the
// timeout.
func poll(conn net.Conn, buffer *lineproto.Buffer, addr string, revision int64, timeout time.Duration) (*Updates, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return nil, err
	}
	_, err := lineproto.Write(conn, func(m *lineproto.Message) {
		m.Line("GET /board/poll?watch=%d&linger=%d HTTP/1.1", revision, pollWaitMS)
		m.Line("Host: %s", addr)
		m.Line("")
	})
	if err != nil {
		return nil, err
	}
	body, err := readResponse(buffer)
	if err != nil {
		return nil, err
	}
	updates := &Updates{}
	if err := json.Unmarshal(body, updates); err != nil {
		return nil, err
	}
	return updates, nil
}

// readResponse reads an HTTP response with a Content-Length or a chunked body, and
// returns the body.
func readResponse(buffer *lineproto.Buffer) ([]byte, error) {
	statusLine, fields, err := buffer.ReadHead()
	if err != nil {
		return nil, err
	}
	if err := checkStatus(statusLine); err != nil {
		return nil, err
	}
	if strings.EqualFold(fields.Get("Transfer-Encoding"), "chunked") {
		return readChunks(buffer)
	}
	length, err := contentLength(fields)
	if err != nil {
		return nil, err
	}
	return buffer.ReadBytes(length)
}

func checkStatus(statusLine string) error {
	parts := strings.SplitN(statusLine, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return fmt.Errorf("%w: not HTTP: %.40q", errMalformedResponse, statusLine)
	}
	if parts[1] != "200" {
		return fmt.Errorf("unexpected status: %.40q", statusLine)
	}
	return nil
}

func contentLength(fields textproto.MIMEHeader) (int, error) {
	text := fields.Get("Content-Length")
	length, err := strconv.ParseUint(text, 10, lengthBits)
	if err != nil || length > maxBodyBytes {
		return 0, fmt.Errorf("%w: length %.20q", errMalformedResponse, text)
	}
	return int(length), nil
}

func readChunks(buffer *lineproto.Buffer) ([]byte, error) {
	var body []byte
	for {
		line, err := buffer.ReadLine()
		if err != nil {
			return nil, err
		}
		size, err := chunkSize(line)
		if err != nil || len(body)+size > maxBodyBytes {
			return nil, fmt.Errorf("%w: chunk of %.20q", errMalformedResponse, line)
		}
		if size == 0 {
			if err := skipTrailer(buffer); err != nil {
				return nil, err
			}
			return body, nil
		}
		data, err := buffer.ReadBytes(size + len("\r\n"))
		if err != nil {
			return nil, err
		}
		body = append(body, data[:size]...)
	}
}

func chunkSize(line string) (int, error) {
	size, _, _ := strings.Cut(line, ";")
	n, err := strconv.ParseUint(strings.TrimSpace(size), 16, lengthBits)
	return int(n), err
}

func skipTrailer(buffer *lineproto.Buffer) error {
	for {
		line, err := buffer.ReadLine()
		if err != nil {
			return err
		}
		if line == "" {
			return nil
		}
	}
}
