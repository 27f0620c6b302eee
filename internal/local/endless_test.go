package local

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// sendForever repeats some bytes until the connection breaks, and returns how many were sent.
func sendForever(conn net.Conn, part string, pause time.Duration) int64 {
	data := []byte(part)
	if pause == 0 {
		data = bytes.Repeat(data, 1+(16<<10)/len(data))
	}
	sent := int64(0)
	for {
		n, err := conn.Write(data)
		sent += int64(n)
		if err != nil {
			return sent
		}
		<-time.After(pause)
	}
}

// An upstream in trouble may send bytes without end, in any part of a response, until its connection is closed. The call must end
// in time, as unknown, with the connection closed and little of it held in memory.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		// mostSent bounds what the upstream can send: the limits on head and body, and what the sockets of both sides hold.
		mostSent = 8 << 20
		timeLeft = 400 * time.Millisecond
	)
	const head = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name  string
		start string
		part  string
		pause time.Duration
	}{
		{"in the status line", "", "x", 0},
		{"in the status line, a byte at a time", "", "x", time.Millisecond},
		{"in a header", head + "X-A: ", "x", 0},
		{"in headers", head, "X-A: b\r\n", 0},
		{"in headers, slowly", head, "X-A: b\r\n", time.Millisecond},
		{"in interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 0},
		{"in a body without length", head + "\r\n", "x", 0},
		{"in a body without length, a byte at a time", head + "\r\n", "x", time.Millisecond},
		{"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 0},
		{"in the size of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n", "0", 0},
		{"in the extension of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 0},
		{"in trailers", head + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n1\r\nx\r\n0\r\n", "X-A: b\r\n", 0},
		{"in responses to other calls", "", "HTTP/1.1 200 OK\r\nTurmericdale-Call-Id: 0\r\nContent-Length: 1\r\n\r\nx", 0},
		{"in a body beyond a claimed length", head + "Content-Length: 4000000000000\r\n\r\n", "x", 0},
		{"in no protocol", "\x00\x01", "\xff", 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sent := make(chan int64, 1)
			address := serveScript(t, func(conn net.Conn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, tt.start)
				sent <- sendForever(conn, tt.part, tt.pause)
				return false
			})
			f, callHead := newFixture(t, address.String()), newHead()
			callHead.TimeLeft = durationpb.New(timeLeft)
			started := time.Now()
			answer := f.Call(t.Context(), callHead)
			require.Equal(t, wirepb.Outcome_OUTCOME_UNKNOWN, answer.GetOutcome(), answer.GetDetail())
			require.Less(t, time.Since(started), timeLeft+5*deadlineGraceDuration)
			select {
			case n := <-sent:
				require.Less(t, n, int64(mostSent))
			case <-time.After(5 * time.Second):
				t.Fatal("the connection was not closed")
			}
			require.Zero(t, f.cfg.bodies.held.Load())
		})
	}
	t.Run("after a complete response, on a connection that is kept", func(t *testing.T) {
		var connections atomic.Int32
		c := newConnPool(serveScript(t, func(conn net.Conn, r *http.Request) bool {
			connections.Add(1)
			_, _ = io.WriteString(conn, formatResponse(r.Header.Get(idHeader), "body"))
			sendForever(conn, "x", 0)
			return false
		}), &bodyBudget{}, time.Now)
		for i := range int32(3) {
			requireBody(t, c, "1", "body")
			require.Equal(t, i+1, connections.Load(), "a connection with bytes of no response was used again")
			requireNoQuietIdleConnection(t, c)
		}
	})
	t.Run("after a complete response, once the connection is in use again", func(t *testing.T) {
		c := newConnPool(serveScript(t, func(conn net.Conn, r *http.Request) bool {
			if id := r.Header.Get(idHeader); id != "2" {
				_, _ = io.WriteString(conn, formatResponse(id, "of "+id))
				return true
			}
			sendForever(conn, "x", 0)
			return false
		}), &bodyBudget{}, time.Now)
		requireBody(t, c, "1", "of 1")
		_, err := sendCall(t, c, "2")
		var endless *EndlessHeadError
		require.ErrorAs(t, err, &endless)
		requireBody(t, c, "3", "of 3")
	})
}

// requireNoQuietIdleConnection waits until the bytes that follow a response have arrived on each connection that is kept.
func requireNoQuietIdleConnection(t *testing.T, c *connPool) {
	t.Helper()
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, idle := range c.idle {
			if idle.isReusable() {
				return false
			}
		}
		return true
	}, 5*time.Second, time.Millisecond)
}

// Many upstream connections that send large bodies at the same time must not use up the memory of the process.
func TestBodiesBeingReadAreBoundedTogether(t *testing.T) {
	const calls, bodyBytes = 8, maxBodyBytesBeingRead / 4
	release := make(chan struct{})
	pool := newConnPool(serveScript(t, func(conn net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		_, _ = conn.Write(make([]byte, bodyBytes))
		<-release
		return false
	}), &bodyBudget{}, time.Now)
	var wait sync.WaitGroup
	var refused atomic.Int32
	for range calls {
		wait.Go(func() {
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://upstream/", nil)
			if err != nil {
				return
			}
			if _, err := pool.roundTrip(t.Context(), request, idHeader, "1", 2*bodyBytes); err != nil {
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load() >= calls/2 }, 10*time.Second, time.Millisecond)
	require.LessOrEqual(t, pool.bodies.held.Load(), int64(maxBodyBytesBeingRead))
	close(release)
	wait.Wait()
	require.Zero(t, pool.bodies.held.Load())
}
