package peer

import (
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// yamuxHeaderBytes is the size of a frame header; its second byte is the frame type, its last four the body length.
	yamuxHeaderBytes = 12
	yamuxTypeOffset  = 1
	yamuxTypeData    = 0
	// maxHandlingTime bounds the wait for the receiver, which takes microseconds unless it is short of processor time.
	maxHandlingTime = 10 * time.Millisecond
)

// mux is a session of yamux whose end leaves no read of a stream spinning. yamux announces the end to all reads before it ends their
// streams, and in between each of them runs in a loop. So the reads are ended before yamux learns that the connection has, and the
// connection ends for its receiver first, which then has nothing to wait for.
type mux struct {
	*yamux.Session

	conn *muxConn

	mu      sync.Mutex
	streams map[*muxStream]bool
}

// muxStream is a stream that its mux knows until it is closed.
type muxStream struct {
	*yamux.Stream

	mux *mux
}

// Close closes the stream.
func (s *muxStream) Close() error {
	s.mux.mu.Lock()
	delete(s.mux.streams, s)
	s.mux.mu.Unlock()
	return s.Stream.Close()
}

// AwaitReceiver waits until all that was read from the connection has reached its streams.
func (s *muxStream) AwaitReceiver() { s.mux.conn.awaitHandled() }

func newMux(conn net.Conn, start func(conn net.Conn) (*yamux.Session, error)) (*mux, error) {
	m := &mux{streams: map[*muxStream]bool{}}
	m.conn = &muxConn{Conn: conn, receiveEnded: make(chan struct{}), endReads: m.endReads}
	var err error
	m.Session, err = start(m.conn)
	return m, err
}

func newClientMux(conn net.Conn) (*mux, error) {
	return newMux(conn, func(conn net.Conn) (*yamux.Session, error) { return yamux.Client(conn, sessionConfig()) })
}

func newServerMux(conn net.Conn) (*mux, error) {
	return newMux(conn, func(conn net.Conn) (*yamux.Session, error) { return yamux.Server(conn, sessionConfig()) })
}

// OpenStream opens a stream to the other node.
func (m *mux) OpenStream() (*muxStream, error) {
	stream, err := m.Session.OpenStream()
	if err != nil {
		return nil, err
	}
	return m.add(stream), nil
}

// AcceptStream waits for a stream that the other node opens.
func (m *mux) AcceptStream() (*muxStream, error) {
	stream, err := m.Session.AcceptStream()
	if err != nil {
		return nil, err
	}
	return m.add(stream), nil
}

func (m *mux) add(stream *yamux.Stream) *muxStream {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &muxStream{Stream: stream, mux: m}
	m.streams[s] = true
	return s
}

// endReads ends the pending reads of all streams.
func (m *mux) endReads() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.streams {
		_ = s.SetReadDeadline(time.Unix(0, 1))
	}
}

// Close closes the connection, lets the receiver end the session and waits for that.
func (m *mux) Close() error {
	_ = m.conn.Conn.Close()
	select {
	case <-m.CloseChan():
	case <-time.After(writeTimeout):
	}
	return m.Session.Close()
}

// muxConn is the connection of a mux. It sends the header and body of a frame, which yamux writes separately, in one system call, and
// reports a failed write only after the receiver has ended.
type muxConn struct {
	net.Conn

	pending []byte
	// receiveEnded is closed once the receiver has read an error or the session closes the connection.
	receiveEnded chan struct{}
	endReceive   sync.Once
	// endReads ends the pending reads of all streams.
	endReads func()

	mu sync.Mutex
	// receiving means that the receiver handles what it has read, handled is closed once it has; nil if nobody waits for that.
	receiving bool
	handled   chan struct{}
}

// awaitHandled waits until the receiver has handled all that it has read, for at most maxHandlingTime.
func (c *muxConn) awaitHandled() {
	c.mu.Lock()
	if !c.receiving {
		c.mu.Unlock()
		return
	}
	if c.handled == nil {
		c.handled = make(chan struct{})
	}
	handled := c.handled
	c.mu.Unlock()
	timeout := time.NewTimer(maxHandlingTime)
	defer timeout.Stop()
	select {
	case <-handled:
	case <-timeout.C:
	}
}

// setReceiving records that the receiver has read something, or has handled it and reads on.
func (c *muxConn) setReceiving(receiving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = receiving
	if !receiving && c.handled != nil {
		close(c.handled)
		c.handled = nil
	}
}

// Read ends the reads of all streams before it reports an error, which ends the receiver.
func (c *muxConn) Read(data []byte) (int, error) {
	c.setReceiving(false)
	n, err := c.Conn.Read(data)
	c.setReceiving(err == nil)
	if err != nil {
		c.endReads()
		c.endReceive.Do(func() { close(c.receiveEnded) })
	}
	return n, err
}

// Write buffers the header of a frame until its body is written; yamux writes from one goroutine only.
func (c *muxConn) Write(data []byte) (int, error) {
	if len(c.pending) == 0 && len(data) == yamuxHeaderBytes && data[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(data[8:]) > 0 {
		c.pending = append(c.pending, data...)
		return len(data), nil
	}
	frame := data
	if len(c.pending) > 0 {
		c.pending = append(c.pending, data...)
		frame = c.pending
	}
	_, err := c.Conn.Write(frame)
	c.pending = c.pending[:0]
	if err != nil {
		_ = c.Conn.Close()
		select {
		case <-c.receiveEnded:
		case <-time.After(writeTimeout):
		}
	}
	return len(data), err
}

// Close closes the connection.
func (c *muxConn) Close() error {
	c.endReceive.Do(func() { close(c.receiveEnded) })
	return c.Conn.Close()
}
