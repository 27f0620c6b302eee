package source

import "fmt"

// AlreadyAppliedError says that the changes hold a row of the operator already.
type AlreadyAppliedError struct {
	Key     string
	Version uint64
}

func (e *AlreadyAppliedError) Error() string {
	return fmt.Sprintf("row %q of version %d was taken in before", e.Key, e.Version)
}
