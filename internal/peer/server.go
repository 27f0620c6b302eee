package peer

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/budget"
	"github.com/turmericdale/turmericdale/internal/frame"
	"github.com/turmericdale/turmericdale/internal/probe"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	headTimeout = 5 * time.Second
	maxSessions = 4096
	// acceptDelay is the pause after the process had no descriptor for a connection.
	acceptDelay = 50 * time.Millisecond
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Listener net.Listener
	// MaxHeadBytes limits the message that starts a stream or a call, including the call's body.
	MaxHeadBytes int64
	// Budget is the memory for callers, to which calls from other nodes are charged; nil means that it is not limited.
	Budget         *budget.Budget
	ServeCall      func(ctx context.Context, conn net.Conn, head *wirepb.CallHead)
	ServeLink      func(ctx context.Context, conn net.Conn, reader *bufio.Reader, hello *wirepb.LinkHello)
	HandleEvidence func(conn net.Conn, report *wirepb.EvidenceReport)
	// HandleQuota replies to a request for quota tokens; nil rejects it.
	HandleQuota      func(conn net.Conn, request *wirepb.QuotaRequest)
	HandleInvitation func(invitation *wirepb.LinkRedirect)
	// OnPanic is called with the value and the stack of a panic in a handler, which ends only the stream; nil ignores it.
	OnPanic func(value any, stack []byte)
}

// Server accepts sessions from other nodes and passes each stream to the handler for its kind.
type Server struct {
	// Rejected counts sessions and streams that sent invalid data, and sessions beyond maxSessions.
	Rejected atomic.Uint64
	// AcceptFailures counts the times that the process had no descriptor for a session.
	AcceptFailures atomic.Uint64

	cfg      ServerConfig
	mu       sync.Mutex
	sessions map[*mux]bool
	tasks    sync.WaitGroup
}

// NewServer returns a server that accepts no sessions until Serve is called.
func NewServer(cfg ServerConfig) *Server {
	return &Server{cfg: cfg, sessions: map[*mux]bool{}}
}

// Serve accepts sessions until the context ends, then waits until all sessions and streams have ended.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = s.cfg.Listener.Close() })
	defer stop()
	defer s.tasks.Wait()
	for {
		conn, err := s.cfg.Listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if probe.IsShortage(err) {
				s.AcceptFailures.Add(1)
				time.Sleep(acceptDelay)
				continue
			}
			return errors.Wrap(err, "accept session of a node")
		}
		s.tasks.Go(func() { s.serveSession(ctx, conn) })
	}
}

func (s *Server) serveSession(ctx context.Context, conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(headTimeout))
	detected, err := detectCompression(conn)
	_ = conn.SetReadDeadline(time.Time{})
	if err != nil {
		if !isDisconnect(err) {
			s.Rejected.Add(1)
		}
		_ = conn.Close()
		return
	}
	session, err := newServerMux(detected)
	if err != nil || !s.addSession(session) {
		s.Rejected.Add(1)
		_ = conn.Close()
		return
	}
	defer s.removeSession(session)
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			if ctx.Err() == nil && !isDisconnect(err) {
				s.Rejected.Add(1)
			}
			return
		}
		s.tasks.Go(func() { s.serveStream(ctx, stream) })
	}
}

// isDisconnect reports whether an error is the end or failure of a connection rather than invalid data.
func isDisconnect(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrSessionShutdown) || errors.As(err, &network)
}

func (s *Server) serveStream(ctx context.Context, stream *muxStream) {
	defer func() { _ = stream.Close() }()
	defer s.recoverPanic()
	reader := bufio.NewReader(stream)
	_ = stream.SetReadDeadline(time.Now().Add(headTimeout))
	received, err := s.readHead(reader)
	if err != nil {
		s.Rejected.Add(1)
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	if received.refusedID != "" {
		s.serveCalls(ctx, stream, reader, received)
		return
	}
	switch kind := received.head.GetKind().(type) {
	case *wirepb.StreamHead_Call:
		if hasEnded(stream, reader) {
			received.account.Close()
			return
		}
		s.serveCalls(ctx, stream, reader, received)
	case *wirepb.StreamHead_Link:
		s.cfg.ServeLink(ctx, stream, reader, kind.Link)
	case *wirepb.StreamHead_Evidence:
		s.cfg.HandleEvidence(stream, kind.Evidence)
	case *wirepb.StreamHead_Invitation:
		s.cfg.HandleInvitation(kind.Invitation)
	case *wirepb.StreamHead_Quota:
		if s.cfg.HandleQuota == nil {
			s.Rejected.Add(1)
			return
		}
		s.cfg.HandleQuota(stream, kind.Quota)
	default:
		s.Rejected.Add(1)
	}
}

func (s *Server) recoverPanic() {
	value := recover()
	if value == nil {
		return
	}
	s.Rejected.Add(1)
	if s.cfg.OnPanic != nil {
		s.cfg.OnPanic(value, debug.Stack())
	}
}

// serveCalls serves the calls of a stream one after the other. It reads the next head while a call runs, so that the
// end of the stream cancels the call.
func (s *Server) serveCalls(ctx context.Context, stream *muxStream, reader *bufio.Reader, first *receivedHead) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := make(chan *receivedHead)
	s.tasks.Go(func() {
		defer close(next)
		defer cancel()
		s.readCalls(ctx, stream, reader, next)
	})
	for received, more := first, true; more; received, more = <-next {
		s.serveCall(ctx, stream, received)
	}
	_ = stream.Close()
}

// serveCall runs a call, or refuses one for which there is no memory.
func (s *Server) serveCall(ctx context.Context, stream *muxStream, received *receivedHead) {
	defer received.account.Close()
	if received.refusedID != "" {
		_ = stream.SetWriteDeadline(time.Now().Add(headTimeout))
		_ = frame.Write(stream, &wirepb.AnswerHead{
			CallId: received.refusedID, Outcome: wirepb.Outcome_OUTCOME_NOT_RUN, Refusal: wirepb.Refusal_REFUSAL_OVERLOADED,
			Detail: "the node has no memory for the call",
		})
		return
	}
	s.cfg.ServeCall(budget.WithAccount(ctx, received.account), stream, received.head.GetCall())
}

func (s *Server) readCalls(ctx context.Context, stream *muxStream, reader *bufio.Reader, next chan<- *receivedHead) {
	for {
		received, err := s.readHead(reader)
		if err != nil {
			return
		}
		if received.refusedID == "" && received.head.GetCall() == nil {
			received.account.Close()
			s.Rejected.Add(1)
			return
		}
		if hasEnded(stream, reader) {
			received.account.Close()
			return
		}
		select {
		case next <- received:
		case <-ctx.Done():
			received.account.Close()
			return
		}
	}
}

// hasEnded reports whether the other node has closed a stream, as far as its bytes have arrived. A call and the end of its stream
// arrive together if a link held them up; the caller of such a call left long ago.
func hasEnded(stream *muxStream, reader *bufio.Reader) bool {
	stream.AwaitReceiver()
	_ = stream.SetReadDeadline(time.Unix(0, 1))
	_, err := reader.Peek(1)
	_ = stream.SetReadDeadline(time.Time{})
	return err != nil && !errors.Is(err, yamux.ErrTimeout)
}

func (s *Server) addSession(session *mux) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= maxSessions {
		return false
	}
	s.sessions[session] = true
	return true
}

func (s *Server) removeSession(session *mux) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// SessionCount returns the number of open sessions.
func (s *Server) SessionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sessions)
}
