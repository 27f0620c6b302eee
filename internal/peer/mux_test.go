package peer

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a call that is served although it arrived together with its end, since its stream's reader looked for the end before the
// receiver of the session had come to it (GONE).
func TestAwaitReceiver(t *testing.T) {
	const handling = time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		c := &muxConn{Conn: near, receiveEnded: make(chan struct{}), endReads: func() {}}
		s := &muxStream{mux: &mux{conn: c}}
		data := make([]byte, 1)
		waitTime := func() time.Duration {
			started := time.Now()
			s.AwaitReceiver()
			return time.Since(started)
		}
		receive := func() {
			go func() { _, _ = far.Write(data) }()
			_, err := c.Read(data)
			require.NoError(t, err)
		}
		require.Zero(t, waitTime(), "nothing was read")
		receive()
		go func() {
			time.Sleep(handling)
			_, _ = c.Read(data)
		}()
		require.Equal(t, handling, waitTime())
		synctest.Wait()
		require.Zero(t, waitTime(), "the receiver waits for data")
		_ = far.Close()
		synctest.Wait()
		require.Zero(t, waitTime(), "the receiver has ended")
	})
}

// Guards against calls that wait for a receiver which does not go on.
func TestAwaitReceiverIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &muxStream{mux: &mux{conn: &muxConn{receiving: true}}}
		started := time.Now()
		s.AwaitReceiver()
		require.Equal(t, maxHandlingTime, time.Since(started))
	})
}
