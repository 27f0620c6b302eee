package probe

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newPair(t *testing.T) (*net.TCPConn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _, _ = dialled.Close(), accepted.Close() })
	remote, ok := dialled.(*net.TCPConn)
	require.True(t, ok)
	own, ok := accepted.(*net.TCPConn)
	require.True(t, ok)
	return own, remote
}

func TestLook(t *testing.T) {
	tests := []struct {
		name string
		act  func(own, remote *net.TCPConn) error
		want State
	}{
		{"nothing sent", func(_, _ *net.TCPConn) error { return nil }, Quiet},
		{"data sent", func(_, remote *net.TCPConn) error { _, err := remote.Write([]byte("x")); return err }, Readable},
		{"closed", func(_, remote *net.TCPConn) error { return remote.Close() }, Closed},
		{"data sent, then closed", func(_, remote *net.TCPConn) error {
			if _, err := remote.Write([]byte("x")); err != nil {
				return err
			}
			return remote.Close()
		}, Readable},
		{"reset", func(_, remote *net.TCPConn) error {
			if err := remote.SetLinger(0); err != nil {
				return err
			}
			return remote.Close()
		}, Closed},
		{"closed here", func(own, _ *net.TCPConn) error { return own.Close() }, Closed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			own, remote := newPair(t)
			require.NoError(t, tt.act(own, remote))
			require.Eventually(t, func() bool { return Look(own) == tt.want }, time.Second, time.Millisecond)
		})
	}
	t.Run("a connection without a socket", func(t *testing.T) {
		own, remote := net.Pipe()
		defer func() { _, _ = own.Close(), remote.Close() }()
		require.Equal(t, Quiet, Look(own))
	})
}
