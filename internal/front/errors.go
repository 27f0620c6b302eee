package front

import (
	"fmt"
	"time"
)

// lingerTime is how long a connection that was ended waits for its caller to close it, so that no answer is reset.
const lingerTime = 500 * time.Millisecond

// InvalidRequestError says what is wrong with input that is no request; nothing of it has run.
type InvalidRequestError struct {
	Status int
	Detail string
}

func (e *InvalidRequestError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }
