package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// conn is one connection of a caller: one task reads requests, one task a request runs it and answers in its turn.
type conn struct {
	server *Server
	net    net.Conn
	cancel context.CancelFunc
	// requests is the context of the requests, abort ends it.
	requests context.Context
	abort    context.CancelFunc
	limit    *io.LimitedReader
	reader   *bufio.Reader

	mu sync.Mutex
	// pending is the number of requests that were read and not yet answered.
	pending int
	// final says that no further request is taken from the connection.
	final bool
	room  chan struct{}
}

func newConn(s *Server, accepted net.Conn, cancel context.CancelFunc) *conn {
	limit := &io.LimitedReader{R: accepted}
	return &conn{
		server: s, net: accepted, cancel: cancel, limit: limit,
		reader: bufio.NewReaderSize(limit, readBuffer), room: make(chan struct{}, maxAhead),
	}
}

// run reads requests until the connection ends and waits for their answers.
func (c *conn) run(ctx context.Context) {
	defer func() { _ = c.net.Close() }()
	var wait sync.WaitGroup
	defer wait.Wait()
	turn := make(chan struct{})
	close(turn)
	_ = c.net.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	for {
		request, err := c.read()
		if err != nil {
			c.finish(ctx, err, turn)
			return
		}
		handler := c.begin()
		if handler == nil {
			if c.idle() {
				return
			}
			break
		}
		c.room <- struct{}{}
		previous, next := turn, make(chan struct{})
		turn = next
		wait.Go(func() {
			defer func() { <-c.room }()
			c.answer(ctx, handler, request, previous)
			close(next)
		})
		if request.Close || c.ends() {
			break
		}
	}
	c.watch()
}

// watch waits until the caller closes a connection that takes no further request.
func (c *conn) watch() {
	c.limit.N = 1 << 62
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

// finish answers input that is no request after all answers before it; a caller that went away gets none.
func (c *conn) finish(ctx context.Context, err error, turn chan struct{}) {
	var form *InvalidRequestError
	if !errors.As(err, &form) {
		if !c.idle() {
			c.server.cfg.OnAbandoned()
		}
		c.cancel()
		return
	}
	c.server.cfg.OnInvalidRequest()
	select {
	case <-turn:
	case <-ctx.Done():
		return
	}
	w := &reply{header: http.Header{"Content-Type": {"text/plain"}}, status: form.Status}
	_, _ = w.Write([]byte(form.Error() + "\n"))
	_ = c.write(w, nil, true)
}

// read reads the next request with its whole body.
func (c *conn) read() (*http.Request, error) {
	limits := c.server.cfg.Limits()
	c.limit.N = limits.MaxHeaderBytes + readBuffer
	if _, err := c.reader.Peek(1); err != nil {
		return nil, err
	}
	_ = c.net.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	request, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.limit.N <= 0:
		return nil, &InvalidRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}
	case isClosed(err):
		return nil, err
	case err != nil:
		return nil, &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the request cannot be read"}
	case request.Host == "":
		return nil, &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the request names no host"}
	}
	if request.ContentLength != 0 {
		if err := c.readBody(request, limits.MaxBodyBytes); err != nil {
			return nil, err
		}
	}
	_ = c.net.SetReadDeadline(time.Time{})
	return request, nil
}

// isClosed reports whether an error says that the caller went away or is too slow, rather than what it sent.
func isClosed(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

func (c *conn) readBody(request *http.Request, limit int64) error {
	if request.ContentLength > limit {
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	if request.Header.Get("Expect") != "" {
		if c.idle() {
			_, _ = io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		request.Header.Del("Expect")
	}
	c.limit.N = 2*limit + readBuffer
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(request.Body, limit+1))
	switch {
	case isClosed(err):
		return err
	case err != nil:
		return &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the body cannot be read"}
	case int64(len(body)) > limit:
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return nil
}

// idle reports whether no request is under way.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// begin returns the handler of a request that was read, or nil when the connection takes no further one.
func (c *conn) begin() http.Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.final {
		return nil
	}
	c.pending++
	if c.server.finishing.Load() {
		c.final = true
		return c.server.cfg.RefusalHandler
	}
	return c.server.cfg.Handler
}

// ends reports whether no further request is taken.
func (c *conn) ends() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.final
}

// answer runs a request and writes its answer in its turn.
func (c *conn) answer(ctx context.Context, handler http.Handler, request *http.Request, turn <-chan struct{}) {
	w := &reply{header: http.Header{}}
	handler.ServeHTTP(w, request.WithContext(c.requests))
	select {
	case <-turn:
	case <-ctx.Done():
		return
	}
	if c.write(w, request, c.last(request)) != nil {
		c.cancel()
		_ = c.net.Close()
	}
}

// last reports whether the connection ends after this answer.
func (c *conn) last(request *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if request.Close || c.server.closing.Load() && c.pending == 0 {
		c.final = true
	}
	if c.pending == 0 && !c.final {
		_ = c.net.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	}
	return c.final && c.pending == 0
}

func (c *conn) write(w *reply, request *http.Request, last bool) error {
	response := &http.Response{
		StatusCode: w.code(), ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Request: request,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body), Close: last,
	}
	var out bytes.Buffer
	if err := response.Write(&out); err != nil {
		return errors.Wrap(err, "encode answer")
	}
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.net.Write(out.Bytes())
	if last {
		c.closeWrite()
	}
	return errors.Wrap(err, "write answer")
}

// closeWrite ends the answers; the connection is closed once the caller has closed its side, or after a time.
func (c *conn) closeWrite() {
	if half, is := c.net.(interface{ CloseWrite() error }); is {
		_ = half.CloseWrite()
		_ = c.net.SetReadDeadline(time.Now().Add(lingerTime))
		return
	}
	_ = c.net.Close()
}

func (c *conn) end() {
	c.cancel()
	_ = c.net.Close()
}

// reply holds an answer until its turn comes.
type reply struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the answer's header.
func (r *reply) Header() http.Header { return r.header }

// WriteHeader sets the answer's status.
func (r *reply) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write adds to the answer's body.
func (r *reply) Write(data []byte) (int, error) { return r.body.Write(data) }

func (r *reply) code() int {
	if r.status == 0 {
		return http.StatusOK
	}
	return r.status
}
