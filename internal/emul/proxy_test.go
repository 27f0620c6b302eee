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

const wirePatience = 5 * time.Second

// newEcho returns a wire to a server that sends everything back, and its address.
func newEcho(t *testing.T) (*FaultProxy, string) {
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
	w := NewFaultProxy(netip.MustParseAddrPort(echo.Addr().String()))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- w.Serve(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return w, listener.Addr().String()
}

func dialWire(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes reports whether a byte comes back within a time.
func echoes(conn net.Conn, within time.Duration) bool {
	_ = conn.SetDeadline(time.Now().Add(within))
	if _, err := conn.Write([]byte{1}); err != nil {
		return false
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err == nil
}

func TestWire(t *testing.T) {
	const short = 50 * time.Millisecond
	t.Run("passes on", func(t *testing.T) {
		_, address := newEcho(t)
		require.True(t, echoes(dialWire(t, address), wirePatience))
	})
	t.Run("holds back what is cut and delivers it later", func(t *testing.T) {
		for _, faults := range []ConnectionFaults{{HoldToTarget: true}, {HoldFromTarget: true}} {
			w, address := newEcho(t)
			conn := dialWire(t, address)
			require.True(t, echoes(conn, wirePatience))
			w.SetFaults(faults)
			require.False(t, echoes(conn, short))
			w.SetFaults(ConnectionFaults{})
			require.NoError(t, conn.SetDeadline(time.Now().Add(wirePatience)))
			_, err := io.ReadFull(conn, make([]byte, 1))
			require.NoError(t, err)
		}
	})
	t.Run("silences open connections for good, not new ones", func(t *testing.T) {
		w, address := newEcho(t)
		conn := dialWire(t, address)
		require.True(t, echoes(conn, wirePatience))
		w.SetFaults(ConnectionFaults{StallProbability: 1})
		w.SetFaults(ConnectionFaults{})
		require.False(t, echoes(conn, short))
		require.True(t, echoes(dialWire(t, address), wirePatience))
	})
	t.Run("resets", func(t *testing.T) {
		w, address := newEcho(t)
		conn := dialWire(t, address)
		require.True(t, echoes(conn, wirePatience))
		w.ResetConnections(1)
		require.False(t, echoes(conn, wirePatience))
	})
	t.Run("delays", func(t *testing.T) {
		w, address := newEcho(t)
		w.SetFaults(ConnectionFaults{Delay: short})
		began := time.Now()
		require.True(t, echoes(dialWire(t, address), wirePatience))
		require.GreaterOrEqual(t, time.Since(began), 2*short)
	})
}
