package front

import (
	"bytes"
	"net/http"

	"github.com/pkg/errors"

	"github.com/turmericdale/turmericdale/internal/ahead"
	"github.com/turmericdale/turmericdale/internal/budget"
)

// errHeadTooLarge is the response to a head above the limit.
var errHeadTooLarge = &InvalidRequestError{Status: http.StatusRequestHeaderFieldsTooLarge, Detail: "the header is too large"}

// awaitHead waits until the head of a request has arrived in full and charges what its parts will hold, before they are allocated: a line of four
// bytes takes more than a hundred times as much in the maps and messages of a request.
func (c *conn) awaitHead(account *budget.Account, maxBytes int64) error {
	head, err := c.reader.PeekHead(ahead.HeadConfig{
		MaxBytes: maxBytes + readBufferBytes, Charge: account.Take, OnRead: func(bytes int) { account.AddProgress(int64(bytes)) },
	})
	var tooLarge *ahead.HeadTooLargeError
	var exhausted *budget.ExhaustedError
	switch {
	case errors.As(err, &tooLarge), err != nil && c.limited.N <= 0:
		return errHeadTooLarge
	case errors.As(err, &exhausted):
		return &RefusedError{}
	case err != nil:
		return err
	}
	if !account.Take(budget.HeadBytes(len(head), bytes.Count(head, []byte("\n")))) {
		return &RefusedError{}
	}
	return nil
}
