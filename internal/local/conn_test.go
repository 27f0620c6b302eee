package local

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const idHeader = "X-Id"

// scripted serves one connection after the other; for each request it writes what the script returns.
func scripted(t *testing.T, script func(conn net.Conn, request *http.Request) (open bool)) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil || !script(conn, request) {
						return
					}
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func whole(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func call(t *testing.T, c *conns, id string) (*answer, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://upstream/", nil)
	require.NoError(t, err)
	request.Header.Set(idHeader, id)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	return c.exchange(ctx, request, idHeader, id, maxBody)
}

func requireBody(t *testing.T, c *conns, id, body string) {
	t.Helper()
	read, err := call(t, c, id)
	require.NoError(t, err)
	require.Equal(t, body, string(read.body))
}

func TestStrayAnswersBelongToNoCall(t *testing.T) {
	t.Run("a second answer behind the first", func(t *testing.T) {
		c := newConns(scripted(t, func(conn net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			_, _ = io.WriteString(conn, whole(id, "of "+id)+whole(id, "again"))
			return true
		}), time.Now)
		requireBody(t, c, "1", "of 1")
		requireBody(t, c, "2", "of 2")
	})
	t.Run("an answer to an earlier call in front of the right one", func(t *testing.T) {
		c := newConns(scripted(t, func(conn net.Conn, r *http.Request) bool {
			id := r.Header.Get(idHeader)
			_, _ = io.WriteString(conn, whole("0", "stray"))
			_, _ = io.WriteString(conn, whole(id, "of "+id))
			return true
		}), time.Now)
		requireBody(t, c, "1", "of 1")
	})
	t.Run("only answers to others", func(t *testing.T) {
		c := newConns(scripted(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, whole("0", "stray"))
			return false
		}), time.Now)
		_, err := call(t, c, "1")
		var cut *IncompleteResponseError
		require.ErrorAs(t, err, &cut)
	})
}

func TestAnswersWithoutLength(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"
	t.Run("ended", func(t *testing.T) {
		c := newConns(scripted(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframed)
			return false
		}), time.Now)
		requireBody(t, c, "1", "part")
	})
	t.Run("reset", func(t *testing.T) {
		c := newConns(scripted(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframed)
			_ = conn.(*net.TCPConn).SetLinger(0)
			return false
		}), time.Now)
		_, err := call(t, c, "1")
		require.Error(t, err, "an answer that was cut looks complete")
	})
}

func TestConnectionsAreReused(t *testing.T) {
	tests := []struct {
		name   string
		header string
		dials  int
	}{
		{"kept", "", 1},
		{"closed by the upstream", "Connection: close\r\n", 3},
		{"idle for no time", "Keep-Alive: timeout=1\r\n", 3},
		{"idle for a while", "Keep-Alive: timeout=60\r\n", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newConns(scripted(t, func(conn net.Conn, r *http.Request) bool {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%sContent-Length: 0\r\n\r\n", idHeader, r.Header.Get(idHeader), tt.header)
				return true
			}), time.Now)
			dials, dial := 0, c.dial
			c.dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
				dials++
				return dial(ctx, address)
			}
			for _, id := range []string{"1", "2", "3"} {
				requireBody(t, c, id, "")
			}
			require.Equal(t, tt.dials, dials)
		})
	}
}
