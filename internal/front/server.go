package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAhead bounds the requests of one connection that run at the same time.
	maxAhead = 32
	// bodyTimeout bounds the time for a request's body.
	bodyTimeout = 30 * time.Second
	// writeTimeout bounds the time for an answer that the caller does not read.
	writeTimeout = 10 * time.Second
	readBuffer   = 4 << 10
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
	// RefusalHandler answers the requests that come after RefuseRequests.
	RefusalHandler http.Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// OnInvalidRequest is called for each connection whose input is no request.
	OnInvalidRequest func()
	// OnAbandoned is called when a caller closes its connection before its answer.
	OnAbandoned func()
}

// Server accepts callers' connections.
type Server struct {
	cfg     Config
	closing atomic.Bool
	// finishing says that further requests are refused.
	finishing atomic.Bool
	wait      sync.WaitGroup

	mu    sync.Mutex
	conns map[*conn]bool
}

// New returns a server that is not yet accepting.
func New(cfg Config) *Server {
	if cfg.RefusalHandler == nil {
		cfg.RefusalHandler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	}
	if cfg.OnInvalidRequest == nil {
		cfg.OnInvalidRequest = func() {}
	}
	if cfg.OnAbandoned == nil {
		cfg.OnAbandoned = func() {}
	}
	return &Server{cfg: cfg, conns: map[*conn]bool{}}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		accepted, err := listener.Accept()
		var network net.Error
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.As(err, &network) && network.Timeout():
			continue
		case err != nil:
			return errors.Wrap(err, "accept caller")
		}
		s.wait.Go(func() { s.serve(ctx, accepted) })
	}
}

func (s *Server) serve(ctx context.Context, accepted net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	requests, abort := context.WithCancel(ctx)
	defer abort()
	c := newConn(s, accepted, cancel)
	c.requests, c.abort = requests, abort
	s.mu.Lock()
	s.conns[c] = true
	s.mu.Unlock()
	c.run(ctx)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// DisableKeepAlives makes every connection end after the answers to the requests that were read; idle ones end after a time.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// RefuseRequests refuses further requests, each as the last one of its connection. Connections without a request stay open: one
// may be on its way, and a close would leave its caller in doubt whether it ran.
func (s *Server) RefuseRequests() {
	s.finishing.Store(true)
	s.DisableKeepAlives()
}

// CancelRequests ends the requests that run: they are answered with what their handlers know then, and the answers that wait
// behind them are delivered.
func (s *Server) CancelRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.abort()
	}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConnections closes all connections and waits for their tasks.
func (s *Server) CloseConnections() {
	s.mu.Lock()
	for c := range s.conns {
		c.end()
	}
	s.mu.Unlock()
	s.wait.Wait()
}
