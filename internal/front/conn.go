package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/ahead"
	"github.com/turmericdale/turmericdale/internal/budget"
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
	reader         *ahead.Reader
	// receiving is the account of the request that is being read, or nil.
	receiving *budget.Account
	// account holds what the connection takes besides its requests.
	account *budget.Account
	// closedForNew means that the connection was closed for a new one. The mutex of the server guards it.
	closedForNew bool

	mu sync.Mutex
	// dropping means that the request that is being read is refused because memory is short.
	dropping bool
	// idleSince is when the connection was opened or its last response written.
	idleSince time.Time
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
		server: s, netConn: accepted, cancel: cancel, limited: limited, idleSince: time.Now(),
		reader: ahead.NewReader(limited, readBufferBytes), slots: make(chan struct{}, maxPipelinedRequests),
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
		c.allowDrop()
		request, account, err := c.readRequest()
		if err != nil {
			account.Close()
			c.handleReadError(ctx, err, newestWritten)
			return
		}
		handler := c.beginRequest()
		if handler == nil {
			account.Close()
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
			defer account.Close()
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
	var refused *RefusedError
	switch {
	case errors.As(err, &invalid):
		c.server.cfg.OnInvalidRequest()
	case errors.As(err, &refused):
	default:
		if !c.isIdle() {
			c.server.cfg.OnAbandoned()
		}
		c.cancel()
		return
	}
	select {
	case <-previousWritten:
	case <-ctx.Done():
		return
	}
	if refused != nil {
		c.refuse(refused)
		return
	}
	w := &bufferedResponse{header: http.Header{"Content-Type": {"text/plain"}}, status: invalid.Status}
	_, _ = w.Write([]byte(invalid.Error() + "\n"))
	_ = c.writeResponse(w, nil, nil, true)
}

// refuse responds to a request for which there is no memory and reads what its caller still sends, so that the response is not lost with the
// connection.
func (c *conn) refuse(refused *RefusedError) {
	request := refused.Request
	if request == nil {
		request = &http.Request{Header: http.Header{}, URL: &url.URL{Path: "/"}}
	}
	w := c.handle(c.server.cfg.OverloadHandler, request)
	if c.writeResponse(w, nil, nil, true) == nil {
		c.limited.N = 1 << 62
		_, _ = io.Copy(io.Discard, c.reader)
	}
}

// readRequest reads the next request with its whole body, and returns the account that holds what it takes.
func (c *conn) readRequest() (*http.Request, *budget.Account, error) {
	limits := c.server.cfg.Limits()
	c.limited.N = limits.MaxHeaderBytes + readBufferBytes
	if err := c.awaitRequest(limits.HeaderTimeout); err != nil {
		return nil, nil, err
	}
	account := c.server.cfg.Budget.Open()
	c.setReceiving(account)
	account.MayDrop(false, func() { c.dropRequest(account) })
	request, err := c.readRequestInto(account, limits)
	c.endReceiving(err == nil)
	if !account.Keep() && err != nil {
		err = &RefusedError{Request: request}
	}
	if err != nil {
		return nil, account, err
	}
	if c.reader.Buffered() == 0 && probe.Look(c.netConn) == probe.Closed {
		// The request waited here for so long that its caller has left.
		return nil, account, io.EOF
	}
	ctx := budget.WithAccount(context.WithValue(c.requestContext, receivedKey{}, time.Now()), account)
	return request.WithContext(ctx), account, nil
}

// readRequestInto reads a request that has begun to arrive. It may return a request together with an error.
func (c *conn) readRequestInto(account *budget.Account, limits Limits) (*http.Request, error) {
	if err := c.awaitHead(account, limits.MaxHeaderBytes); err != nil {
		return nil, err
	}
	request, err := http.ReadRequest(c.reader.Reader)
	switch {
	case err != nil && c.limited.N <= 0:
		return nil, errHeadTooLarge
	case isConnError(err):
		return nil, err
	case err != nil:
		return nil, &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the request cannot be read"}
	case request.Host == "":
		return nil, &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the request names no host"}
	}
	if request.ContentLength == 0 {
		return request, nil
	}
	return request, c.readBody(request, account, limits.MaxBodyBytes)
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
	c.account.Keep()
	_ = c.netConn.SetReadDeadline(time.Now().Add(timeout))
}

// setReadDeadline sets the deadline for what is read of a request, unless the request is being dropped.
func (c *conn) setReadDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.dropping {
		_ = c.netConn.SetReadDeadline(deadline)
	}
}

// setReceiving records that the request of an account is being read.
func (c *conn) setReceiving(account *budget.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.dropping = account, false
}

// endReceiving records that no request is being read any more; after a whole one, its handler has all the time that it needs.
func (c *conn) endReceiving(whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = nil
	if whole {
		_ = c.netConn.SetReadDeadline(time.Time{})
	}
}

// dropRequest ends the read of a request, which is then refused, unless it has been read meanwhile.
func (c *conn) dropRequest(account *budget.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving == account {
		c.dropping = true
		_ = c.netConn.SetReadDeadline(time.Now())
	}
}

// allowDrop lets the connection be closed when memory is short, if it has no request.
func (c *conn) allowDrop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading && c.unwritten == 0 {
		c.account.MayDrop(false, func() { c.endIfIdle() })
	}
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

func (c *conn) readBody(request *http.Request, account *budget.Account, maxBytes int64) error {
	if request.ContentLength > maxBytes {
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	}
	if !account.Fits(budget.Copies * request.ContentLength) {
		return &RefusedError{Request: request}
	}
	if request.Header.Get("Expect") != "" {
		if c.isIdle() {
			_, _ = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		request.Header.Del("Expect")
	}
	c.limited.N = chunkOverheadFactor*maxBytes + readBufferBytes
	started := time.Now()
	c.setReadDeadline(started.Add(bodyTimeout))
	read := int64(0)
	body, err := budget.ReadAll(request.Body, budget.ReadConfig{
		Expected: request.ContentLength, MaxBytes: maxBytes, Charge: account.Take,
		OnProgress: func(total int64) {
			account.AddProgress(total - read)
			read = total
			c.setReadDeadline(bodyDeadline(started, total))
		},
	})
	var tooLarge *budget.TooLargeError
	var exhausted *budget.ExhaustedError
	switch {
	case errors.As(err, &exhausted):
		return &RefusedError{Request: request}
	case errors.As(err, &tooLarge):
		return &InvalidRequestError{Status: http.StatusRequestEntityTooLarge, Detail: "the body is too large"}
	case isConnError(err):
		return err
	case err != nil:
		return &InvalidRequestError{Status: http.StatusBadRequest, Detail: "the body cannot be read"}
	}
	request.Body, request.ContentLength = &fullBody{Reader: bytes.NewReader(body), data: body}, int64(len(body))
	return nil
}

// bodyDeadline returns when more of a body must have arrived: a caller that keeps to minBodyRate after bodyTimeout is never cut off.
func bodyDeadline(started time.Time, received int64) time.Time {
	return started.Add(bodyTimeout + time.Duration(received)*time.Second/minBodyRate)
}

// fullBody is a body that has been read.
type fullBody struct {
	*bytes.Reader
	data []byte
}

// Bytes returns the whole body; it must not be changed.
func (b *fullBody) Bytes() []byte { return b.data }

// Close implements io.Closer.
func (b *fullBody) Close() error { return nil }

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
	account := budget.FromContext(request.Context())
	account.MayDrop(true, c.close)
	if c.writeResponse(w, request, account, c.endRequest(request)) != nil {
		c.close()
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
	c.idleSince = time.Now()
}

func (c *conn) writeResponse(w *bufferedResponse, request *http.Request, account *budget.Account, last bool) error {
	response := &http.Response{
		StatusCode: w.statusCode(), ProtoMajor: 1, ProtoMinor: 1, Header: w.header, Request: request,
		ContentLength: int64(len(w.body)), Body: io.NopCloser(bytes.NewReader(w.body)), Close: last,
	}
	_ = c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout + time.Duration(len(w.body))*time.Second/minWriteRate))
	writer := bufio.NewWriterSize(&accountWriter{writer: c.netConn, account: account}, min(len(w.body)+readBufferBytes, maxWriteBytes))
	err := response.Write(writer)
	if err == nil {
		err = writer.Flush()
	}
	if last {
		c.closeWrite()
	}
	return errors.Wrap(err, "write response")
}

// accountWriter records in an account what was written.
type accountWriter struct {
	writer  io.Writer
	account *budget.Account
}

// Write implements io.Writer.
func (w *accountWriter) Write(data []byte) (int, error) {
	n, err := w.writer.Write(data)
	w.account.AddProgress(int64(n))
	return n, err
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

// idleTime reports whether the connection has no request, and since when.
func (c *conn) idleTime() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.reading && c.unwritten == 0, c.idleSince
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
	body   []byte
}

// Header implements http.ResponseWriter.
func (r *bufferedResponse) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter; only the first status counts.
func (r *bufferedResponse) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

// Write implements http.ResponseWriter. A large body is kept without a copy, so a handler must not change it afterwards.
func (r *bufferedResponse) Write(data []byte) (int, error) {
	if len(r.body) == 0 && len(data) > maxWriteBytes {
		r.body = data[:len(data):len(data)]
		return len(data), nil
	}
	r.body = append(r.body, data...)
	return len(data), nil
}

func (r *bufferedResponse) statusCode() int {
	if r.status == 0 {
		return http.StatusOK
	}
	return r.status
}
