package emul

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestIsNotConnected(t *testing.T) {
	operation := func(name string, cause syscall.Errno) error {
		return errors.Wrap(&net.OpError{Op: name, Net: "tcp", Err: os.NewSyscallError("connect", cause)}, "send request")
	}
	tests := []struct {
		name string
		err  error
		want bool
	}{
		{"dial refused", operation("dial", syscall.ECONNREFUSED), true},
		{"dial reset", operation("dial", syscall.ECONNRESET), true},
		{"dial timed out", operation("dial", syscall.ETIMEDOUT), false},
		{"open connection reset", operation("read", syscall.ECONNRESET), false},
		{"write to a reset connection", operation("write", syscall.EPIPE), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) { require.Equal(t, tt.want, isNotConnected(tt.err)) })
	}
}

// A dial that crosses the close of a listener may be reset instead of refused, although no connection was ever accepted or
// used. The soak showed this with seed 42.
func TestDialsAcrossCloseOfListenerAreNotConnected(t *testing.T) {
	const rounds, dialsPerRound = 200, 50
	for range rounds {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address, closed := listener.Addr().String(), make(chan error)
		go func() { closed <- listener.Close() }()
		for range dialsPerRound {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				require.True(t, isNotConnected(err), "%v", err)
				continue
			}
			require.NoError(t, conn.Close())
		}
		require.NoError(t, <-closed)
	}
}
