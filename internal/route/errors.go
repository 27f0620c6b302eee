package route

import "fmt"

// RequestError says what is wrong with a caller's request; it has not run.
type RequestError struct {
	Status int
	Kind   string
	Detail string
}

func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Detail) }

// CallIDMismatchError says that an answer belongs to another call.
type CallIDMismatchError struct {
	Want string
	Have string
}

func (e *CallIDMismatchError) Error() string {
	return fmt.Sprintf("answer of call %s in place of %s", e.Have, e.Want)
}

// CallerDisconnectedError says that the caller left before its answer.
type CallerDisconnectedError struct{}

func (e *CallerDisconnectedError) Error() string { return "the caller left" }
