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

// SizeError says that an answer of an upstream exceeds the limit in bytes.
type SizeError struct {
	Limit int64
}

func (e *SizeError) Error() string { return fmt.Sprintf("answer exceeds %d bytes", e.Limit) }

// CutError says that an answer of an upstream ended early.
type CutError struct {
	Cause error
	// Kept says that the connection had served calls before.
	Kept bool
}

func (e *CutError) Error() string { return fmt.Sprintf("answer cut: %v", e.Cause) }

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// SendError says that no connection to the upstream could be had; nothing was sent.
type SendError struct {
	Cause error
}

func (e *SendError) Error() string { return fmt.Sprintf("connect to upstream: %v", e.Cause) }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }
