package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// dialTimeout covers three round trips of 110 ms, the latency between the users' most distant regions.
	dialTimeout = 350 * time.Millisecond
	// suspectTimeout is how long a dial or a ping may be unanswered before new calls avoid the node.
	suspectTimeout  = 120 * time.Millisecond
	watchInterval   = 250 * time.Millisecond
	idleTimeout     = 2 * time.Minute
	minBackoffDelay = 100 * time.Millisecond
	maxBackoffDelay = 2 * time.Second
	// maxIdleStreams limits the streams of a session that are kept open for reuse.
	maxIdleStreams = 64
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial opens a connection to a node; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Now  func() time.Time
	// IsWAN reports whether a node is in another data centre; nil means that none is. SetWAN overrides it.
	IsWAN func(address netip.AddrPort) bool
}

// Pool keeps one session to each node that this node contacts.
type Pool struct {
	dial  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	now   func() time.Time
	isWAN func(address netip.AddrPort) bool

	mu       sync.Mutex
	closed   bool
	sessions map[netip.AddrPort]*session
	// wan holds the values of the last SetWAN.
	wan   map[netip.AddrPort]bool
	tasks sync.WaitGroup
}

type session struct {
	address netip.AddrPort
	// dialled is closed once the dial has succeeded or failed; mux and err are set before.
	dialled chan struct{}
	mux     *mux
	err     error

	failures      int
	retryAt       time.Time
	idleStreams   chan *Stream
	activeStreams atomic.Int64
	// lastUsed is a Unix time in nanoseconds.
	lastUsed atomic.Int64
	// unansweredSince is the Unix time in nanoseconds at which an unanswered dial or ping began, or 0. A failed dial counts
	// as unanswered until the next one.
	unansweredSince atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{KeepAliveConfig: keepAliveConfig()}).DialContext(ctx, "tcp", address.String())
		}
	}
	if cfg.IsWAN == nil {
		cfg.IsWAN = func(netip.AddrPort) bool { return false }
	}
	return &Pool{dial: cfg.Dial, now: cfg.Now, isWAN: cfg.IsWAN, sessions: map[netip.AddrPort]*session{}, wan: map[netip.AddrPort]bool{}}
}

// OpenCallStream returns a stream to a node for calls, which may have carried others, and dials if necessary; after a *DialError, nothing was
// sent.
func (p *Pool) OpenCallStream(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	return p.open(ctx, address, true)
}

// OpenStream is OpenCallStream for messages other than calls. It returns a new stream, since nodes accept only calls after a call.
func (p *Pool) OpenStream(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	return p.open(ctx, address, false)
}

func (p *Pool) open(ctx context.Context, address netip.AddrPort, reuse bool) (*Stream, error) {
	s, err := p.session(address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	select {
	case <-s.dialled:
	case <-ctx.Done():
		return nil, &DialError{Address: address, Cause: ctx.Err()}
	}
	if s.err != nil {
		return nil, &DialError{Address: address, Cause: s.err}
	}
	s.lastUsed.Store(p.now().UnixNano())
	// A stream that is being opened counts as active, so that the session is pinged meanwhile.
	s.activeStreams.Add(1)
	stream, err := p.openStream(ctx, s, reuse)
	if err != nil {
		s.activeStreams.Add(-1)
		return nil, &DialError{Address: address, Cause: err}
	}
	return stream, nil
}

// Preconnect connects to a node in the background, so that no call waits for the dial.
func (p *Pool) Preconnect(address netip.AddrPort) {
	if s, err := p.session(address); err == nil {
		s.lastUsed.Store(p.now().UnixNano())
	}
}

// IsConnected reports whether a session to the node is open.
func (p *Pool) IsConnected(address netip.AddrPort) bool {
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	if s == nil {
		return false
	}
	select {
	case <-s.dialled:
		return s.err == nil && !s.mux.IsClosed()
	default:
		return false
	}
}

// IsSuspect reports whether a dial or ping has been unanswered for suspectTimeout; a failed dial counts until the next.
func (p *Pool) IsSuspect(address netip.AddrPort) bool {
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	if s == nil {
		return false
	}
	since, now := s.unansweredSince.Load(), p.now()
	return since != 0 && now.UnixNano()-since > int64(suspectTimeout)
}

// SessionCount returns the number of sessions that are open or being dialled, and of those whose last dial failed.
func (p *Pool) SessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// session returns the session to a node; it starts a dial if there is none, or if the last one broke and its backoff is
// over.
func (p *Pool) session(address netip.AddrPort) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	failures := 0
	if s, found := p.sessions[address]; found {
		if !s.isBroken() {
			return s, nil
		}
		if p.now().Before(s.retryAt) {
			return nil, &BackoffError{}
		}
		failures = s.failures
	}
	s := &session{address: address, dialled: make(chan struct{}), idleStreams: make(chan *Stream, maxIdleStreams), failures: failures}
	s.lastUsed.Store(p.now().UnixNano())
	s.unansweredSince.Store(p.now().UnixNano())
	p.sessions[address] = s
	p.tasks.Add(1)
	go p.runSession(s)
	return s, nil
}

func (s *session) isBroken() bool {
	select {
	case <-s.dialled:
		return s.err != nil || s.mux.IsClosed()
	default:
		return false
	}
}

// runSession dials a session and watches it until it ends.
func (p *Pool) runSession(s *session) {
	defer p.tasks.Done()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, s.address)
	if err == nil {
		s.mux, err = p.startSession(conn, s.address)
	}
	if err != nil {
		s.err = err
		s.failures++
		s.retryAt = p.now().Add(backoff(s.failures))
		close(s.dialled)
		return
	}
	s.failures = 0
	s.unansweredSince.Store(0)
	close(s.dialled)
	if p.isClosed() {
		_ = s.mux.Close()
	}
	p.watchSession(s)
	p.removeSession(s)
}

// startSession begins a session on a dialled connection, which it closes if that fails.
func (p *Pool) startSession(conn net.Conn, address netip.AddrPort) (*mux, error) {
	session := conn
	if p.crossesWAN(address) {
		compressed, err := requestCompression(conn)
		if err != nil {
			_ = conn.Close()
			return nil, err
		}
		session = compressed
	}
	started, err := newClientMux(session)
	if err != nil {
		_ = conn.Close()
	}
	return started, err
}

// SetWAN records which nodes, some of which PoolConfig.IsWAN may not know, are in another data centre. It replaces what earlier calls
// recorded, and the map must not be changed afterwards.
func (p *Pool) SetWAN(wan map[netip.AddrPort]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wan = wan
}

func (p *Pool) crossesWAN(address netip.AddrPort) bool {
	p.mu.Lock()
	wan, found := p.wan[address]
	p.mu.Unlock()
	if found {
		return wan
	}
	return p.isWAN(address)
}

func backoff(failures int) time.Duration {
	ceiling := min(minBackoffDelay<<min(failures, 8), maxBackoffDelay)
	return ceiling/2 + rand.N(ceiling/2)
}

// watchSession pings a session while streams are in use; it returns when a ping fails or the session has been idle for
// idleTimeout.
func (p *Pool) watchSession(s *session) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		now := p.now().UnixNano()
		if s.activeStreams.Load() == 0 {
			if now-s.lastUsed.Load() > int64(idleTimeout) {
				return
			}
			continue
		}
		s.unansweredSince.Store(now)
		if _, err := s.mux.Ping(); err != nil {
			return
		}
		s.unansweredSince.Store(0)
	}
}

func (p *Pool) removeSession(s *session) {
	_ = s.mux.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[s.address] == s {
		delete(p.sessions, s.address)
	}
}

func (p *Pool) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Close closes all sessions and waits for their goroutines.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	sessions := make([]*session, 0, len(p.sessions))
	for _, s := range p.sessions {
		sessions = append(sessions, s)
	}
	p.mu.Unlock()
	for _, s := range sessions {
		<-s.dialled
		if s.mux != nil {
			_ = s.mux.Close()
		}
	}
	p.tasks.Wait()
}
