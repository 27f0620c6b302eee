package peer

import (
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// probeTimeout bounds the answer to a ping and every write of a session.
	probeTimeout   = time.Second
	acceptBacklog  = 512
	streamWindow   = 256 << 10
	streamOpenTime = 5 * time.Second
	// A silent session is found within two seconds also when no call is under way.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
)

const (
	// yamuxHeader is the size of a frame's header in bytes; its second byte is the type, its last four the length.
	yamuxHeader   = 12
	yamuxTypeByte = 1
	yamuxData     = 0
)

// joinedConn sends the header and the body of a frame, which yamux writes one after the other, in one system call.
type joinedConn struct {
	net.Conn
	held []byte
}

// Write holds the header of a frame with a body until the body comes; yamux writes from one task.
func (c *joinedConn) Write(data []byte) (int, error) {
	if len(c.held) == 0 && len(data) == yamuxHeader && data[yamuxTypeByte] == yamuxData && binary.BigEndian.Uint32(data[8:]) > 0 {
		c.held = append(c.held, data...)
		return len(data), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(data)
	}
	c.held = append(c.held, data...)
	_, err := c.Conn.Write(c.held)
	c.held = c.held[:0]
	return len(data), err
}

// keepAlive ends sessions that went silent without a reset.
func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// sessionConfig turns off yamux's own keep-alive: sessions with calls in flight are pinged by the pool.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = probeTimeout
	cfg.MaxStreamWindowSize = streamWindow
	cfg.StreamOpenTimeout = streamOpenTime
	cfg.LogOutput = io.Discard
	return cfg
}
