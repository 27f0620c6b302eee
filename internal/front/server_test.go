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

const testTimeout = 5 * time.Second

// fixture is a server whose handler responds with the path and the body of the request.
type fixture struct {
	*Server
	address string
	// release lets requests to paths that begin with /slow continue once it is closed.
	release   chan struct{}
	started   chan string
	cancelled chan string
	invalid   chan struct{}
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithIdleTimeout(t, testTimeout)
}

func newFixtureWithIdleTimeout(t *testing.T, idleTimeout time.Duration) *fixture {
	t.Helper()
	f := &fixture{
		release: make(chan struct{}), started: make(chan string, 64), cancelled: make(chan string, 64), invalid: make(chan struct{}, 64),
	}
	f.Server = New(Config{
		Handler: http.HandlerFunc(f.handle), OnInvalidRequest: func() { f.invalid <- struct{}{} },
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: testTimeout, IdleTimeout: idleTimeout}
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
	if r.URL.Path == "/panic" {
		panic("a fault of the handler")
	}
	if strings.HasPrefix(r.URL.Path, "/slow") {
		select {
		case <-f.release:
		case <-r.Context().Done():
			f.cancelled <- r.URL.Path
			return
		}
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
}

// hasPending reports whether a connection has a number of requests without a response.
func (f *fixture) hasPending(count int) bool {
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

// isReading reports whether a request has begun to arrive on a connection.
func (f *fixture) isReading() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.hasRequest() {
			return true
		}
	}
	return false
}

func (f *fixture) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return conn, bufio.NewReader(conn)
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

func requireResponse(t *testing.T, reader *bufio.Reader, status int, body string) *http.Response {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, status, response.StatusCode)
	require.Contains(t, string(text), body)
	return response
}

// A request that is pipelined behind a slow one must run at once, and the responses must keep the order of the requests.
func TestPipelinedRequests(t *testing.T) {
	f := newFixture(t)
	conn, reader := f.dial(t)
	send(t, conn, get("/slow")+get("/quick"))
	require.ElementsMatch(t, []string{"/slow", "/quick"}, []string{<-f.started, <-f.started})
	close(f.release)
	requireResponse(t, reader, http.StatusOK, "/slow")
	requireResponse(t, reader, http.StatusOK, "/quick")
}

func TestCallerDisconnectCancelsRequests(t *testing.T) {
	f := newFixture(t)
	conn, _ := f.dial(t)
	send(t, conn, get("/slow")+get("/slow2"))
	<-f.started
	<-f.started
	require.NoError(t, conn.Close())
	require.ElementsMatch(t, []string{"/slow", "/slow2"}, []string{<-f.cancelled, <-f.cancelled})
}

// A node without processor time may read a request only after its caller has given it up. Such a request must not run.
func TestRequestOfCallerWhoLeftBeforeItWasReadIsNotServed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	started := make(chan string, 2)
	server := New(Config{
		Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { started <- r.URL.Path }),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		},
	})
	for _, path := range []string{"/left", "/stayed"} {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		_, err = io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		if path == "/left" {
			require.NoError(t, conn.Close())
		} else {
			defer func() { _ = conn.Close() }()
		}
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(context.Background(), listener) }()
	require.Equal(t, "/stayed", <-started)
	require.Eventually(t, func() bool { return server.ConnectionCount() == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, listener.Close())
	server.CloseConnections()
	require.NoError(t, <-served)
	require.Empty(t, started)
}

// A panic costs the request that it happens in, not the process or other requests.
func TestPanicEndsOneRequest(t *testing.T) {
	f := newFixture(t)
	conn, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\nGET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	reader := bufio.NewReader(conn)
	for _, want := range []int{http.StatusBadGateway, http.StatusOK} {
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, response.StatusCode)
	}
}

func TestRequestParsing(t *testing.T) {
	tests := []struct {
		name   string
		input  string
		status int
		body   string
	}{
		{"body with Content-Length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 200, "/a abc"},
		{"chunked body", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", 200, "/a abc"},
		{"malformed request", "\x00\xff\r\n\r\n", 400, "cannot be read"},
		{"missing host", "GET / HTTP/1.1\r\n\r\n", 400, "host"},
		{"invalid Content-Length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", 400, "cannot be read"},
		{"header too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 32<<10) + "\r\n\r\n", 431, "header"},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n", 413, "body"},
		{"chunked body too large", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n800\r\n" + strings.Repeat("x", 2048) + "\r\n0\r\n\r\n", 413, "body"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			conn, reader := f.dial(t)
			send(t, conn, tt.input)
			response := requireResponse(t, reader, tt.status, tt.body)
			require.Equal(t, tt.status != http.StatusOK, response.Close)
			require.Equal(t, tt.status != http.StatusOK, len(f.invalid) == 1)
		})
	}
}

// A finished response must not be lost when a stopping server cancels the request before it.
func TestCancelRequestsDeliversLaterResponses(t *testing.T) {
	f := newFixture(t)
	conn, reader := f.dial(t)
	send(t, conn, get("/slow")+get("/quick"))
	require.ElementsMatch(t, []string{"/slow", "/quick"}, []string{<-f.started, <-f.started})
	f.RefuseRequests()
	f.CancelRequests()
	require.Equal(t, "/slow", <-f.cancelled)
	requireResponse(t, reader, http.StatusOK, "")
	requireResponse(t, reader, http.StatusOK, "/quick")
}

func TestIdleConnectionIsClosed(t *testing.T) {
	f := newFixtureWithIdleTimeout(t, 20*time.Millisecond)
	_, reader := f.dial(t)
	_, err := reader.ReadByte()
	require.ErrorIs(t, err, io.EOF)
}

func TestGracefulClose(t *testing.T) {
	t.Run("the last response closes the connection and none is lost", func(t *testing.T) {
		f := newFixture(t)
		conn, reader := f.dial(t)
		send(t, conn, get("/slow")+get("/slow2"))
		<-f.started
		<-f.started
		f.DisableKeepAlives()
		close(f.release)
		require.False(t, requireResponse(t, reader, http.StatusOK, "/slow").Close)
		require.True(t, requireResponse(t, reader, http.StatusOK, "/slow2").Close)
		_, err := reader.ReadByte()
		require.ErrorIs(t, err, io.EOF)
	})
	t.Run("requests after RefuseRequests are refused on idle, busy and unused connections", func(t *testing.T) {
		f := newFixture(t)
		idle, idleReader := f.dial(t)
		send(t, idle, get("/a"))
		requireResponse(t, idleReader, http.StatusOK, "/a")
		unused, unusedReader := f.dial(t)
		busy, busyReader := f.dial(t)
		send(t, busy, get("/slow"))
		require.Equal(t, "/a", <-f.started)
		require.Equal(t, "/slow", <-f.started)
		require.Eventually(t, func() bool { return f.ConnectionCount() == 3 }, testTimeout, time.Millisecond)
		f.RefuseRequests()
		send(t, busy, get("/late"))
		require.Eventually(t, func() bool { return f.hasPending(2) }, testTimeout, time.Millisecond)
		close(f.release)
		requireResponse(t, busyReader, http.StatusOK, "/slow")
		for conn, reader := range map[net.Conn]*bufio.Reader{idle: idleReader, unused: unusedReader, busy: busyReader} {
			if conn != busy {
				send(t, conn, get("/late"))
			}
			require.True(t, requireResponse(t, reader, http.StatusServiceUnavailable, "").Close)
			_, err := reader.ReadByte()
			require.ErrorIs(t, err, io.EOF)
		}
		require.Empty(t, f.started, "a request was run after RefuseRequests")
	})
	t.Run("a request with Connection: close is the last of its connection", func(t *testing.T) {
		f := newFixture(t)
		conn, reader := f.dial(t)
		send(t, conn, "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"+get("/b"))
		require.True(t, requireResponse(t, reader, http.StatusOK, "/a").Close)
		require.Equal(t, "/a", <-f.started)
		require.Empty(t, f.started)
	})
}

// slowListener accepts as slowly as a process that lacks processor time.
type slowListener struct {
	*net.TCPListener
}

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(10 * time.Millisecond)
	return l.TCPListener.Accept()
}

// Guards against callers that are reset at a planned stop because their connections were complete but not yet accepted (soak seeds 42,
// 108 and 109).
func TestWaitingConnectionsAreAcceptedBeforeTheListenerCloses(t *testing.T) {
	const callers = 8
	s := New(Config{
		Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}),
		Limits: func() Limits {
			return Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 10, HeaderTimeout: testTimeout, IdleTimeout: testTimeout}
		},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var conns []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		conns = append(conns, conn)
	}
	served := make(chan error, 1)
	slow := slowListener{listener.(*net.TCPListener)}
	go func() { served <- s.Serve(context.Background(), slow) }()
	s.RefuseRequests()
	s.StopAccepting(slow)
	for i, conn := range conns {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(testTimeout)))
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err, "caller %d", i)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		_ = response.Body.Close()
	}
	require.NoError(t, <-served)
	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err, "the listener is closed")
	s.CloseConnections()
}

// Guards against requests that are cut off at a planned stop although they had begun to arrive (soak seed 2 in CI).
func TestCloseIdleConnectionsAnswersWhatHasArrived(t *testing.T) {
	f := newFixture(t)
	idle, idleReader := f.dial(t)
	half, halfReader := f.dial(t)
	send(t, idle, get("/a"))
	requireResponse(t, idleReader, http.StatusOK, "/a")
	send(t, half, "GET /half HTTP/1.1\r\n")
	require.Eventually(t, f.isReading, testTimeout, time.Millisecond)
	f.RefuseRequests()
	closed := make(chan int, 1)
	go func() {
		f.CloseIdleConnections(testTimeout)
		closed <- f.CloseConnections()
	}()
	_, err := idleReader.ReadByte()
	require.ErrorIs(t, err, io.EOF, "the idle connection is closed")
	send(t, half, "Host: h\r\n\r\n")
	require.True(t, requireResponse(t, halfReader, http.StatusServiceUnavailable, "").Close)
	require.Zero(t, <-closed)
}

// Guards against requests that are cut off because they arrive while the wait for them is being ended.
func TestRequestsThatArriveAsConnectionsCloseAreAnswered(t *testing.T) {
	const callers = 32
	f := newFixture(t)
	var conns []net.Conn
	var readers []*bufio.Reader
	for range callers {
		conn, reader := f.dial(t)
		conns, readers = append(conns, conn), append(readers, reader)
	}
	require.Eventually(t, func() bool { return f.ConnectionCount() == callers }, testTimeout, time.Millisecond)
	f.RefuseRequests()
	for _, conn := range conns {
		send(t, conn, get("/late"))
	}
	f.CloseIdleConnections(testTimeout)
	require.Zero(t, f.CloseConnections())
	for _, reader := range readers {
		requireResponse(t, reader, http.StatusServiceUnavailable, "")
	}
}

func TestCloseConnectionsCountsRequestsWithoutResponse(t *testing.T) {
	f := newFixture(t)
	idle, idleReader := f.dial(t)
	send(t, idle, get("/a"))
	requireResponse(t, idleReader, http.StatusOK, "/a")
	half, _ := f.dial(t)
	send(t, half, "GET /half HTTP/1.1\r\n")
	require.Eventually(t, f.isReading, testTimeout, time.Millisecond)
	f.CloseIdleConnections(idleCheckInterval)
	require.Equal(t, 1, f.CloseConnections())
}
