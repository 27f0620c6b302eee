package front

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/budget"
)

const (
	// fuzzAllocated and fuzzAllocatedFactor bound what may be allocated for some input: buffers, and what each of its bytes takes.
	fuzzAllocated       = 1 << 20
	fuzzAllocatedFactor = 600
)

// fuzzedConn is a connection whose caller has sent some bytes and closed it.
type fuzzedConn struct {
	net.Conn
	io.Reader
}

func (c *fuzzedConn) Read(data []byte) (int, error)      { return c.Reader.Read(data) }
func (c *fuzzedConn) Write(data []byte) (int, error)     { return len(data), nil }
func (c *fuzzedConn) Close() error                       { return nil }
func (c *fuzzedConn) SetReadDeadline(_ time.Time) error  { return nil }
func (c *fuzzedConn) SetWriteDeadline(_ time.Time) error { return nil }

// allocatedBytes returns the bytes that the process has allocated. The cheaper runtime/metrics are exact only after a collection.
func allocatedBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against bytes of a caller that cause a panic, take much more memory than they are, or leave something charged.
func FuzzRequests(f *testing.F) {
	const (
		host    = "Host: a\r\n"
		chunked = "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n"
	)
	for _, text := range []string{
		"", "\r\n", "GET", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n" + host + "\r\n", "GET / HTTP/1.0\r\n" + host + "\r\n",
		strings.Repeat("GET / HTTP/1.1\r\n"+host+"\r\n", 40), "GET / HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n",
		"GET / HTTP/1.1\r\n" + host + strings.Repeat("a:\r\n", 3000) + "\r\n", "GET / HTTP/1.1\r\n" + host + strings.Repeat("a: b\r\n c\r\n", 500) + "\r\n",
		"GET / HTTP/1.1\r\n" + host + "Cookie: " + strings.Repeat("k=v; ", 2000) + "\r\n\r\n", "GET / HTTP/1.1\r\n" + host + strings.Repeat("N", 9000) + ": v\r\n\r\n",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhello", "POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\n\r\nhel",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", "POST / HTTP/1.1\r\n" + host + "Content-Length: +5\r\n\r\nhello",
		"POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999\r\n\r\nhello", "POST / HTTP/1.1\r\n" + host + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx",
		chunked + "\r\n5\r\nhello\r\n0\r\n\r\n", chunked + "\r\n" + strings.Repeat("1\r\nx\r\n", 200) + "0\r\n\r\n", chunked + "\r\n5;a=b\r\nhello\r\n0\r\nA: b\r\n\r\n",
		chunked + "Content-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n", chunked + "\r\nffffffffffffffff\r\n", chunked + "\r\n-1\r\n", chunked + "\r\n5\r\nhel",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b := budget.New(budget.Config{Bytes: 8 << 20, ReserveBytes: 4 << 20, Now: time.Now})
		s := New(Config{
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, err := io.ReadAll(r.Body)
				if err != nil || int64(len(body)) != r.ContentLength {
					t.Errorf("%d bytes of %d: %v", len(body), r.ContentLength, err)
				}
				_, _ = w.Write(body)
			}),
			Budget: b, OnPanic: func(value any, stack []byte) { t.Errorf("%v\n%s", value, stack) },
			Limits: func() Limits {
				return Limits{MaxHeaderBytes: memoryHeadBytes, MaxBodyBytes: 64 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
			},
		})
		before := allocatedBytes()
		s.serveConn(context.Background(), &fuzzedConn{Reader: bytes.NewReader(data)})
		require.LessOrEqual(t, allocatedBytes()-before, uint64(fuzzAllocated+fuzzAllocatedFactor*len(data)))
		require.Zero(t, b.Held())
		require.Zero(t, s.ConnectionCount())
	})
}
