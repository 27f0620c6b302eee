package local

import (
	"fmt"
	"time"
)

// AnnouncementError says which field of an announcement is invalid.
type AnnouncementError struct {
	Field   string
	Value   string
	Allowed string
}

func (e *AnnouncementError) Error() string {
	return fmt.Sprintf("invalid announcement: field %s has value %q: must be %s", e.Field, e.Value, e.Allowed)
}

// TargetError says that the target of a request cannot be sent to an upstream.
type TargetError struct {
	Target string
}

func (e *TargetError) Error() string { return fmt.Sprintf("invalid target %q of a request", e.Target) }

// ResponseTooLargeError says that the body of an upstream's response, or all bodies that are being read, exceed the limit in bytes.
type ResponseTooLargeError struct {
	Limit int64
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// EndlessHeadError says that the head of an upstream's response exceeds the limit in bytes.
type EndlessHeadError struct {
	Limit int64
}

func (e *EndlessHeadError) Error() string {
	return fmt.Sprintf("response head exceeds %d bytes", e.Limit)
}

// maxStatusLineShown bounds the part of a malformed status line that is logged.
const maxStatusLineShown = 64

// MalformedResponseError says that what an upstream sent is no response of the protocol, so that it is not known whether the call has run.
type MalformedResponseError struct {
	Detail string
}

func (e *MalformedResponseError) Error() string { return "malformed response: " + e.Detail }

// NoResponseError says that an upstream sent no complete response within the time left for a call.
type NoResponseError struct {
	TimeLeft time.Duration
}

func (e *NoResponseError) Error() string { return fmt.Sprintf("no response within %s", e.TimeLeft) }

// IncompleteResponseError says that a connection ended before the whole response to a call was received.
type IncompleteResponseError struct {
	Cause error
	// Reused means that the connection had served calls before.
	Reused bool
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("incomplete response: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// ConnectError says that no connection to the upstream could be established; nothing was sent.
type ConnectError struct {
	Cause error
}

func (e *ConnectError) Error() string { return fmt.Sprintf("connect to upstream: %v", e.Cause) }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }
