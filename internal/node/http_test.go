package node

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// net/http rejects an invalid request before it reaches a handler. The connection must be counted nevertheless, but not one that
// ended without sending anything.
func TestInvalidRequestIsCounted(t *testing.T) {
	tests := []struct {
		name  string
		input string
		count int32
	}{
		{"valid request", "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0},
		{"not HTTP", "\x00\xff\x13\r\n\r\n", 1},
		{"truncated request line", "GET / HT", 1},
		{"oversized header", "GET / HTTP/1.1\r\nX: " + strings.Repeat("x", 1<<17) + "\r\n\r\n", 1},
		{"no input", "", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var invalid, closed atomic.Int32
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.MaxHeaderBytes = maxHeaderBytes
			observeInvalidRequests(server.Config, func() { invalid.Add(1) })
			connState := server.Config.ConnState
			server.Config.ConnState = func(c net.Conn, s http.ConnState) {
				connState(c, s)
				if s == http.StateClosed {
					closed.Add(1)
				}
			}
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			_, _ = conn.Write([]byte(tt.input))
			require.NoError(t, conn.(*net.TCPConn).CloseWrite())
			require.Eventually(t, func() bool { return closed.Load() == 1 }, time.Second, time.Millisecond)
			require.NoError(t, conn.Close())
			require.Equal(t, tt.count, invalid.Load())
		})
	}
}
