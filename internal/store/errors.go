package store

import "fmt"

// UnavailableError says that a read failed, or that the platform did not carry out a write.
type UnavailableError struct {
	Operation string
	Cause     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("platform unavailable for %s request: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError says that the platform may have carried out a write, although no success response arrived.
type UnknownOutcomeError struct {
	Operation string
	Cause     error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of %s request unknown: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// StatusError is a response of the platform with a status other than 2xx.
type StatusError struct {
	Status int
	Body   string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("platform responded with status %d: %s", e.Status, e.Body)
}

// NoResponseError says that an operation ended without a complete response.
type NoResponseError struct {
	Cause error
}

func (e *NoResponseError) Error() string {
	return fmt.Sprintf("no response from the platform: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Cause }

// AbandonedError says that an operation was given up since the platform had not responded for a while and then responded to a later one.
type AbandonedError struct{}

func (e *AbandonedError) Error() string {
	return "abandoned: the platform responded to a later operation after a silence"
}

// NotFoundError says that an object does not exist.
type NotFoundError struct {
	Name string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("object %s does not exist", e.Name) }

// ResponseTooLargeError says that a response exceeds the limit in bytes.
type ResponseTooLargeError struct {
	Limit int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("platform response exceeds %d bytes", e.Limit)
}

// HistoryExpiredError says that the platform no longer keeps the changes after the cursor of a feed.
type HistoryExpiredError struct {
	Table string
	After uint64
}

func (e *HistoryExpiredError) Error() string {
	return fmt.Sprintf("change history of table %q after version %d has expired", e.Table, e.After)
}

// OlderEraError says that a response came from an older era of the store than another one before, and was ignored.
type OlderEraError struct {
	Era    uint64
	Newest uint64
}

func (e *OlderEraError) Error() string {
	return fmt.Sprintf("response from era %d of the store, which is in era %d", e.Era, e.Newest)
}

// EraChangedError says that the store is in another era than an operation is meant for.
type EraChangedError struct {
	Want uint64
	Have uint64
}

func (e *EraChangedError) Error() string {
	return fmt.Sprintf("store is in era %d: operation is meant for era %d", e.Have, e.Want)
}
