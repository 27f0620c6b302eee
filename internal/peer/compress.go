package peer

import (
	"bufio"
	"io"
	"net"

	"github.com/klauspost/compress/zstd"
)

const (
	// packedMark is the first byte of a session whose rest is compressed; those of yamux start with its version, 0.
	packedMark = 'z'
	// packedWindow holds what a few dozen calls repeat: names, hosts and headers.
	packedWindow = 32 << 10
	markBuffer   = 4 << 10
)

// packedConn compresses a session between data centres, where bytes are dear: calls of one session repeat most of their
// names and headers, which one stream over all of them remembers.
type packedConn struct {
	net.Conn
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newPackedConn(conn net.Conn, source io.Reader) (net.Conn, error) {
	encoder, err := zstd.NewWriter(conn, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(packedWindow),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(source, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(packedWindow))
	if err != nil {
		return nil, err
	}
	return &packedConn{Conn: conn, encoder: encoder, decoder: decoder}, nil
}

// Write sends data at once.
func (c *packedConn) Write(data []byte) (int, error) {
	n, err := c.encoder.Write(data)
	if err != nil {
		return n, err
	}
	return n, c.encoder.Flush()
}

// Read returns what the other side sent.
func (c *packedConn) Read(data []byte) (int, error) { return c.decoder.Read(data) }

// pack marks a dialled session for the other side.
func pack(conn net.Conn) (net.Conn, error) {
	if _, err := conn.Write([]byte{packedMark}); err != nil {
		return nil, err
	}
	return newPackedConn(conn, conn)
}

// unpack returns an accepted session as the other side marked it.
func unpack(conn net.Conn) (net.Conn, error) {
	reader := bufio.NewReaderSize(conn, markBuffer)
	mark, err := reader.Peek(1)
	switch {
	case err != nil:
		return nil, err
	case mark[0] != packedMark:
		return &bufferedConn{Conn: conn, reader: reader}, nil
	}
	if _, err := reader.Discard(1); err != nil {
		return nil, err
	}
	return newPackedConn(conn, reader)
}

// bufferedConn reads through the buffer in which the mark was looked for.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns what the other side sent.
func (c *bufferedConn) Read(data []byte) (int, error) { return c.reader.Read(data) }
