package peer

import (
	"io"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// probeTimeout bounds the answer to a ping and every write of a session.
	probeTimeout   = time.Second
	acceptBacklog  = 512
	streamWindow   = 256 << 10
	streamOpenTime = 5 * time.Second
)

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
