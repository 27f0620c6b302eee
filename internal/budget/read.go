package budget

import (
	"context"
	"io"

	"github.com/pkg/errors"
)

const (
	// firstReadBytes is the memory that a body of unknown size gets before its bytes have arrived, and firstKnownBytes the most that one of known size gets.
	firstReadBytes  = 4 << 10
	firstKnownBytes = 64 << 10
	// Copies is the number of times that a body is in memory at once: while it is being copied into a larger buffer or encoded for another node.
	Copies = 2
)

// ReadConfig configures ReadAll.
type ReadConfig struct {
	// Expected is the size of the body as far as it is known, or -1.
	Expected int64
	MaxBytes int64
	// Charge charges memory before it is allocated; it reports whether there is room.
	Charge func(bytes int64) bool
	// OnProgress is called with the total of the bytes that have arrived.
	OnProgress func(total int64)
}

// ReadAll reads a body in a buffer that grows with what has arrived and is charged, Copies times, before it grows. It returns
// *ExhaustedError, *TooLargeError or the error of the reader.
func ReadAll(r io.Reader, cfg ReadConfig) ([]byte, error) {
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			size := nextSize(int64(cap(buffer)), cfg)
			if added := Copies * (size - int64(cap(buffer))); !cfg.Charge(added) {
				return nil, &ExhaustedError{Bytes: added}
			}
			grown := make([]byte, len(buffer), size)
			copy(grown, buffer)
			buffer = grown
		}
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if n > 0 {
			cfg.OnProgress(int64(len(buffer)))
		}
		switch {
		case int64(len(buffer)) > cfg.MaxBytes:
			return nil, &TooLargeError{Limit: cfg.MaxBytes}
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
	}
}

// nextSize doubles a size. It ends one byte above the expected or greatest size, which shows that the body has ended or is too large.
func nextSize(size int64, cfg ReadConfig) int64 {
	first, end := int64(firstReadBytes), cfg.MaxBytes+1
	if cfg.Expected >= 0 && size <= cfg.Expected {
		first, end = firstKnownBytes, min(end, cfg.Expected+1)
	}
	return min(max(2*size, first), end)
}

type contextKey struct{}

// WithAccount returns a context whose work is charged to an account.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, contextKey{}, a)
}

// FromContext returns the account that work is charged to, or nil if there is none.
func FromContext(ctx context.Context) *Account {
	a, _ := ctx.Value(contextKey{}).(*Account)
	return a
}
