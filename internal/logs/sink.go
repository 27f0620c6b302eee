package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// maxPendingBytes limits the lines that wait to be written; lines beyond it are dropped and counted.
	maxPendingBytes = 256 << 10
	// flushInterval is the pause after a write, so that lines logged in quick succession share a write.
	flushInterval = 50 * time.Millisecond
)

// Sink buffers log lines until its goroutine writes them.
type Sink struct {
	// Dropped counts the lines dropped because the buffer was full.
	Dropped atomic.Uint64

	out     io.Writer
	mu      sync.Mutex
	pending []byte
	wake    chan struct{}
	stop    chan struct{}
	done    chan struct{}
}

// New returns a logger and its sink, which must be closed.
func New(out io.Writer) (*zap.Logger, *Sink) {
	s := &Sink{out: out, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, zapcore.InfoLevel)), s
}

// Write buffers a line, or drops it if the buffer is full.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.pending)+len(line) > maxPendingBytes {
		s.Dropped.Add(1)
		return len(line), nil
	}
	s.pending = append(s.pending, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing, because the sink writes lines without being asked.
func (s *Sink) Sync() error { return nil }

// Close writes the pending lines and stops the sink.
func (s *Sink) Close() {
	close(s.stop)
	<-s.done
}

func (s *Sink) run() {
	defer close(s.done)
	var lines []byte
	for {
		select {
		case <-s.stop:
			s.flush(lines)
			return
		case <-s.wake:
		}
		lines = s.flush(lines)
		timer := time.NewTimer(flushInterval)
		select {
		case <-s.stop:
			timer.Stop()
			s.flush(lines)
			return
		case <-timer.C:
		}
	}
}

// flush writes the pending lines and returns their buffer for reuse. A write error is ignored: there is no other output
// to report it to.
func (s *Sink) flush(spare []byte) []byte {
	s.mu.Lock()
	lines := s.pending
	s.pending = spare[:0]
	s.mu.Unlock()
	if len(lines) > 0 {
		_, _ = s.out.Write(lines)
	}
	return lines
}
