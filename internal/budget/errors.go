package budget

import "fmt"

// ExhaustedError says that the memory for callers has no room for more bytes.
type ExhaustedError struct {
	Bytes int64
}

func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("the memory for callers has no room for %d bytes", e.Bytes)
}

// TooLargeError says that a body exceeds the limit in bytes.
type TooLargeError struct {
	Limit int64
}

func (e *TooLargeError) Error() string { return fmt.Sprintf("the body exceeds %d bytes", e.Limit) }
