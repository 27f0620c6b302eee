package route

import "fmt"

// RequestError says what is wrong with a caller's request; it has not run.
type RequestError struct {
	Status int
	Kind   string
	Detail string
}

func (e *RequestError) Error() string { return fmt.Sprintf("%s: %s", e.Kind, e.Detail) }

// CrossedError says that an answer belongs to another call.
type CrossedError struct {
	Want string
	Have string
}

func (e *CrossedError) Error() string {
	return fmt.Sprintf("answer of call %s in place of %s", e.Have, e.Want)
}

// LeftError says that the caller left before its answer.
type LeftError struct{}

func (e *LeftError) Error() string { return "the caller left" }
