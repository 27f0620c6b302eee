package source

import "fmt"

// AlreadyAppliedError says that the oplog already holds a version of an operator row, or a later one.
type AlreadyAppliedError struct {
	Key     string
	Version uint64
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("operator row %q of version %d is already applied", e.Key, e.Version)
}
