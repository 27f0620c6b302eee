package local

import "fmt"

// AnnouncementError says which field of an announcement is not allowed.
type AnnouncementError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("announcement: field %s has value %q: allowed is %s", e.Field, e.Value, e.Allowed)
}

// ResponseTooLargeError says that an answer of an upstream exceeds the limit in bytes.
type ResponseTooLargeError struct {
	Limit int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("answer exceeds %d bytes", e.Limit)
}

// IncompleteResponseError says that an answer of an upstream ended early.
type IncompleteResponseError struct {
	Cause error
	// Reused says that the connection had served calls before.
	Reused bool
}

func (e *IncompleteResponseError) Error() string { return fmt.Sprintf("answer cut: %v", e.Cause) }

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// ConnectError says that no connection to the upstream could be had; nothing was sent.
type ConnectError struct {
	Cause error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to upstream: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }
