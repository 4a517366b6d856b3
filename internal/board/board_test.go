package board

import (
	"encoding/json"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/lines"
	"dewhill/internal/testprog"
)

const told = `{"rev":41,"notices":[{"rev":41,"pool":{"seq":7,"whole":false,"hosts":[{"host":"s-00c41f7a",
	"dial":"10.1.0.9:5050","site":"east","class":"std","block":2,"health":"active","share":4,"born_ms":0}]}}]}`

// Answers read the same however they are cut, of stated length or in chunks.
func TestAnswersInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(told), told)
		if k := rapid.IntRange(0, len(told)-1).Draw(t, "chunk"); k > 0 {
			message = fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n\r\n",
				k, told[:k], len(told)-k, told[k:])
		}
		in := lines.New(testprog.Cut(t, []byte(message+message)), 16<<10)
		for range 2 {
			body, err := readAnswer(in)
			var n Notices
			if err != nil || json.Unmarshal(body, &n) != nil || n.Check() != nil || n.Notices[0].Pool.Hosts[0].ID != "s-00c41f7a" {
				t.Fatalf("%q: %v", body, err)
			}
		}
	})
}

// Garbage is an error, or notices that pass the check and can be used.
func TestGarbledAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := lines.New(testprog.Cut(t, testprog.Garbled(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")), 16<<10)
		readAnswer(in)
		var n Notices
		if json.Unmarshal(testprog.Garbled(t, told), &n) == nil && n.Check() == nil {
			for _, e := range n.Notices {
				if e.Rev > n.Rev {
					t.Fatalf("%+v", n)
				}
			}
		}
	})
}
