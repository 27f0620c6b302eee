package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/probe"
)

const (
	// maxPipelinedRequests bounds the requests of one connection that run or have a response that is not yet written.
	maxPipelinedRequests = 32
	// bodyTimeout bounds the time to read a request's body; a caller that sends minBodyRate bytes a second gets the time that it needs.
	bodyTimeout = 30 * time.Second
	minBodyRate = 16 << 10
	// chunkOverheadFactor is the most that the encoding in chunks takes for each byte: six bytes in chunks of one byte.
	chunkOverheadFactor = 8
	// writeTimeout bounds the time to write a response to a caller that does not read it; one that reads minWriteRate bytes a second gets
	// the time that it needs.
	writeTimeout  = 10 * time.Second
	minWriteRate  = 64 << 10
	maxWriteBytes = 64 << 10
	// minAcceptDelay and maxAcceptDelay bound the pause after the process had no descriptor for a connection.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 200 * time.Millisecond
	// maxEndingConnections is the number of accepted connections beyond MaxConnections, which are closed for others or refused.
	maxEndingConnections = 8
	readBufferBytes      = 4 << 10
	// emptyBacklogWait is how long Accept waits at a time while the listener is being closed, and maxEmptyWaits after how many waits in
	// a row without a connection it is closed. A wait may be over before Accept has looked whether a connection waits.
	emptyBacklogWait  = 20 * time.Millisecond
	maxEmptyWaits     = 3
	idleCheckInterval = 5 * time.Millisecond
	// acceptTimeout bounds the time to accept the connections that wait.
	acceptTimeout = 500 * time.Millisecond
)

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config configures a Server.
type Config struct {
	Handler http.Handler
	// RefusalHandler handles the requests that are read after RefuseRequests; the default responds with status 503.
	RefusalHandler http.Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// OverloadHandler handles requests for which there is no memory, as the last one of their connection; the default responds with status 503.
	OverloadHandler http.Handler
	// Budget is the memory for callers; nil means that it is not limited.
	Budget *budget.Budget
	// MaxConnections is the number of connections from which the one that has been idle for longest is closed for a new one; zero means that it
	// is not limited.
	MaxConnections int
	// OnAcceptFailure is called when the process has no descriptor for a connection.
	OnAcceptFailure func(err error)
	// OnInvalidRequest is called for each connection that ends with an invalid request.
	OnInvalidRequest func()
	// OnPanic is called with the value and the stack of a panic in a handler; the request gets status 502, as it may have run.
	OnPanic func(value any, stack []byte)
	// OnAbandoned is called when reading from a connection fails while requests are pending, usually because the caller has
	// closed it.
	OnAbandoned func()
}

// Server accepts and serves connections of callers.
type Server struct {
	// ClosedIdle counts idle connections that were closed for new ones, RefusedConnections those that were closed at once, and AcceptFailures
	// the times that the process had no descriptor for a connection.
	ClosedIdle         atomic.Int64
	RefusedConnections atomic.Int64
	AcceptFailures     atomic.Int64

	cfg                Config
	keepAlivesDisabled atomic.Bool
	// refusing means that RefusalHandler handles further requests.
	refusing atomic.Bool
	// closing means that Serve is to accept the connections that wait and then to close the listener.
	closing atomic.Bool
	// serveEnded is closed when Serve accepts no further connection.
	serveEnded chan struct{}
	wait       sync.WaitGroup
	// descriptors holds a token for each connection that is accepted or may be next; nil means that they are not limited.
	descriptors chan struct{}

	mu    sync.Mutex
	conns map[*conn]bool
	// closedForNew is the number of connections that were closed for new ones and have not ended yet.
	closedForNew int
}

// New returns a server that accepts connections once Serve is called.
func New(cfg Config) *Server {
	if cfg.RefusalHandler == nil {
		cfg.RefusalHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	}
	if cfg.OverloadHandler == nil {
		cfg.OverloadHandler = cfg.RefusalHandler
	}
	if cfg.OnAcceptFailure == nil {
		cfg.OnAcceptFailure = func(error) {}
	}
	if cfg.OnInvalidRequest == nil {
		cfg.OnInvalidRequest = func() {}
	}
	if cfg.OnPanic == nil {
		cfg.OnPanic = func(any, []byte) {}
	}
	if cfg.OnAbandoned == nil {
		cfg.OnAbandoned = func() {}
	}
	s := &Server{cfg: cfg, conns: map[*conn]bool{}, serveEnded: make(chan struct{})}
	if cfg.MaxConnections > 0 {
		s.descriptors = make(chan struct{}, cfg.MaxConnections+maxEndingConnections)
	}
	return s
}

// deadlineListener is a listener whose Accept can be woken.
type deadlineListener interface {
	net.Listener
	SetDeadline(deadline time.Time) error
}

// Serve accepts connections until the listener is closed; it must be called once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer close(s.serveEnded)
	emptyWaits, delay := 0, time.Duration(0)
	for {
		s.acquireDescriptor()
		accepted, err := listener.Accept()
		if err != nil {
			s.releaseDescriptor()
		}
		var netErr net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &netErr) && netErr.Timeout():
			if !s.closing.Load() {
				continue
			}
			if emptyWaits++; emptyWaits == maxEmptyWaits {
				return errors.Wrap(listener.Close(), "close listener")
			}
			if waker, ok := listener.(deadlineListener); ok {
				_ = waker.SetDeadline(time.Now().Add(emptyBacklogWait))
			}
			continue
		case probe.IsShortage(err):
			s.AcceptFailures.Add(1)
			s.cfg.OnAcceptFailure(err)
			s.mu.Lock()
			s.closeIdleForNew()
			s.mu.Unlock()
			delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
			time.Sleep(delay)
			continue
		case err != nil:
			return errors.Wrap(err, "accept connection of a caller")
		}
		emptyWaits, delay = 0, 0
		s.wait.Go(func() {
			defer s.releaseDescriptor()
			s.serveConn(ctx, accepted)
		})
	}
}

// acquireDescriptor waits while maxEndingConnections more connections than are allowed have been accepted: those beyond end soon, but each holds
// a descriptor until then.
func (s *Server) acquireDescriptor() {
	if s.descriptors != nil {
		s.descriptors <- struct{}{}
	}
}

func (s *Server) releaseDescriptor() {
	if s.descriptors != nil {
		<-s.descriptors
	}
}

// closeIdleForNew closes the connection that has had no request for longest; it reports whether there is one. The mutex must be locked.
func (s *Server) closeIdleForNew() bool {
	var idlest *conn
	var since time.Time
	for c := range s.conns {
		if idle, at := c.idleTime(); idle && !c.closedForNew && (idlest == nil || at.Before(since)) {
			idlest, since = c, at
		}
	}
	if idlest == nil {
		return false
	}
	s.ClosedIdle.Add(1)
	idlest.closedForNew = true
	s.closedForNew++
	idlest.endIfIdle()
	return true
}

// addConn adds a connection unless there are too many that are not idle; it reports whether it has.
func (s *Server) addConn(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConnections > 0 && len(s.conns)-s.closedForNew >= s.cfg.MaxConnections && !s.closeIdleForNew() {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.closedForNew {
		s.closedForNew--
	}
}

// StopAccepting closes the listener that Serve accepts from. Connections that wait there are accepted before, since closing the listener
// resets them.
func (s *Server) StopAccepting(listener net.Listener) {
	waker, ok := listener.(deadlineListener)
	if !ok {
		_ = listener.Close()
		return
	}
	s.closing.Store(true)
	_ = waker.SetDeadline(time.Now().Add(emptyBacklogWait))
	select {
	case <-s.serveEnded:
	case <-time.After(acceptTimeout):
		_ = listener.Close()
	}
}

func (s *Server) serveConn(ctx context.Context, accepted net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requestContext, cancelRequests := context.WithCancel(ctx)
	defer cancelRequests()
	c := newConn(s, accepted, cancel)
	c.requestContext, c.cancelRequests = requestContext, cancelRequests
	c.account = s.cfg.Budget.Open()
	defer c.account.Close()
	if !c.account.Take(budget.ConnectionBytes) || !s.addConn(c) {
		s.RefusedConnections.Add(1)
		_ = accepted.Close()
		return
	}
	defer s.removeConn(c)
	c.run(ctx)
}

// DisableKeepAlives ends each connection after the response that leaves no request pending; idle ones may still be used once
// and otherwise end after their idle timeout.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// RefuseRequests refuses further requests, each as the last one of its connection; idle connections stay open, since a
// request may be on its way and closing would leave its caller in doubt whether it ran.
func (s *Server) RefuseRequests() {
	s.refusing.Store(true)
	s.DisableKeepAlives()
}

// CancelRequests cancels the contexts of all running requests, so that their handlers respond with what they know and the
// responses that wait behind theirs are written.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.cancelRequests()
	}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseIdleConnections closes the connections that have no request and waits, for at most timeout, for the responses of the other ones.
func (s *Server) CloseIdleConnections(timeout time.Duration) {
	for started := time.Now(); !s.endIdle() && time.Since(started) < timeout; {
		time.Sleep(idleCheckInterval)
	}
}

// endIdle ends the idle connections and reports whether no connection waits for a request or has one.
func (s *Server) endIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := true
	for c := range s.conns {
		ended = c.endIfIdle() && ended
	}
	return ended
}

// CloseConnections closes all connections, waits for their goroutines and returns how many connections had a request without a response.
func (s *Server) CloseConnections() int {
	cut := 0
	s.mu.Lock()
	for c := range s.conns {
		if c.hasRequest() {
			cut++
		}
		c.close()
	}
	s.mu.Unlock()
	s.wait.Wait()
	return cut
}
