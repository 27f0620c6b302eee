package oplog

import "fmt"

// UnknownOutcomeError says that a change may have been committed; the operator repeats it with the same operation id.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s unknown, repeat it with the same operation id: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// QueueFullError says that the queue of changes to commit is full.
type QueueFullError struct {
	Waiting int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue is full with %d changes to commit: try again later", e.Waiting)
}

// ContentionError says that concurrent writers committed first at every attempt.
type ContentionError struct {
	Attempts int
}

func (e *ContentionError) Error() string {
	return fmt.Sprintf("concurrent writers committed first at %d attempts: try again later", e.Attempts)
}

// StoppedError says that the process is stopping and the change was not committed.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the node is stopping: send the change to another node" }

// CorruptError says that a row or an object of the platform cannot be encoded or decoded.
type CorruptError struct {
	Name  string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("encode or decode %s: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// ReestablishingError says that the store came back from an older copy and that no node has written the log again yet.
type ReestablishingError struct {
	Era uint64
}

func (e *ReestablishingError) Error() string {
	return fmt.Sprintf("the log is not established yet in era %d of the store: try again later", e.Era)
}

// SupersededError says that a change which was lost with an older copy of the store is not submitted again, since one of its paths has
// changed since.
type SupersededError struct {
	Path string
}

func (e *SupersededError) Error() string { return fmt.Sprintf("%s has changed since", e.Path) }
