package oplog

import "fmt"

// UnknownOutcomeError says that a change may have been accepted; the operator asks again with the same operation id.
type UnknownOutcomeError struct {
	OperationID string
	Cause       error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of operation %s unknown, repeat it with the same operation id: %v", e.OperationID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// QueueFullError says that too many changes wait to be committed.
type QueueFullError struct {
	Waiting int
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d changes wait to be committed, repeat it later", e.Waiting)
}

// ContentionError says that other writers won every attempt.
type ContentionError struct {
	Attempts int
}

func (e *ContentionError) Error() string {
	return fmt.Sprintf("other writers won %d attempts, repeat it later", e.Attempts)
}

// StoppedError says that the process stops; the change was not committed.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the node is stopping, ask another one" }

// CorruptError says that a row or an object of the platform cannot be decoded.
type CorruptError struct {
	Name  string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s cannot be decoded: %v", e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }
