package front

import (
	"bytes"
	"io"
	"net/http"

	"github.com/turmericdale/turmericdale/internal/budget"
)

// firstHeadBytes is the size of the buffer for a head that is larger than the buffer of its connection.
const firstHeadBytes = 2 * readBufferBytes

// errHeadTooLarge is the response to a head above the limit.
var errHeadTooLarge = &InvalidRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}

// source returns the bytes of a connection, beginning with those that were read ahead.
type source struct {
	ahead   []byte
	limited *io.LimitedReader
}

// Read implements io.Reader.
func (s *source) Read(data []byte) (int, error) {
	if len(s.ahead) == 0 {
		s.ahead = nil
		return s.limited.Read(data)
	}
	n := copy(data, s.ahead)
	s.ahead = s.ahead[n:]
	return n, nil
}

// readHead waits until the head of a request has arrived in full and charges what its parts will hold, before they are allocated: a line of four
// bytes takes more than a hundred times as much in the maps and messages of a request.
func (c *conn) readHead(account *budget.Account, maxBytes int64) error {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	size, lines := scanHead(buffered, 0)
	if size == 0 {
		ahead, err := c.readAhead(account, append(buffered[:len(buffered):len(buffered)], c.source.ahead...), maxBytes+readBufferBytes)
		if err != nil {
			return err
		}
		size, lines = scanHead(ahead, 0)
	}
	if !account.Take(budget.HeadBytes(size, lines)) {
		return &RefusedError{}
	}
	return nil
}

// readAhead reads until a head is complete, and makes it the next bytes of the connection.
func (c *conn) readAhead(account *budget.Account, start []byte, maxBytes int64) ([]byte, error) {
	ahead := append(make([]byte, 0, max(firstHeadBytes, len(start))), start...)
	if !account.Take(int64(cap(ahead))) {
		return nil, &RefusedError{}
	}
	for scanned := 0; ; {
		if size, _ := scanHead(ahead, scanned); size > 0 {
			break
		}
		scanned = len(ahead)
		if int64(len(ahead)) >= maxBytes {
			return nil, errHeadTooLarge
		}
		if len(ahead) == cap(ahead) {
			if !account.Take(int64(cap(ahead))) {
				return nil, &RefusedError{}
			}
			ahead = append(make([]byte, 0, 2*cap(ahead)), ahead...)
		}
		n, err := c.limited.Read(ahead[len(ahead):cap(ahead)])
		ahead = ahead[:len(ahead)+n]
		account.AddProgress(int64(n))
		if err != nil && n == 0 {
			if c.limited.N <= 0 {
				return nil, errHeadTooLarge
			}
			return nil, err
		}
	}
	c.source.ahead = ahead
	c.reader.Reset(c.source)
	return ahead, nil
}

// scanHead returns the size of the head that data starts with and its number of lines, or 0 if it is not complete. The first scanned bytes are
// known to hold no complete head.
func scanHead(data []byte, scanned int) (size, lines int) {
	if bytes.HasPrefix(data, []byte("\n")) || bytes.HasPrefix(data, []byte("\r\n")) {
		// No request begins with an empty line.
		return 1, 1
	}
	for offset := max(scanned-len("\n\r"), 0); ; {
		newline := bytes.IndexByte(data[offset:], '\n')
		if newline < 0 {
			return 0, 0
		}
		offset += newline + 1
		rest := data[offset:]
		if bytes.HasPrefix(rest, []byte("\n")) || bytes.HasPrefix(rest, []byte("\r\n")) {
			return offset, bytes.Count(data[:offset], []byte("\n"))
		}
	}
}
