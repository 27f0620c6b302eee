package source

import "fmt"

// KnownError says that the changes hold a row of the operator already.
type KnownError struct {
	Key     string
	Version uint64
}

func (e *KnownError) Error() string {
	return fmt.Sprintf("row %q of version %d was taken in before", e.Key, e.Version)
}
