package front

import (
	"fmt"
	"net/http"
	"time"
)

// lingerTimeout is how long a connection waits after its last response for the caller to close it. Closing it at once could
// reset it before the caller has read the response.
const lingerTimeout = 500 * time.Millisecond

// InvalidRequestError says why input is not a valid request; nothing of it has run.
type InvalidRequestError struct {
	Status int
	Detail string
}

func (e *InvalidRequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

// RefusedError says that there is no memory for a request; it has not run.
type RefusedError struct {
	// Request is nil if its head was not read.
	Request *http.Request
}

func (e *RefusedError) Error() string { return "there is no memory for the request" }
