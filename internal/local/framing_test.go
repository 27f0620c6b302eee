package local

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// framingCase is what an upstream sends.
type framingCase struct {
	name     string
	response string
	// status is that of the response, or 0 if the bytes are none.
	status int
}

func framingCases() []framingCase {
	const (
		body = "\r\nhello"
		ok   = "HTTP/1.1 200 OK\r\n"
	)
	longText := strings.Repeat("x", 3*connBufferBytes)
	return []framingCase{
		{"200", ok + "Content-Length: 5\r\n" + body, 200},
		{"200 without a reason", "HTTP/1.1 200\r\nContent-Length: 5\r\n" + body, 200},
		{"200 with an empty reason", "HTTP/1.1 200 \r\nContent-Length: 5\r\n" + body, 200},
		{"200 with line ends of one byte", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", 200},
		{"200 of HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n" + body, 200},
		{"200 of HTTP/1.2", "HTTP/1.2 200 OK\r\nContent-Length: 5\r\n" + body, 200},
		{"299", "HTTP/1.1 299 Odd\r\nContent-Length: 5\r\n" + body, 299},
		{"418", "HTTP/1.1 418 Odd\r\nContent-Length: 5\r\n" + body, 418},
		{"599", "HTTP/1.1 599 Odd\r\nContent-Length: 5\r\n" + body, 599},
		{"200 after 100", "HTTP/1.1 100 Continue\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 200},
		{"200 after 102 and 199", "HTTP/1.1 102 Odd\r\n\r\nHTTP/1.1 199 Odd\r\nA: b\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 200},
		{"200 in chunks", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200},
		{"200 in chunks, in capitals", ok + "TRANSFER-ENCODING: Chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200},
		{"200 with a long head", ok + "A: " + longText + "\r\nContent-Length: 5\r\n" + body, 200},
		{"000", "HTTP/1.1 000 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"000 before 200", "HTTP/1.1 000 Odd\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 0},
		{"001", "HTTP/1.1 001 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"099 before 200", "HTTP/1.1 099 Odd\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 0},
		{"600", "HTTP/1.1 600 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"999", "HTTP/1.1 999 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"1000", "HTTP/1.1 1000 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"2000", "HTTP/1.1 2000 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"0200", "HTTP/1.1 0200 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"20", "HTTP/1.1 20 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"negative", "HTTP/1.1 -20 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"negative of four bytes", "HTTP/1.1 -200 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"plus sign", "HTTP/1.1 +20 Odd\r\nContent-Length: 5\r\n" + body, 0},
		{"plus sign before 200", "HTTP/1.1 +20 Odd\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 0},
		{"two blanks", "HTTP/1.1  200 OK\r\nContent-Length: 5\r\n" + body, 0},
		{"tab", "HTTP/1.1\t200 OK\r\nContent-Length: 5\r\n" + body, 0},
		{"blank inside", "HTTP/1.1 2 0 OK\r\nContent-Length: 5\r\n" + body, 0},
		{"hexadecimal", "HTTP/1.1 0xC8 OK\r\nContent-Length: 5\r\n" + body, 0},
		{"letters", "HTTP/1.1 two OK\r\nContent-Length: 5\r\n" + body, 0},
		{"none", "HTTP/1.1 \r\nContent-Length: 5\r\n" + body, 0},
		{"unrequested 101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n", 0},
		{"unrequested 101 before 200", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + ok + "Content-Length: 5\r\n" + body, 0},
		{"HTTP/2.0", "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n" + body, 0},
		{"length given twice", ok + "Content-Length: 5\r\nContent-Length: 5\r\n" + body, 0},
		{"two lengths", ok + "Content-Length: 5\r\nContent-Length: 4\r\n" + body, 0},
		{"two lengths in capitals", ok + "content-length: 5\r\nCONTENT-LENGTH: 4\r\n" + body, 0},
		{"list of lengths", ok + "Content-Length: 5, 5\r\n" + body, 0},
		{"length with a plus sign", ok + "Content-Length: +5\r\n" + body, 0},
		{"negative length", ok + "Content-Length: -5\r\n" + body, 0},
		{"hexadecimal length", ok + "Content-Length: 0x5\r\n" + body, 0},
		{"fraction as a length", ok + "Content-Length: 5.0\r\n" + body, 0},
		{"empty length", ok + "Content-Length:\r\n" + body, 0},
		{"length beyond 64 bits", ok + "Content-Length: 18446744073709551621\r\n" + body, 0},
		{"folded length", ok + "Content-Length: 5\r\n 0\r\n" + body, 0},
		{"blank before the colon", ok + "Content-Length : 5\r\n" + body, 0},
		{"length and chunks", ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"chunks and length", ok + "Transfer-Encoding: chunked\r\nContent-Length: 20\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"chunks twice", ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"other encoding", ok + "Transfer-Encoding: gzip, chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"identity", ok + "Transfer-Encoding: identity\r\nContent-Length: 5\r\n" + body, 0},
		{"folded encoding", ok + "Transfer-Encoding:\r\n chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"chunks of HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
		{"fault behind a long head", ok + "A: " + longText + "\r\nContent-Length: 5\r\nContent-Length: 5\r\n" + body, 0},
	}
}

// Guards against bytes that are no response of the protocol being taken for one, as a status 000 was on other systems, and against two readings
// of where a response ends. A call without a response has an unknown outcome, and its connection is not used again.
func TestOnlyResponsesOfTheProtocolCount(t *testing.T) {
	for _, tt := range framingCases() {
		t.Run(tt.name, func(t *testing.T) {
			var connections atomic.Int32
			address := serveScript(t, func(conn net.Conn, _ *http.Request) bool {
				if connections.Add(1) == 1 {
					_, _ = io.WriteString(conn, tt.response)
				} else {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello")
				}
				return true
			})
			f := newFixture(t, address.String())
			answer := f.Call(t.Context(), newHead())
			if tt.status == 0 {
				require.Equal(t, wirepb.Outcome_OUTCOME_UNKNOWN, answer.GetOutcome(), "status %d", answer.GetStatus())
				require.Zero(t, answer.GetStatus())
				require.Empty(t, answer.GetBody())
			} else {
				require.Equal(t, wirepb.Outcome_OUTCOME_ANSWERED, answer.GetOutcome(), answer.GetDetail())
				require.EqualValues(t, tt.status, answer.GetStatus())
				require.Equal(t, "hello", string(answer.GetBody()))
			}
			next := f.Call(t.Context(), newHead())
			require.Equal(t, "hello", string(next.GetBody()), "the next call gets its own response")
			require.EqualValues(t, 200, next.GetStatus())
		})
	}
}
