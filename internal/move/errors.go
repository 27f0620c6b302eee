package move

import "fmt"

// ConflictError says that a move's record changed before a new one was written.
type ConflictError struct {
	Service string
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the move of service %s was changed by another writer", e.Service)
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
	return fmt.Sprintf("the move of service %s has already ended in state %s; to go back, declare a new move to the previous version", e.Service, e.State)
}
