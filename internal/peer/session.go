package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
)

const (
	// writeTimeout limits each write of a session and the wait for the reply to a ping.
	writeTimeout      = time.Second
	acceptBacklog     = 512
	streamWindowBytes = 256 << 10
	streamOpenTimeout = 5 * time.Second
	// TCP closes an unresponsive session within two seconds, even when no call is in flight.
	keepAliveIdleDuration = time.Second
	keepAliveInterval     = 500 * time.Millisecond
	keepAliveCount        = 2
)

// keepAliveConfig makes TCP close a session whose other node stops responding without a reset.
func keepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: keepAliveIdleDuration, Interval: keepAliveInterval, Count: keepAliveCount}
}

// Listen opens the listener of a Server. The connections that it accepts are closed when the other node stops responding, so that the
// calls that came over them end; it returns *ListenError.
func Listen(address netip.AddrPort) (net.Listener, error) {
	l, err := (&net.ListenConfig{KeepAliveConfig: keepAliveConfig()}).Listen(context.Background(), "tcp", address.String())
	if err != nil {
		return nil, &ListenError{Address: address.String(), Cause: err}
	}
	return l, nil
}

// sessionConfig disables the keep-alive of yamux, because the pool pings sessions that have streams in use.
func sessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.MaxStreamWindowSize = streamWindowBytes
	cfg.StreamOpenTimeout = streamOpenTimeout
	cfg.LogOutput = io.Discard
	return cfg
}
