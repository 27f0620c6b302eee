package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/emul"
)

const (
	memoryBodyBytes = 1 << 20
	memoryHeadBytes = 16 << 10
)

// memoryFixture is a server with a budget of 8 MiB whose handler counts the requests that run.
type memoryFixture struct {
	*Server
	t       *testing.T
	budget  *budget.Budget
	address string
	ran     atomic.Int32
}

func newMemoryFixture(t *testing.T, maxConnections int) *memoryFixture {
	t.Helper()
	f := &memoryFixture{t: t, budget: budget.New(budget.Config{Bytes: 8 << 20, ReserveBytes: 4 << 20, Now: time.Now})}
	f.Server = New(Config{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.ran.Add(1)
			body, _ := io.ReadAll(r.Body)
			_, _ = fmt.Fprintf(w, "%d", len(body))
		}),
		Budget: f.budget, MaxConnections: maxConnections,
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: memoryHeadBytes, MaxBodyBytes: memoryBodyBytes, HeaderTimeout: testTimeout, IdleTimeout: time.Minute}
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.address = listener.Addr().String()
	served := make(chan error, 1)
	go func() { served <- f.Serve(context.Background(), listener) }()
	t.Cleanup(func() {
		require.NoError(t, listener.Close())
		f.CloseConnections()
		require.NoError(t, <-served)
		require.Zero(t, f.budget.Held(), "all memory is released")
	})
	return f
}

// send opens a connection and sends some text.
func (f *memoryFixture) send(text string) net.Conn {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	_, err = io.WriteString(conn, text)
	require.NoError(f.t, err)
	return conn
}

// requireStatus reads a response with a status and returns its body.
func requireStatus(t *testing.T, conn net.Conn, status int) string {
	t.Helper()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	return string(body)
}

const postHead = "POST / HTTP/1.1\r\nHost: a\r\n"

// postText returns a request whose body lacks its last bytes.
func postText(size, missing int) string {
	return fmt.Sprintf(postHead+"Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size-missing))
}

// Guards against a request that is answered as refused for lack of memory although it runs, or that gets no answer.
func TestRequestWithoutMemoryIsRefusedAndNotRun(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"head of many lines", "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", memoryHeadBytes/4-100) + "\r\n"},
		{"body", postText(memoryBodyBytes, 0)},
		{"chunked body", postHead + "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", memoryBodyBytes) + "\r\n0\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newMemoryFixture(t, 0)
			running := f.budget.Open()
			defer running.Close()
			require.True(t, running.Take(7<<20))
			conn := f.send(tt.text)
			requireStatus(t, conn, http.StatusServiceUnavailable)
			_, err := conn.Read(make([]byte, 1))
			require.ErrorIs(t, err, io.EOF)
			require.Zero(t, f.ran.Load())
			usual := f.send(postText(1<<10, 0))
			require.Equal(t, "1024", requireStatus(t, usual, http.StatusOK), "a usual request is served")
			running.Close()
			requireStatus(t, f.send(tt.text), http.StatusOK)
		})
	}
}

// Guards against heads that take more memory than is charged for them: many short lines take more than a hundred times their size.
func TestHeadIsChargedForWhatItsPartsTake(t *testing.T) {
	for name, line := range map[string]string{
		"short lines": "#:\r\n", "the same name": "a:\r\n", "long names": strings.Repeat("Name-", 20) + "#: v\r\n",
		"folded lines": "#: b\r\n c\r\n", "cookies": "Cookie: " + strings.Repeat("k=v; ", 100) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			head := "GET / HTTP/1.1\r\nHost: a\r\n"
			for i := 0; len(head)+len(line) < memoryHeadBytes-100; i++ {
				head += strings.ReplaceAll(line, "#", strconv.FormatInt(int64(i), 36))
			}
			head += "\r\n"
			reader := bufio.NewReader(strings.NewReader(head))
			before := allocatedBytes()
			_, err := http.ReadRequest(reader)
			allocated := allocatedBytes() - before
			require.NoError(t, err)
			f := newMemoryFixture(t, 0)
			f.cfg.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = fmt.Fprintf(w, "%d", f.budget.Held())
			})
			held, err := strconv.ParseUint(requireStatus(t, f.send(head), http.StatusOK), 10, 64)
			require.NoError(t, err)
			t.Logf("%d bytes allocated, %d charged", allocated, held)
			require.GreaterOrEqual(t, held, allocated)
		})
	}
}

// Guards against bodies that stop before their end keeping their memory from others: they are refused, and have not run.
func TestStalledBodyIsDroppedForAnother(t *testing.T) {
	f := newMemoryFixture(t, 0)
	running := f.budget.Open()
	defer running.Close()
	require.True(t, running.Take(4<<20))
	stalled := f.send(postText(memoryBodyBytes, 1))
	require.Eventually(t, func() bool { return f.budget.Held() > 6<<20 }, testTimeout, time.Millisecond)
	require.Eventually(t, func() bool {
		conn := f.send(postText(memoryBodyBytes, 0))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}, testTimeout, 50*time.Millisecond)
	requireStatus(t, stalled, http.StatusServiceUnavailable)
	require.EqualValues(t, 1, f.ran.Load())
}

// Guards against a slow but honest caller being cut off: its time grows with what it has sent.
func TestBodyDeadlineGrowsWithWhatHasArrived(t *testing.T) {
	started := time.Now()
	for sent := int64(0); sent < 16<<20; sent += minBodyRate {
		elapsed := time.Duration(sent) * time.Second / minBodyRate
		require.Equal(t, bodyTimeout, bodyDeadline(started, sent).Sub(started.Add(elapsed)))
	}
}

// Guards against connections that are opened and left silent keeping others out.
func TestIdleConnectionIsClosedForANewOne(t *testing.T) {
	f := newMemoryFixture(t, 4)
	busy := f.send(postText(1<<10, 1))
	var silent []net.Conn
	for range 20 {
		silent = append(silent, f.send(""))
	}
	require.Equal(t, "10", requireStatus(t, f.send(postText(10, 0)), http.StatusOK))
	_, err := silent[0].Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	_, err = io.WriteString(busy, "x")
	require.NoError(t, err)
	require.Equal(t, "1024", requireStatus(t, busy, http.StatusOK), "a connection with a request is kept")
	require.Eventually(t, func() bool { return f.ConnectionCount() <= 5 }, testTimeout, time.Millisecond)
}

// shortListener fails to accept as a process without free descriptors does.
type shortListener struct {
	net.Listener
	failures atomic.Int32
}

func (l *shortListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a process that ends when it has no descriptor for a connection.
func TestServeGoesOnAfterDescriptorsWereShort(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	short := &shortListener{Listener: listener}
	short.failures.Store(3)
	s := New(Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: memoryHeadBytes, MaxBodyBytes: 1, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		},
	})
	served := make(chan error, 1)
	go func() { served <- s.Serve(t.Context(), short) }()
	f := &memoryFixture{t: t, address: listener.Addr().String()}
	requireStatus(t, f.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), http.StatusOK)
	require.EqualValues(t, 3, s.AcceptFailures.Load())
	require.NoError(t, listener.Close())
	s.CloseConnections()
	require.NoError(t, <-served)
}

// endingListener counts the connections whose descriptors are open. Closing one takes endingTime, as on a busy processor, until atOnce is set.
type endingListener struct {
	net.Listener
	accepted, open, most int32
	mu                   sync.Mutex
	atOnce               atomic.Bool
}

const endingTime = 100 * time.Millisecond

func (l *endingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.count(1)
	return &endingConn{Conn: conn, end: sync.OnceFunc(func() {
		if !l.atOnce.Load() {
			time.Sleep(endingTime)
		}
		l.count(-1)
	})}, nil
}

func (l *endingListener) count(change int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accepted += max(change, 0)
	l.open += change
	l.most = max(l.most, l.open)
}

type endingConn struct {
	net.Conn
	end func()
}

func (c *endingConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// Guards against a crowd that connects faster than its connections are closed for each other, so that no descriptor is left for upstreams,
// nodes and the platform.
func TestEndingConnectionsHoldFewDescriptors(t *testing.T) {
	const maxConnections, callers = 4, 100
	synctest.Test(t, func(t *testing.T) {
		network, host := emul.NewNetwork(), netip.AddrPort{}
		listener := &endingListener{Listener: network.Listen(host)}
		s := New(Config{
			Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), MaxConnections: maxConnections,
			Limits: func() Limits {
				return Limits{MaxHeaderBytes: memoryHeadBytes, MaxBodyBytes: 1, HeaderTimeout: time.Hour, IdleTimeout: time.Hour}
			},
		})
		served := make(chan error, 1)
		go func() { served <- s.Serve(context.Background(), listener) }()
		for range callers {
			go func() { _, _ = network.Dial(context.Background(), host, host) }()
		}
		time.Sleep(callers * endingTime)
		listener.mu.Lock()
		require.EqualValues(t, callers, listener.accepted, "all callers are accepted in the end")
		require.LessOrEqual(t, listener.most, int32(maxConnections+maxEndingConnections))
		listener.mu.Unlock()
		// The server closes its connections with its mutex locked, under which virtual time does not pass.
		listener.atOnce.Store(true)
		require.NoError(t, listener.Close())
		s.CloseConnections()
		require.NoError(t, <-served)
	})
}
