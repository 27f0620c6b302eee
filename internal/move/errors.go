package move

import "fmt"

// ConflictError says that a move's record changed before the decision was written.
type ConflictError struct {
	Service string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the move of %s was changed by another decision", e.Service)
}

// NotFoundError says that a service has no move.
type NotFoundError struct {
	Service string
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("service %s has no move", e.Service) }

// EndedError says that a move has ended and cannot be taken back.
type EndedError struct {
	Service string
	State   string
}

func (e *EndedError) Error() string {
	return fmt.Sprintf("the move of %s has ended as %s: declare the earlier version as a new move", e.Service, e.State)
}
