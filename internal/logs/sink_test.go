package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// blockedWriter blocks every write until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blockedWriter) Write(data []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func TestLoggingNeverBlocks(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	logger, sink := New(out)
	started := time.Now()
	for range 20_000 {
		logger.Info("call answered", zap.String("id", "0123456789abcdef"))
	}
	require.Less(t, time.Since(started), 5*time.Second)
	require.Positive(t, sink.Dropped.Load(), "no lines dropped: the buffer has no limit")
	close(out.unblock)
	sink.Close()
	lines := uint64(strings.Count(out.text.String(), "\n"))
	require.Equal(t, uint64(20_000), lines+sink.Dropped.Load())
}

func TestCloseWritesPendingLines(t *testing.T) {
	var out bytes.Buffer
	logger, sink := New(&out)
	logger.Info("node stopped")
	sink.Close()
	require.Contains(t, out.String(), `"msg":"node stopped"`)
}
