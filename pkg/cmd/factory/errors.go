package factory

import (
	"context"

	"github.com/pkg/errors"
)

// The exit codes of all commands.
const (
	ExitOK        = 0
	ExitError     = 1
	ExitCancelled = 2
	// ExitTakenBack says that a move was taken back.
	ExitTakenBack = 3
	// ExitWaitTimeout says that a move was not done when the wait for it ended.
	ExitWaitTimeout = 4
)

// FlagError says that a command was called in a wrong way; the usage is shown with it.
type FlagError struct {
	Detail string
}

func (e *FlagError) Error() string { return e.Detail }

// TakenBackError says that a move was taken back.
type TakenBackError struct {
	Service string
	Reason  string
}

func (e *TakenBackError) Error() string {
	return "the move of " + e.Service + " was taken back: " + e.Reason
}

// WaitTimeoutError says that a move was not done in the time that was waited for it.
type WaitTimeoutError struct {
	Service string
}

func (e *WaitTimeoutError) Error() string { return "the move of " + e.Service + " is not done yet" }

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var takenBack *TakenBackError
	var late *WaitTimeoutError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &takenBack):
		return ExitTakenBack
	case errors.As(err, &late):
		return ExitWaitTimeout
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	default:
		return ExitError
	}
}
