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

// blocked is an output that takes nothing until it is let go.
type blocked struct {
	free chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *blocked) Write(data []byte) (int, error) {
	<-b.free
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

func TestLinesNeverBlock(t *testing.T) {
	out := &blocked{free: make(chan struct{})}
	logger, sink := New(out)
	started := time.Now()
	for range 20_000 {
		logger.Info("call answered", zap.String("id", "0123456789abcdef"))
	}
	require.Less(t, time.Since(started), 5*time.Second)
	require.Positive(t, sink.Dropped.Load(), "the lines that wait are not bounded")
	close(out.free)
	sink.Close()
	lines := uint64(strings.Count(out.text.String(), "\n"))
	require.Equal(t, uint64(20_000), lines+sink.Dropped.Load())
}

func TestCloseWritesWhatWaits(t *testing.T) {
	var out bytes.Buffer
	logger, sink := New(&out)
	logger.Info("node stopped")
	sink.Close()
	require.Contains(t, out.String(), `"msg":"node stopped"`)
}
