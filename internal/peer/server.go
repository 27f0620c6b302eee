package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headTimeout = 5 * time.Second
	maxSessions = 4096
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// MaxHeadBytes bounds the first message of a stream, a call's body included.
	MaxHeadBytes     int64
	ServeCall        func(ctx context.Context, conn net.Conn, head *wirepb.CallHead)
	ServeLink        func(ctx context.Context, conn net.Conn, reader *bufio.Reader, hello *wirepb.LinkHello)
	HandleEvidence   func(conn net.Conn, report *wirepb.EvidenceReport)
	HandleInvitation func(invitation *wirepb.LinkRedirect)
}

// Server accepts sessions of other nodes and hands each stream to the handler of its kind.
type Server struct {
	// Rejected counts sessions and streams that were refused or sent garbage.
	Rejected atomic.Uint64

	cfg      ServerConfig
	mu       sync.Mutex
	sessions map[*yamux.Session]bool
	wait     sync.WaitGroup
}

// NewServer returns a server that is not yet accepting.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, sessions: map[*yamux.Session]bool{}}
}

// Serve accepts sessions until the context ends, then waits for all their streams.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	defer s.wait.Wait()
	for {
		conn, err := s.cfg.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept session")
		}
		s.wait.Go(func() { s.serveSession(ctx, conn) })
	}
}

func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	unpacked, err := unpack(conn)
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil {
		if !isEnd(err) {
			s.Rejected.Add(1)
		}
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(&joinedConn{Conn: unpacked}, sessionConfig())
	if err != nil || !s.add(mux) {
		s.Rejected.Add(1)
		_ = conn.Close()
		return
	}
	defer s.remove(mux)
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	defer stop()
	for {
		stream, err := mux.AcceptStream()
		if err != nil {
			if ctx.Err() == nil && !isEnd(err) {
				s.Rejected.Add(1)
			}
			return
		}
		s.wait.Go(func() { s.serveStream(ctx, stream) })
	}
}

func isEnd(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) || errors.As(err, &network)
}

func (s *Server) serveStream(ctx context.Context, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	reader := bufio.NewReader(stream)
	head := &wirepb.StreamHead{}
	_ = stream.SetReadDeadline(time.Now().Add(headTimeout))
	if err := frame.Read(reader, head, s.cfg.MaxHeadBytes); err != nil {
		s.Rejected.Add(1)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	switch kind := head.GetKind().(type) {
	case *wirepb.StreamHead_Call:
		s.serveCalls(ctx, stream, reader, kind.Call)
	case *wirepb.StreamHead_Link:
		s.cfg.ServeLink(ctx, stream, reader, kind.Link)
	case *wirepb.StreamHead_Evidence:
		s.cfg.HandleEvidence(stream, kind.Evidence)
	case *wirepb.StreamHead_Invitation:
		s.cfg.HandleInvitation(kind.Invitation)
	default:
		s.Rejected.Add(1)
	}
}

// serveCalls serves one call after the other of a stream. While one runs, the next head is read: the end of the
// stream cancels the call.
func (s *Server) serveCalls(ctx context.Context, stream net.Conn, reader *bufio.Reader, first *wirepb.CallHead) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan *wirepb.CallHead)
	s.wait.Go(func() {
		defer close(next)
		defer cancel()
		s.readCalls(ctx, reader, next)
	})
	for call, more := first, true; more; call, more = <-next {
		s.cfg.ServeCall(ctx, stream, call)
	}
	_ = stream.Close()
}

func (s *Server) readCalls(ctx context.Context, reader *bufio.Reader, next chan<- *wirepb.CallHead) {
	for {
		head := &wirepb.StreamHead{}
		if err := frame.Read(reader, head, s.cfg.MaxHeadBytes); err != nil {
			return
		}
		if head.GetCall() == nil {
			s.Rejected.Add(1)
			return
		}
		select {
		case next <- head.GetCall():
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) add(mux *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= maxSessions {
		return false
	}
	s.sessions[mux] = true
	return true
}

func (s *Server) remove(mux *yamux.Session) {
	_ = mux.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, mux)
}

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
