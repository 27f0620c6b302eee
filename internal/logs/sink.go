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
	// maxWaiting is the size in bytes of the lines that wait to be written; more are dropped and counted.
	maxWaiting = 256 << 10
	// flushInterval joins the lines of a moment in one write.
	flushInterval = 50 * time.Millisecond
)

// Sink holds lines until its task writes them.
type Sink struct {
	// Dropped counts the lines for which there was no room.
	Dropped atomic.Uint64

	out  io.Writer
	mu   sync.Mutex
	next []byte
	wake chan struct{}
	stop chan struct{}
	done chan struct{}
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

// Write takes a line, or drops it when too many wait.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.next)+len(line) > maxWaiting {
		s.Dropped.Add(1)
		return len(line), nil
	}
	s.next = append(s.next, line...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync does nothing: lines are written as soon as the output takes them.
func (s *Sink) Sync() error { return nil }

// Close writes the lines that wait and ends the sink.
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
			s.write(lines)
			return
		case <-s.wake:
		}
		lines = s.write(lines)
		timer := time.NewTimer(flushInterval)
		select {
		case <-s.stop:
			timer.Stop()
			s.write(lines)
			return
		case <-timer.C:
		}
	}
}

// write writes the waiting lines and returns the buffer for the next ones; an output that fails has no better place.
func (s *Sink) write(spare []byte) []byte {
	s.mu.Lock()
	lines := s.next
	s.next = spare[:0]
	s.mu.Unlock()
	if len(lines) > 0 {
		_, _ = s.out.Write(lines)
	}
	return lines
}
