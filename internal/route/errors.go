package route

import "fmt"

// RequestError says why a caller's request was refused before it became a call.
type RequestError struct {
	Status int
	Kind   string
	Detail string
}

func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Detail) }

// CallIDMismatchError is returned for an answer that belongs to another call.
type CallIDMismatchError struct {
	Want string
	Have string
}

func (e *CallIDMismatchError) Error() string {
	return fmt.Sprintf("answer has call id %s, want %s", e.Have, e.Want)
}

// CallerDisconnectedError is returned when the caller disconnected before the response.
type CallerDisconnectedError struct{}

func (e *CallerDisconnectedError) Error() string { return "caller disconnected before the response" }
