package peer

import (
	"bufio"
	"io"
	"net"

	"github.com/klauspost/compress/zstd"
)

const (
	// compressionMarker is the first byte of a compressed session; an uncompressed one starts with the yamux version, 0.
	compressionMarker = 'z'
	// compressionWindowBytes is large enough for the names, hosts and headers that a few dozen calls repeat.
	compressionWindowBytes = 32 << 10
	markerBufferBytes      = 4 << 10
)

// compressedConn compresses a session between data centres, where bandwidth is expensive. One compression stream spans
// all calls of the session, since calls repeat most of their names and headers.
type compressedConn struct {
	net.Conn
	encoder *zstd.Encoder
	decoder *zstd.Decoder
}

func newCompressedConn(conn net.Conn, source io.Reader) (net.Conn, error) {
	encoder, err := zstd.NewWriter(conn, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(compressionWindowBytes),
		zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, err
	}
	decoder, err := zstd.NewReader(source, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxWindow(compressionWindowBytes))
	if err != nil {
		return nil, err
	}
	return &compressedConn{Conn: conn, encoder: encoder, decoder: decoder}, nil
}

// Write compresses data and flushes it, so that the remote node receives it without waiting for more.
func (c *compressedConn) Write(data []byte) (int, error) {
	n, err := c.encoder.Write(data)
	if err != nil {
		return n, err
	}
	return n, c.encoder.Flush()
}

// Read returns decompressed data.
func (c *compressedConn) Read(data []byte) (int, error) { return c.decoder.Read(data) }

// requestCompression sends the marker on a dialled connection and compresses what follows.
func requestCompression(conn net.Conn) (net.Conn, error) {
	if _, err := conn.Write([]byte{compressionMarker}); err != nil {
		return nil, err
	}
	return newCompressedConn(conn, conn)
}

// detectCompression decompresses an accepted connection if it starts with the marker.
func detectCompression(conn net.Conn) (net.Conn, error) {
	reader := bufio.NewReaderSize(conn, markerBufferBytes)
	marker, err := reader.Peek(1)
	switch {
	case err != nil:
		return nil, err
	case marker[0] != compressionMarker:
		return &bufferedConn{Conn: conn, reader: reader}, nil
	}
	if _, err := reader.Discard(1); err != nil {
		return nil, err
	}
	return newCompressedConn(conn, reader)
}

// bufferedConn is an uncompressed connection whose first bytes were buffered to look for the marker.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read returns buffered data first, then the connection's.
func (c *bufferedConn) Read(data []byte) (int, error) { return c.reader.Read(data) }
