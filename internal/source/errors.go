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

// OlderConfigError says that a configuration in a restored copy of the store is older than the one in force, by the operator's own numbers.
type OlderConfigError struct {
	Number  uint64
	InForce uint64
}

func (e *OlderConfigError) Error() string {
	return fmt.Sprintf("configuration %d is older than %d, which is in force", e.Number, e.InForce)
}
