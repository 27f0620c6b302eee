package store

import "fmt"

// UnavailableError says that the platform did not carry out the operation.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable for %s: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that the platform may have carried out the write, its answer being lost.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// StatusError is an HTTP status that the platform's protocol does not allow.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d: %s", e.Status, e.Body)
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s does not exist", e.Name) }

// ResponseTooLargeError says that an answer exceeds the limit in bytes.
type ResponseTooLargeError struct {
	Limit int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

// HistoryExpiredError says that the platform no longer has the changes that a feed asks for.
type HistoryExpiredError struct {
	Table string
	After uint64
}

func (e *HistoryExpiredError) Error() string {
	return fmt.Sprintf("table %q has no history after version %d", e.Table, e.After)
}
