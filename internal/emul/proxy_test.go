package emul

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const echoTimeout = 5 * time.Second

// newEchoProxy returns a proxy to a server that sends everything back, and its address.
func newEchoProxy(t *testing.T) (*FaultProxy, string) {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = echo.Close() })
	go func() {
		for {
			conn, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := NewFaultProxy(netip.MustParseAddrPort(echo.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- p.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return p, listener.Addr().String()
}

func dialProxy(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether a byte comes back within a timeout.
func echoes(conn net.Conn, timeout time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

func TestFaultProxy(t *testing.T) {
	const shortDelay = 50 * time.Millisecond
	t.Run("forwards", func(t *testing.T) {
		_, address := newEchoProxy(t)
		require.True(t, echoes(dialProxy(t, address), echoTimeout))
	})
	t.Run("holds back one direction and forwards its data later", func(t *testing.T) {
		for _, faults := range []ConnectionFaults{{HoldToTarget: true}, {HoldFromTarget: true}} {
			p, address := newEchoProxy(t)
			conn := dialProxy(t, address)
			require.True(t, echoes(conn, echoTimeout))
			p.SetFaults(faults)
			require.False(t, echoes(conn, shortDelay))
			p.SetFaults(ConnectionFaults{})
			require.NoError(t, conn.SetDeadline(time.Now().Add(echoTimeout)))
			_, err := io.ReadFull(conn, make([]byte, 1))
			require.NoError(t, err)
		}
	})
	t.Run("stalls open connections for good, not new ones", func(t *testing.T) {
		p, address := newEchoProxy(t)
		conn := dialProxy(t, address)
		require.True(t, echoes(conn, echoTimeout))
		p.SetFaults(ConnectionFaults{StallProbability: 1})
		p.SetFaults(ConnectionFaults{})
		require.False(t, echoes(conn, shortDelay))
		require.True(t, echoes(dialProxy(t, address), echoTimeout))
	})
	t.Run("resets connections", func(t *testing.T) {
		p, address := newEchoProxy(t)
		conn := dialProxy(t, address)
		require.True(t, echoes(conn, echoTimeout))
		p.ResetConnections(1)
		require.False(t, echoes(conn, echoTimeout))
	})
	t.Run("delays data", func(t *testing.T) {
		p, address := newEchoProxy(t)
		p.SetFaults(ConnectionFaults{Delay: shortDelay})
		started := time.Now()
		require.True(t, echoes(dialProxy(t, address), echoTimeout))
		require.GreaterOrEqual(t, time.Since(started), 2*shortDelay)
	})
}
