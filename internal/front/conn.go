package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/probe"
)

// conn is one connection of a caller: one goroutine reads requests, and one per request runs it and writes its response
// after those of the requests before it.
type conn struct {
	server  *Server
	netConn net.Conn
	cancel  context.CancelFunc
	// requestContext is the context of all requests of the connection; cancelRequests ends it.
	requestContext context.Context
	cancelRequests context.CancelFunc
	limited        *io.LimitedReader
	reader         *bufio.Reader

	mu sync.Mutex
	// reading means that a request has begun to arrive and has not been read to its end.
	reading bool
	// pending is the number of requests that were read and have no response yet.
	pending int
	// unwritten is the number of requests that were read and whose responses have not been written.
	unwritten int
	// draining means that the connection accepts no further request.
	draining bool
	// slots bounds the requests that run or have a response that is not yet written.
	slots chan struct{}
}

func newConn(s *Server, accepted net.Conn, cancel context.CancelFunc) *conn {
	limited := &io.LimitedReader{R: accepted}
	return &conn{
		server: s, netConn: accepted, cancel: cancel, limited: limited,
		reader: bufio.NewReaderSize(limited, readBufferBytes), slots: make(chan struct{}, maxPipelinedRequests),
	}
}

// run reads requests until the connection ends and waits for their responses.
func (c *conn) run(ctx context.Context) {
	defer func() { _ = c.netConn.Close() }()
	var wait sync.WaitGroup
	defer wait.Wait()
	// newestWritten is closed once the response to the newest request was written.
	newestWritten := make(chan struct{})
	close(newestWritten)
	_ = c.netConn.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	for {
		request, err := c.readRequest()
		if err != nil {
			c.handleReadError(ctx, err, newestWritten)
			return
		}
		handler := c.beginRequest()
		if handler == nil {
			if c.isIdle() {
				return
			}
			break
		}
		c.slots <- struct{}{}
		previous, next := newestWritten, make(chan struct{})
		newestWritten = next
		wait.Go(func() {
			defer func() { <-c.slots }()
			c.serveRequest(ctx, handler, request, previous)
			c.finishRequest()
			close(next)
		})
		if request.Close || c.isDraining() {
			break
		}
	}
	c.waitForClose()
}

// waitForClose discards input until the caller closes the connection, then cancels the requests that still run.
func (c *conn) waitForClose() {
	c.limited.N = 1 << 62
	_, _ = io.Copy(io.Discard, c.reader)
	c.cancel()
}

// handleReadError responds to an invalid request after all responses before it. On any other error it cancels the requests
// of the connection, as the caller has closed it or is too slow.
func (c *conn) handleReadError(ctx context.Context, err error, previousWritten chan struct{}) {
	var invalid *InvalidRequestError
	if !errors.As(err, &invalid) {
		if !c.isIdle() {
			c.server.cfg.OnAbandoned()
		}
		c.cancel()
		return
	}
	c.server.cfg.OnInvalidRequest()
	select {
	case <-previousWritten:
	case <-ctx.Done():
		return
	}
	w := &bufferedResponse{header: http.Header{"Content-Type": {"text/plain"}}, status: invalid.Status}
	_, _ = w.Write([]byte(invalid.Error() + "\n"))
	_ = c.writeResponse(w, nil, true)
}

// readRequest reads the next request with its whole body.
func (c *conn) readRequest() (*http.Request, error) {
	limits := c.server.cfg.Limits()
	c.limited.N = limits.MaxHeaderBytes + readBufferBytes
	if err := c.awaitRequest(limits.HeaderTimeout); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader)
	switch {
	case err != nil && c.limited.N <= 0:
		return nil, &InvalidRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}
	case isConnError(err):
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
	if c.reader.Buffered() == 0 && probe.Look(c.netConn) == probe.Closed {
		// The request waited here for so long that its caller has left.
		return nil, io.EOF
	}
	_ = c.netConn.SetReadDeadline(time.Time{})
	return request.WithContext(context.WithValue(c.requestContext, receivedKey{}, time.Now())), nil
}

// awaitRequest waits until a request begins to arrive and gives it headerTimeout to arrive in full. A request that came as the wait timed
// out is still read: its caller cannot tell from a closed connection whether it has run.
func (c *conn) awaitRequest(headerTimeout time.Duration) error {
	for {
		_, err := c.reader.Peek(1)
		var netErr net.Error
		timedOut := errors.As(err, &netErr) && netErr.Timeout()
		if err != nil && !timedOut {
			return err
		}
		if timedOut && !c.hasArrived() {
			return err
		}
		c.beginReading(headerTimeout)
		if err == nil {
			return nil
		}
	}
}

// hasArrived reports whether a request waits to be read although the wait for it has timed out.
func (c *conn) hasArrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// probe.Look fails on a connection whose deadline is over.
	_ = c.netConn.SetReadDeadline(time.Time{})
	return probe.Look(c.netConn) == probe.Readable
}

// beginReading gives a request that has begun to arrive timeout to arrive in full.
func (c *conn) beginReading(timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// receivedKey is the key of the time at which a request had been read, among the values of its context.
type receivedKey struct{}

// ReceivedAt returns when a request had been read, or the zero time if no Server did so.
func ReceivedAt(r *http.Request) time.Time {
	at, _ := r.Context().Value(receivedKey{}).(time.Time)
	return at
}

// isConnError reports whether the caller closed the connection or was too slow, rather than sent an invalid request.
func isConnError(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &netErr)
}

func (c *conn) readBody(request *http.Request, maxBytes int64) error {
	if request.ContentLength > maxBytes {
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	if request.Header.Get("Expect") != "" {
		if c.isIdle() {
			_, _ = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		request.Header.Del("Expect")
	}
	c.limited.N = 2*maxBytes + readBufferBytes
	_ = c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(request.Body, maxBytes+1))
	switch {
	case isConnError(err):
		return err
	case err != nil:
		return &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the body cannot be read"}
	case int64(len(body)) > maxBytes:
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	return nil
}

// isIdle reports whether no request is pending.
func (c *conn) isIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending == 0
}

// beginRequest returns the handler for a request that was read, or nil if the connection accepts no further request.
func (c *conn) beginRequest() http.Handler {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.draining {
		return nil
	}
	c.pending++
	c.unwritten++
	if c.server.refusing.Load() {
		c.draining = true
		return c.server.cfg.RefusalHandler
	}
	return c.server.cfg.Handler
}

// isDraining reports whether the connection accepts no further request.
func (c *conn) isDraining() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.draining
}

// serveRequest runs a request and writes its response after those of the requests before it.
func (c *conn) serveRequest(ctx context.Context, handler http.Handler, request *http.Request, previousWritten <-chan struct{}) {
	w := c.handle(handler, request)
	select {
	case <-previousWritten:
	case <-ctx.Done():
		return
	}
	if c.writeResponse(w, request, c.endRequest(request)) != nil {
		c.cancel()
		_ = c.netConn.Close()
	}
}

// handle runs a request. A panic ends this request only, since the other ones of the process have nothing to do with it.
func (c *conn) handle(handler http.Handler, request *http.Request) (w *bufferedResponse) {
	w = &bufferedResponse{header: http.Header{}}
	defer func() {
		if value := recover(); value != nil {
			c.server.cfg.OnPanic(value, debug.Stack())
			w = &bufferedResponse{header: http.Header{}, status: http.StatusBadGateway}
		}
	}()
	handler.ServeHTTP(w, request)
	return w
}

// endRequest marks a request as no longer pending and reports whether its response is the last one of the connection.
func (c *conn) endRequest(request *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if request.Close || c.server.keepAlivesDisabled.Load() && c.pending == 0 {
		c.draining = true
	}
	if c.pending == 0 && !c.draining {
		_ = c.netConn.SetReadDeadline(time.Now().Add(c.server.cfg.Limits().IdleTimeout))
	}
	return c.draining && c.pending == 0
}

// finishRequest records that the response to a request was written or cannot be.
func (c *conn) finishRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unwritten--
}

func (c *conn) writeResponse(w *bufferedResponse, request *http.Request, last bool) error {
	response := &http.Response{
		StatusCode: w.statusCode(), ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Request: request,
		ContentLength: int64(w.body.Len()), Body: io.NopCloser(&w.body), Close: last,
	}
	var encoded bytes.Buffer
	if err := response.Write(&encoded); err != nil {
		return errors.Wrap(err, "encode response")
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.netConn.Write(encoded.Bytes())
	if last {
		c.closeWrite()
	}
	return errors.Wrap(err, "write response")
}

// closeWrite closes the sending side; the connection is closed once the caller has closed its side, or after lingerTimeout.
func (c *conn) closeWrite() {
	if sender, ok := c.netConn.(interface{ CloseWrite() error }); ok {
		_ = sender.CloseWrite()
		_ = c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout))
		return
	}
	_ = c.netConn.Close()
}

// endIfIdle ends the wait for a further request and reports whether the connection has none. The goroutine that reads from the connection
// closes it, unless a request has come meanwhile.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining {
		return c.unwritten == 0
	}
	if !c.reading && c.unwritten == 0 {
		_ = c.netConn.SetReadDeadline(time.Now())
	}
	return false
}

// hasRequest reports whether a request is being read or its response has not been written.
func (c *conn) hasRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reading || c.unwritten > 0
}

func (c *conn) close() {
	c.cancel()
	_ = c.netConn.Close()
}

// bufferedResponse holds a response until the responses before it have been written.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter; only the first status counts.
func (r *bufferedResponse) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter.
func (r *bufferedResponse) Write(data []byte) (int, error) { return r.body.Write(data) }

func (r *bufferedResponse) statusCode() int {
	if r.status == 0 {
		return http.StatusOK
	}
	return r.status
}
