package local

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/ahead"
	"github.com/turmericdale/turmericdale/internal/probe"
)

const (
	connBufferBytes = 4 << 10
	// idleMarginDuration is how long before the upstream's idle timeout a connection is no longer reused.
	idleMarginDuration = time.Second
	// defaultIdleTimeout is assumed for upstreams that do not send their idle timeout.
	defaultIdleTimeout = 30 * time.Second
	// maxResponsesPerCall bounds the responses that are read for one call; those to earlier calls and interim ones (1xx) are
	// skipped.
	maxResponsesPerCall = 4
	// maxHeadBytes bounds the head of a response, an interim one included.
	maxHeadBytes        = 64 << 10
	chunkOverheadFactor = 8
)

// connPool holds the idle connections to one upstream; a connection serves one call at a time.
type connPool struct {
	address netip.AddrPort
	// bodies bounds the bodies that are being read.
	bodies *bodyBudget
	dial   func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	now    func() time.Time

	mu     sync.Mutex
	closed bool
	idle   []*conn
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	limited *io.LimitedReader
	reader  *ahead.Reader
	// expires is when the connection may no longer be reused.
	expires time.Time
	reused  bool
	// echoes means that a response on the connection carried the id of its call.
	echoes bool
}

func newConnPool(address netip.AddrPort, bodies *bodyBudget, now func() time.Time) *connPool {
	return &connPool{address: address, bodies: bodies, now: now, dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address.String())
	}}
}

// get returns an idle connection that can be reused, or a new one.
func (c *connPool) get(ctx context.Context) (*conn, error) {
	for {
		idle := c.popIdle()
		if idle == nil {
			break
		}
		if c.now().Before(idle.expires) && idle.isReusable() {
			return idle, nil
		}
		_ = idle.Close()
	}
	dialled, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: dialled}
	return &conn{Conn: dialled, limited: limited, reader: ahead.NewReader(limited, connBufferBytes)}, nil
}

func (c *connPool) popIdle() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// isReusable reports whether the upstream has neither closed the connection nor sent anything since its last response.
func (c *conn) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	return probe.Look(c.Conn) == probe.Quiet
}

// put keeps a connection for the next call until shortly before the upstream's idle timeout, or closes it if it may not be
// reused.
func (c *connPool) put(used *conn, timeout time.Duration) {
	used.expires, used.reused = c.now().Add(timeout-idleMarginDuration), true
	_ = used.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || timeout <= idleMarginDuration {
		_ = used.Close()
		return
	}
	c.idle = append(c.idle, used)
}

func (c *connPool) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.closeIdle()
}

// closeIdle closes the idle connections.
func (c *connPool) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, idle := range c.idle {
		_ = idle.Close()
	}
	c.idle = nil
}

// fullResponse is a response of an upstream with its whole body.
type fullResponse struct {
	response *http.Response
	body     []byte
}

// roundTrip sends a request and reads the whole response. It returns *ConnectError if the request has certainly not run.
func (c *connPool) roundTrip(ctx context.Context, request *http.Request, idHeader, id string, maxBytes int64) (*fullResponse, error) {
	connection, err := c.get(ctx)
	if err != nil {
		return nil, &ConnectError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()
	if deadline, found := ctx.Deadline(); found {
		_ = connection.SetDeadline(deadline)
	}
	if err := writeRequest(connection, request); err != nil {
		_ = connection.Close()
		return nil, &IncompleteResponseError{Cause: err, Reused: connection.reused}
	}
	received, err := connection.readResponse(request, responseLimits{idHeader: idHeader, id: id, maxBodyBytes: maxBytes, bodies: c.bodies})
	if err != nil {
		_ = connection.Close()
		return nil, err
	}
	if !stop() || received.response.Close || connection.reader.Buffered() > 0 {
		_ = connection.Close()
		return received, nil
	}
	c.put(connection, idleTimeout(received.response))
	return received, nil
}

// responseLimits says which response is expected and how large it may be.
type responseLimits struct {
	idHeader     string
	id           string
	maxBodyBytes int64
	bodies       *bodyBudget
}

// readResponse reads the response to a request. It skips responses to earlier calls, which carry another id, and those without an id on
// a connection where others had one: they belong to no call. After an error the connection must be closed: the upstream may go on
// sending without end.
func (c *conn) readResponse(request *http.Request, limits responseLimits) (*fullResponse, error) {
	for range maxResponsesPerCall {
		response, err := c.readHead(request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		// Chunks of a byte each take several times the size of the body.
		c.limited.N = chunkOverheadFactor*limits.maxBodyBytes + maxHeadBytes
		body, err := readBody(request.Context(), response, limits.maxBodyBytes, limits.bodies)
		if err != nil {
			return nil, err
		}
		_ = response.Body.Close()
		echoed := response.Header.Get(limits.idHeader)
		if echoed == limits.id || echoed == "" && !c.echoes {
			c.echoes = c.echoes || echoed != ""
			return &fullResponse{response: response, body: body}, nil
		}
		if response.Close {
			break
		}
	}
	return nil, &IncompleteResponseError{Cause: io.ErrUnexpectedEOF, Reused: c.reused}
}

// readHead reads the head of a response, an interim one included. It returns *MalformedResponseError for bytes that are none.
func (c *conn) readHead(request *http.Request) (*http.Response, error) {
	c.limited.N = maxHeadBytes
	head, err := c.reader.PeekHead(ahead.HeadConfig{MaxBytes: maxHeadBytes})
	if err == nil {
		if malformed := checkHead(head); malformed != nil {
			return nil, malformed
		}
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(c.reader.Reader, request)
	}
	var tooLarge *ahead.HeadTooLargeError
	switch {
	case errors.As(err, &tooLarge), err != nil && c.limited.N <= 0:
		return nil, &EndlessHeadError{Limit: maxHeadBytes}
	case err != nil:
		return nil, &IncompleteResponseError{Cause: err, Reused: c.reused}
	default:
		return response, nil
	}
}

// idleTimeout returns how long the upstream keeps an idle connection, from the Keep-Alive header of its response.
func idleTimeout(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdleTimeout
}
