package local

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Guards against a response that is not passed on whole, and against an error that quotes bytes of a response, so that the answer cannot be
// sent to the caller's node.
func TestResponsesThatAreNotUTF8(t *testing.T) {
	const answered, unknown = wirepb.Outcome_OUTCOME_ANSWERED, wirepb.Outcome_OUTCOME_UNKNOWN
	tests := []struct {
		name, response string
		outcome        wirepb.Outcome
	}{
		{"value of a header", "HTTP/1.1 200 OK\r\nX-Name: \xff\xfe\r\nContent-Length: 0\r\n\r\n", answered},
		{"body", "HTTP/1.1 200 OK\r\nX-Name: a\r\nContent-Length: 2\r\n\r\n\xff\xfe", answered},
		{"reason", "HTTP/1.1 200 \xff\xfe\r\nX-Name: a\r\nContent-Length: 0\r\n\r\n", answered},
		{"name of a header", "HTTP/1.1 200 OK\r\nX-\xff\xfe: a\r\nContent-Length: 0\r\n\r\n", unknown},
		{"line without a colon", "HTTP/1.1 200 OK\r\n\xff\xfe\r\nContent-Length: 0\r\n\r\n", unknown},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: \xff\r\n\r\n", unknown},
		{"coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: \xff\r\n\r\n", unknown},
		{"status", "HTTP/1.1 2\xff0 OK\r\n\r\n", unknown},
		{"protocol", "\xff\xfe 200 OK\r\n\r\n", unknown},
		{"size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n\xff\r\n", unknown},
		{"name of a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: \xff\r\n\r\n0\r\n\xff: a\r\n\r\n", unknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = listener.Close() })
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = fmt.Fprint(conn, tt.response)
				time.Sleep(10 * time.Millisecond)
				_ = conn.Close()
			}()
			f := newFixture(t, listener.Addr().String())
			head := newHead()
			head.Body = nil
			answer := f.Call(t.Context(), head)
			require.Equal(t, tt.outcome, answer.GetOutcome(), answer.GetDetail())
			_, err = frame.Encode(answer)
			require.NoError(t, err)
			if tt.outcome == answered {
				require.Contains(t, tt.response, "X-Name: "+string(headerValue(answer, "X-Name"))+"\r\n")
				require.Contains(t, tt.response, "\r\n\r\n"+string(answer.GetBody()))
			}
		})
	}
}

func headerValue(answer *wirepb.AnswerHead, name string) []byte {
	for _, h := range answer.GetHeaders() {
		if h.GetName() == name {
			return h.GetValue()
		}
	}
	return nil
}
