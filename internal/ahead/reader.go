package ahead

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"github.com/turmericdale/turmericdale/internal/budget"
)

// HeadTooLargeError says that a head exceeds the limit in bytes.
type HeadTooLargeError struct {
	Limit int64
}

func (e *HeadTooLargeError) Error() string { return fmt.Sprintf("the head exceeds %d bytes", e.Limit) }

// Reader is a buffered reader of a connection that can look at a whole head before it is read.
type Reader struct {
	*bufio.Reader
	source *source
	size   int
}

// source returns the bytes of a connection, beginning with those that were read ahead.
type source struct {
	ahead []byte
	conn  io.Reader
}

// Read implements io.Reader.
func (s *source) Read(data []byte) (int, error) {
	if len(s.ahead) == 0 {
		s.ahead = nil
		return s.conn.Read(data)
	}
	n := copy(data, s.ahead)
	s.ahead = s.ahead[n:]
	return n, nil
}

// NewReader returns a reader with a buffer of some size.
func NewReader(conn io.Reader, size int) *Reader {
	s := &source{conn: conn}
	return &Reader{Reader: bufio.NewReaderSize(s, size), source: s, size: size}
}

// Buffered returns the number of bytes that can be read without reading from the connection.
func (r *Reader) Buffered() int { return r.Reader.Buffered() + len(r.source.ahead) }

// HeadConfig configures PeekHead.
type HeadConfig struct {
	MaxBytes int64
	// Charge charges memory before it is allocated for a head that is larger than the buffer; it reports whether there is room. Nil means that there is.
	Charge func(bytes int64) bool
	// OnRead is called with the number of bytes that were read for such a head; nil ignores it.
	OnRead func(bytes int)
}

// PeekHead waits until a head has arrived in full and returns its lines, without the empty one that ends it. The head is still to be read, and valid until
// then. It returns *HeadTooLargeError, *budget.ExhaustedError or the error of the connection.
func (r *Reader) PeekHead(cfg HeadConfig) ([]byte, error) {
	if _, err := r.Peek(1); err != nil {
		return nil, err
	}
	buffered, _ := r.Peek(r.Reader.Buffered())
	if size := headSize(buffered, 0); size > 0 {
		return buffered[:size], nil
	}
	return r.readAhead(cfg, buffered)
}

// readAhead reads until a head is complete, and makes it the next bytes of the connection.
func (r *Reader) readAhead(cfg HeadConfig, buffered []byte) ([]byte, error) {
	charge, onRead := cfg.Charge, cfg.OnRead
	if charge == nil {
		charge = func(int64) bool { return true }
	}
	if onRead == nil {
		onRead = func(int) {}
	}
	size := max(2*r.size, len(buffered)+len(r.source.ahead))
	if !charge(int64(size)) {
		return nil, &budget.ExhaustedError{Bytes: int64(size)}
	}
	head := append(append(make([]byte, 0, size), buffered...), r.source.ahead...)
	for scanned := 0; ; {
		if size := headSize(head, scanned); size > 0 {
			r.source.ahead = head
			r.Reset(r.source)
			return head[:size], nil
		}
		scanned = len(head)
		if int64(len(head)) >= cfg.MaxBytes {
			return nil, &HeadTooLargeError{Limit: cfg.MaxBytes}
		}
		if len(head) == cap(head) {
			if !charge(int64(cap(head))) {
				return nil, &budget.ExhaustedError{Bytes: int64(cap(head))}
			}
			head = append(make([]byte, 0, 2*cap(head)), head...)
		}
		n, err := r.source.conn.Read(head[len(head):min(int64(cap(head)), cfg.MaxBytes)])
		head = head[:len(head)+n]
		onRead(n)
		if err != nil && n == 0 {
			return nil, err
		}
	}
}

// headSize returns the size of the head that data starts with, without the empty line at its end, or 0 if it is not complete. The first scanned
// bytes are known to hold no complete head.
func headSize(data []byte, scanned int) int {
	if startsWithLineEnd(data) {
		// No message begins with an empty line.
		return 1
	}
	for offset := max(scanned-len("\n\r"), 0); ; {
		newline := bytes.IndexByte(data[offset:], '\n')
		if newline < 0 {
			return 0
		}
		offset += newline + 1
		if startsWithLineEnd(data[offset:]) {
			return offset
		}
	}
}

func startsWithLineEnd(data []byte) bool {
	return bytes.HasPrefix(data, []byte("\n")) || bytes.HasPrefix(data, []byte("\r\n"))
}
