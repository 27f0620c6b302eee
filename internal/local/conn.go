package local

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	connBuffer = 4 << 10
	// idleMargin is how long before an upstream's own limit an idle connection is no longer used.
	idleMargin = time.Second
	// defaultIdle is the idle time of connections whose upstream does not tell its limit.
	defaultIdle = 30 * time.Second
	// maxStrays is the number of answers to earlier calls that are passed over on one connection.
	maxStrays = 4
)

// conns holds the connections to one upstream; each serves one call at a time.
type conns struct {
	address netip.AddrPort
	dial    func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	now     func() time.Time

	mu     sync.Mutex
	closed bool
	idle   []*conn
}

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// usable is when the connection may no longer be reused.
	usable time.Time
	used   bool
}

func newConns(address netip.AddrPort, now func() time.Time) *conns {
	return &conns{address: address, now: now, dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		return (&net.Dialer{Timeout: connectTimeout}).DialContext(ctx, "tcp", address.String())
	}}
}

// take returns an idle connection that is still good, or a new one.
func (c *conns) take(ctx context.Context) (*conn, error) {
	for {
		known := c.pop()
		if known == nil {
			break
		}
		if c.now().Before(known.usable) && known.quiet() {
			return known, nil
		}
		_ = known.Close()
	}
	dialled, err := c.dial(ctx, c.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: dialled, reader: bufio.NewReaderSize(dialled, connBuffer)}, nil
}

func (c *conns) pop() *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle) == 0 {
		return nil
	}
	last := c.idle[len(c.idle)-1]
	c.idle = c.idle[:len(c.idle)-1]
	return last
}

// quiet reports whether the upstream has neither closed the connection nor sent anything since its last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, is := c.Conn.(syscall.Conn)
	if !is {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(failure, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// give keeps a connection for the next call.
func (c *conns) give(used *conn, idle time.Duration) {
	used.usable, used.used = c.now().Add(idle-idleMargin), true
	_ = used.SetDeadline(time.Time{})
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || idle <= idleMargin {
		_ = used.Close()
		return
	}
	c.idle = append(c.idle, used)
}

func (c *conns) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.drop()
}

// drop closes the idle connections.
func (c *conns) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.idle {
		_ = known.Close()
	}
	c.idle = nil
}

// answer is a whole answer of an upstream.
type answer struct {
	response *http.Response
	body     []byte
}

// exchange sends a request and reads its whole answer. It returns *ConnectError when the request certainly did not run.
func (c *conns) exchange(ctx context.Context, request *http.Request, idHeader, id string, limit int64) (*answer, error) {
	taken, err := c.take(ctx)
	if err != nil {
		return nil, &ConnectError{Cause: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = taken.Close() })
	defer stop()
	if deadline, found := ctx.Deadline(); found {
		_ = taken.SetDeadline(deadline)
	}
	if err := request.Write(taken); err != nil {
		_ = taken.Close()
		return nil, &IncompleteResponseError{Cause: err, Reused: taken.used}
	}
	read, err := taken.read(request, idHeader, id, limit)
	if err != nil {
		_ = taken.Close()
		return nil, err
	}
	if !stop() || read.response.Close || taken.reader.Buffered() > 0 {
		_ = taken.Close()
		return read, nil
	}
	c.give(taken, idleTime(read.response))
	return read, nil
}

// read reads the answer to a request and passes over answers that belong to earlier ones.
func (c *conn) read(request *http.Request, idHeader, id string, limit int64) (*answer, error) {
	for range maxStrays {
		response, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, &IncompleteResponseError{Cause: err, Reused: c.used}
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		body, err := readBody(response, limit)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		if echoed := response.Header.Get(idHeader); echoed == "" || echoed == id {
			return &answer{response: response, body: body}, nil
		}
		if response.Close {
			break
		}
	}
	return nil, &IncompleteResponseError{Cause: io.ErrUnexpectedEOF, Reused: c.used}
}

// idleTime returns how long the upstream keeps an idle connection, as its answer tells.
func idleTime(response *http.Response) time.Duration {
	for field := range strings.SplitSeq(response.Header.Get("Keep-Alive"), ",") {
		name, value, found := strings.Cut(strings.TrimSpace(field), "=")
		if !found || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}
