package peer

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/turmericdale/turmericdale/internal/frame"
)

// Stream is one exchange with a node; closing it also ends the exchange at that node.
type Stream struct {
	net.Conn
	// Reader buffers received data; a reused stream keeps it.
	Reader  *bufio.Reader
	session *session
	ended   atomic.Bool
}

// Close closes the stream and interrupts a pending read, which yamux alone continues until the other node closes too. It does not
// wait for the end to be sent.
func (s *Stream) Close() error {
	if s.ended.Swap(true) {
		return nil
	}
	s.session.activeStreams.Add(-1)
	_ = s.SetReadDeadline(time.Unix(0, 1))
	go func() { _ = s.Conn.Close() }()
	return nil
}

// Send writes a message; when the context ends first, it returns without waiting for a connection that takes no bytes, and the
// other node may still receive the message. It returns *frame.EncodeError if nothing was sent.
func (s *Stream) Send(ctx context.Context, message proto.Message) error {
	encoded, err := frame.Encode(message)
	if err != nil {
		return err
	}
	written := make(chan error, 1)
	go func() { written <- frame.WriteEncoded(s, encoded) }()
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Release keeps a stream whose exchange is complete for reuse, which saves closing it and opening another.
func (s *Stream) Release() {
	if s.ended.Swap(true) {
		return
	}
	s.session.activeStreams.Add(-1)
	s.session.keepIdle(&Stream{Conn: s.Conn, Reader: s.Reader, session: s.session})
}

// openStream opens a stream, or returns an idle one if it may be reused. One that is open only after the context has ended is kept for reuse.
func (p *Pool) openStream(ctx context.Context, s *session, reuse bool) (*Stream, error) {
	if s.mux.IsClosed() {
		return nil, &ClosedError{}
	}
	if reuse {
		select {
		case stream := <-s.idleStreams:
			return stream, nil
		default:
		}
	}
	var decided atomic.Bool
	opened := make(chan openResult, 1)
	go func() {
		conn, err := s.mux.OpenStream()
		if err != nil {
			p.removeSession(s)
			opened <- openResult{err: err}
			return
		}
		stream := &Stream{Conn: conn, Reader: bufio.NewReader(conn), session: s}
		if decided.Swap(true) {
			s.keepIdle(stream)
			return
		}
		opened <- openResult{stream: stream}
	}()
	select {
	case r := <-opened:
		return r.stream, r.err
	case <-ctx.Done():
	}
	if !decided.Swap(true) {
		return nil, ctx.Err()
	}
	r := <-opened
	return r.stream, r.err
}

type openResult struct {
	stream *Stream
	err    error
}

// keepIdle keeps a stream for reuse, or closes it if there are enough.
func (s *session) keepIdle(stream *Stream) {
	select {
	case s.idleStreams <- stream:
	default:
		_ = stream.Conn.Close()
	}
}
