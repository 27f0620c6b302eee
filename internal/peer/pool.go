package peer

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// dialTimeout covers three round trips between the farthest regions of the users, 110 ms each.
	dialTimeout = 350 * time.Millisecond
	// suspectAfter is how long a session may leave a ping or its dial unanswered before new calls avoid it.
	suspectAfter  = 120 * time.Millisecond
	watchInterval = 250 * time.Millisecond
	idleTimeout   = 2 * time.Minute
	firstBackoff  = 100 * time.Millisecond
	maxBackoff    = 2 * time.Second
	// maxIdle is the number of streams of a session that are kept for the next calls.
	maxIdle = 64
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial opens a connection to a node; nil means TCP.
	Dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	Now  func() time.Time
	// IsWAN reports whether a node is in another data centre; nil means that none is.
	IsWAN func(address netip.AddrPort) bool
}

// Pool keeps one session to each node that this node talks to.
type Pool struct {
	dial func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	now  func() time.Time
	far  func(address netip.AddrPort) bool

	mu       sync.Mutex
	closed   bool
	sessions map[netip.AddrPort]*session
	// places holds whether nodes are in another data centre.
	places map[netip.AddrPort]bool
	wait   sync.WaitGroup
}

type session struct {
	address netip.AddrPort
	ready   chan struct{}
	mux     *yamux.Session
	err     error

	failures int
	retryAt  time.Time
	idle     chan *Stream
	inFlight atomic.Int64
	// lastUsed is in nanoseconds.
	lastUsed atomic.Int64
	// asked is when the dial or the ping began that has no answer yet, in nanoseconds, or 0.
	asked atomic.Int64
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			return (&net.Dialer{KeepAliveConfig: keepAlive()}).DialContext(ctx, "tcp", address.String())
		}
	}
	if cfg.IsWAN == nil {
		cfg.IsWAN = func(netip.AddrPort) bool { return false }
	}
	return &Pool{dial: cfg.Dial, now: cfg.Now, far: cfg.IsWAN, sessions: map[netip.AddrPort]*session{}, places: map[netip.AddrPort]bool{}}
}

// Stream is one conversation with a node; closing it also ends it at the other side.
type Stream struct {
	net.Conn
	// Reader buffers what the other side sends; it goes with the stream from one conversation to the next.
	Reader  *bufio.Reader
	session *session
	ended   atomic.Bool
}

// Close ends the stream and a read that waits on it: yamux alone lets reads go on until the other side closes too.
func (s *Stream) Close() error {
	if s.ended.Swap(true) {
		return nil
	}
	s.session.inFlight.Add(-1)
	_ = s.SetReadDeadline(time.Unix(0, 1))
	return s.Conn.Close()
}

// Release keeps a stream whose conversation is complete for the next one, which saves opening and closing it.
func (s *Stream) Release() {
	if s.ended.Swap(true) {
		return
	}
	s.session.inFlight.Add(-1)
	next := &Stream{Conn: s.Conn, Reader: s.Reader, session: s.session}
	select {
	case s.session.idle <- next:
	default:
		_ = s.Conn.Close()
	}
}

// OpenStream opens a stream to a node, dialling if need be; it returns *DialError, after which nothing was sent.
func (p *Pool) OpenStream(ctx context.Context, address netip.AddrPort) (*Stream, error) {
	s, err := p.session(address)
	if err != nil {
		return nil, &DialError{Address: address, Cause: err}
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		return nil, &DialError{Address: address, Cause: ctx.Err()}
	}
	if s.err != nil {
		return nil, &DialError{Address: address, Cause: s.err}
	}
	stream, err := s.open()
	if err != nil {
		p.drop(s)
		return nil, &DialError{Address: address, Cause: err}
	}
	s.lastUsed.Store(p.now().UnixNano())
	s.inFlight.Add(1)
	return stream, nil
}

// open returns an idle stream or opens one.
func (s *session) open() (*Stream, error) {
	if s.mux.IsClosed() {
		return nil, &ClosedError{}
	}
	select {
	case stream := <-s.idle:
		return stream, nil
	default:
	}
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return &Stream{Conn: conn, Reader: bufio.NewReader(conn), session: s}, nil
}

// Preconnect connects to a node in the background, so that no call waits for it.
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
	case <-s.ready:
		return s.err == nil && !s.mux.IsClosed()
	default:
		return false
	}
}

// IsSuspect reports whether a node leaves a dial or a ping unanswered, or could not be reached a moment ago.
func (p *Pool) IsSuspect(address netip.AddrPort) bool {
	p.mu.Lock()
	s := p.sessions[address]
	p.mu.Unlock()
	if s == nil {
		return false
	}
	asked, now := s.asked.Load(), p.now()
	return asked != 0 && now.UnixNano()-asked > int64(suspectAfter)
}

// SessionCount returns the number of sessions that are open or being opened.
func (p *Pool) SessionCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

func (p *Pool) session(address netip.AddrPort) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &ClosedError{}
	}
	failures := 0
	if s, found := p.sessions[address]; found {
		if !s.broken() {
			return s, nil
		}
		if p.now().Before(s.retryAt) {
			return nil, &BackoffError{}
		}
		failures = s.failures
	}
	s := &session{address: address, ready: make(chan struct{}), idle: make(chan *Stream, maxIdle), failures: failures}
	s.lastUsed.Store(p.now().UnixNano())
	s.asked.Store(p.now().UnixNano())
	p.sessions[address] = s
	p.wait.Add(1)
	go p.run(s)
	return s, nil
}

func (s *session) broken() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.mux.IsClosed()
	default:
		return false
	}
}

// run dials a session and watches it until it ends.
func (p *Pool) run(s *session) {
	defer p.wait.Done()
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, s.address)
	if err == nil && p.isFar(s.address) {
		conn, err = pack(conn)
	}
	if err == nil {
		s.mux, err = yamux.Client(&joinedConn{Conn: conn}, sessionConfig())
	}
	if err != nil {
		s.err = err
		s.failures++
		s.retryAt = p.now().Add(backoff(s.failures))
		close(s.ready)
		return
	}
	s.failures = 0
	s.asked.Store(0)
	close(s.ready)
	if p.isClosed() {
		_ = s.mux.Close()
	}
	p.watch(s)
	p.drop(s)
}

// SetWAN tells where a node is that is not known from elsewhere.
func (p *Pool) SetWAN(address netip.AddrPort, far bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.places[address] = far
}

func (p *Pool) isFar(address netip.AddrPort) bool {
	p.mu.Lock()
	far, found := p.places[address]
	p.mu.Unlock()
	if found {
		return far
	}
	return p.far(address)
}

func backoff(failures int) time.Duration {
	ceiling := min(firstBackoff<<min(failures, 8), maxBackoff)
	return ceiling/2 + rand.N(ceiling/2)
}

// watch pings a session whose streams have waited for a while and closes it when the ping fails or it is idle.
func (p *Pool) watch(s *session) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case <-ticker.C:
		}
		now := p.now().UnixNano()
		if s.inFlight.Load() == 0 {
			if now-s.lastUsed.Load() > int64(idleTimeout) {
				return
			}
			continue
		}
		s.asked.Store(now)
		if _, err := s.mux.Ping(); err != nil {
			return
		}
		s.asked.Store(0)
	}
}

func (p *Pool) drop(s *session) {
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

// Close ends all sessions and waits for their tasks.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	sessions := make([]*session, 0, len(p.sessions))
	for _, s := range p.sessions {
		sessions = append(sessions, s)
	}
	p.mu.Unlock()
	for _, s := range sessions {
		<-s.ready
		if s.mux != nil {
			_ = s.mux.Close()
		}
	}
	p.wait.Wait()
}
