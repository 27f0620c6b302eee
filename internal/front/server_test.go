package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const patience = 5 * time.Second

// fixture is a server whose handler answers with the path once the test lets it.
type fixture struct {
	*Server
	address string
	// hold keeps requests to /slow back until it is closed.
	hold    chan struct{}
	started chan string
	ended   chan string
	refused chan struct{}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithin(t, patience)
}

// newFixtureWithin returns a server that ends connections that are idle for a time.
func newFixtureWithin(t *testing.T, idle time.Duration) *fixture {
	t.Helper()
	f := &fixture{
		hold: make(chan struct{}), started: make(chan string, 64), ended: make(chan string, 64), refused: make(chan struct{}, 64),
	}
	f.Server = New(Config{
		Handler: http.HandlerFunc(f.handle), OnInvalidRequest: func() { f.refused <- struct{}{} },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: patience, IdleTimeout: idle}
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
	})
	return f
}

func (f *fixture) handle(w http.ResponseWriter, r *http.Request) {
	f.started <- r.URL.Path
	if strings.HasPrefix(r.URL.Path, "/slow") {
		select {
		case <-f.hold:
		case <-r.Context().Done():
			f.ended <- r.URL.Path
			return
		}
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
}

// underWay reports whether a connection has a number of requests without an answer.
func (f *fixture) underWay(count int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		c.mu.Lock()
		found := c.pending == count
		c.mu.Unlock()
		if found {
			return true
		}
	}
	return false
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func requireAnswer(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	require.Contains(t, string(text), body)
	return response
}

// A caller that sends its next request behind a slow one gets it run at once and answered in order.
func TestRequestsAreReadAhead(t *testing.T) {
	f := newFixture(t)
	conn, reader := f.dial(t)
	send(t, conn, get("/slow")+get("/quick"))
	require.ElementsMatch(t, []string{"/slow", "/quick"}, []string{<-f.started, <-f.started})
	close(f.hold)
	requireAnswer(t, reader, http.StatusOK, "/slow")
	requireAnswer(t, reader, http.StatusOK, "/quick")
}

func TestCallerThatLeavesEndsItsRequests(t *testing.T) {
	f := newFixture(t)
	conn, _ := f.dial(t)
	send(t, conn, get("/slow")+get("/slow2"))
	<-f.started
	<-f.started
	require.NoError(t, conn.Close())
	require.ElementsMatch(t, []string{"/slow", "/slow2"}, []string{<-f.ended, <-f.ended})
}

func TestInput(t *testing.T) {
	tests := []struct {
		name   string
		input  string
		status int
		body   string
	}{
		{"body with a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 200, "/a abc"},
		{"body in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, "/a abc"},
		{"no request", "\x00\xff\r\n\r\n", 400, "cannot be read"},
		{"no host", "GET / HTTP/1.1\r\n\r\n", 400, "host"},
		{"length and chunks that differ", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400, "cannot be read"},
		{"large header", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 431, "header"},
		{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", 413, "body"},
		{"large body in chunks", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", 413, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			conn, reader := f.dial(t)
			send(t, conn, tt.input)
			response := requireAnswer(t, reader, tt.status, tt.body)
			require.Equal(t, tt.status != http.StatusOK, response.Close)
			require.Equal(t, tt.status != http.StatusOK, len(f.refused) == 1)
		})
	}
}

// An answer that is ready must not be lost with the request before it, which a stop breaks off.
func TestAbortDeliversTheAnswersBehind(t *testing.T) {
	f := newFixture(t)
	conn, reader := f.dial(t)
	send(t, conn, get("/slow")+get("/quick"))
	require.ElementsMatch(t, []string{"/slow", "/quick"}, []string{<-f.started, <-f.started})
	f.RefuseRequests()
	f.CancelRequests()
	require.Equal(t, "/slow", <-f.ended)
	requireAnswer(t, reader, http.StatusOK, "")
	requireAnswer(t, reader, http.StatusOK, "/quick")
}

func TestSilentCallerIsLeft(t *testing.T) {
	f := newFixtureWithin(t, 20*time.Millisecond)
	_, reader := f.dial(t)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestClose(t *testing.T) {
	t.Run("the last answer says that the connection ends, and none is lost", func(t *testing.T) {
		f := newFixture(t)
		conn, reader := f.dial(t)
		send(t, conn, get("/slow")+get("/slow2"))
		<-f.started
		<-f.started
		f.DisableKeepAlives()
		close(f.hold)
		require.False(t, requireAnswer(t, reader, http.StatusOK, "/slow").Close)
		require.True(t, requireAnswer(t, reader, http.StatusOK, "/slow2").Close)
		_, err := reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
	t.Run("requests after the end are refused, whether their connection was idle, busy or never used", func(t *testing.T) {
		f := newFixture(t)
		idle, idleReader := f.dial(t)
		send(t, idle, get("/a"))
		requireAnswer(t, idleReader, http.StatusOK, "/a")
		unused, unusedReader := f.dial(t)
		busy, busyReader := f.dial(t)
		send(t, busy, get("/slow"))
		require.Equal(t, "/a", <-f.started)
		require.Equal(t, "/slow", <-f.started)
		require.Eventually(t, func() bool { return f.ConnectionCount() == 3 }, patience, time.Millisecond)
		f.RefuseRequests()
		send(t, busy, get("/late"))
		require.Eventually(t, func() bool { return f.underWay(2) }, patience, time.Millisecond)
		close(f.hold)
		requireAnswer(t, busyReader, http.StatusOK, "/slow")
		for conn, reader := range map[net.Conn]*bufio.Reader{idle: idleReader, unused: unusedReader, busy: busyReader} {
			if conn != busy {
				send(t, conn, get("/late"))
			}
			require.True(t, requireAnswer(t, reader, http.StatusServiceUnavailable, "").Close)
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
		require.Empty(t, f.started, "a request was taken after the end")
	})
	t.Run("a request that asks for it is the last", func(t *testing.T) {
		f := newFixture(t)
		conn, reader := f.dial(t)
		send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/b"))
		require.True(t, requireAnswer(t, reader, http.StatusOK, "/a").Close)
		require.Equal(t, "/a", <-f.started)
		require.Empty(t, f.started)
	})
}
