package local

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// serveRaw returns the address of an upstream that passes on the first line and the body of each request as received.
func serveRaw(t *testing.T) (address string, received <-chan string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	requests := make(chan string, 1)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			var raw bytes.Buffer
			request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
			if err == nil {
				body, _ := io.ReadAll(request.Body)
				line, _, _ := strings.Cut(raw.String(), "\r\n")
				requests <- line + " " + string(body)
			}
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			_ = conn.Close()
		}
	}()
	return listener.Addr().String(), requests
}

// Guards against requests that reach an upstream with another method, path, query or body than the caller sent.
func TestRequestIsPassedOnUnchanged(t *testing.T) {
	address, received := serveRaw(t)
	f := newFixture(t, address)
	tests := []struct{ method, target, body string }{
		{http.MethodGet, "/", ""},
		{http.MethodPost, "/a|b", "text"},
		{http.MethodPost, `/a"<>\^{}` + "`|b", "text"},
		{http.MethodGet, "/a%7Cb|c", ""},
		{http.MethodGet, "/a%7cb/%2F/../x/./", ""},
		{http.MethodGet, "//a//b|c", ""},
		{http.MethodGet, "//", ""},
		{http.MethodGet, "/a?", ""},
		{http.MethodGet, "/a|b?c|d=%7C&e=\"f\"", ""},
		{http.MethodGet, "/a#b", ""},
		{http.MethodGet, "/:80/a:b@c;d=1", ""},
		{http.MethodGet, "/\xc3\xbc/\xff", ""},
		{"PURGE", "/a|b", "text"},
		{http.MethodPut, "/" + strings.Repeat("|", 10_000), strings.Repeat("b", 20_000)},
	}
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.target[:min(len(tt.target), 30)], func(t *testing.T) {
			head := newHead()
			head.Method, head.Target, head.Body = tt.method, []byte(tt.target), []byte(tt.body)
			require.Equal(t, wirepb.Outcome_OUTCOME_ANSWERED, f.Call(t.Context(), head).GetOutcome())
			require.Equal(t, tt.method+" "+tt.target+" HTTP/1.1 "+tt.body, <-received)
		})
	}
}

// Guards against a target from another node that ends the request line, so that the upstream reads a further request.
func TestInvalidTargetDoesNotReachTheUpstream(t *testing.T) {
	address, received := serveRaw(t)
	f := newFixture(t, address)
	for _, target := range []string{"", "a", "*", "/a b", "/ HTTP/1.1\r\nX: y\r\n\r\nGET /", "/\n", "/\x00", "/\x7f", "/%zz"} {
		t.Run(target, func(t *testing.T) {
			head := newHead()
			head.Target = []byte(target)
			require.Equal(t, wirepb.Outcome_OUTCOME_NOT_RUN, f.Call(t.Context(), head).GetOutcome())
			require.Empty(t, received)
		})
	}
}
