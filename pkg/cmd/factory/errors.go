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
	// ExitTakenBack means that a move was taken back.
	ExitTakenBack = 3
	// ExitWaitTimeout means that the wait for a move timed out before the move was done.
	ExitWaitTimeout = 4
)

// FlagError reports invalid arguments or flags; the usage is printed with it.
type FlagError struct {
	Detail string
}

func (e *FlagError) Error() string { return e.Detail }

// TakenBackError reports that a move was taken back.
type TakenBackError struct {
	Service string
	Reason  string
}

func (e *TakenBackError) Error() string {
	return "the move of " + e.Service + " was taken back: " + e.Reason
}

// WaitTimeoutError reports that the wait for a move timed out before the move was done.
type WaitTimeoutError struct {
	Service string
}

func (e *WaitTimeoutError) Error() string {
	return "the move of " + e.Service + " was not done when the wait timed out"
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var takenBack *TakenBackError
	var waitTimeout *WaitTimeoutError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &takenBack):
		return ExitTakenBack
	case errors.As(err, &waitTimeout):
		return ExitWaitTimeout
	case errors.Is(err, context.Canceled):
		return ExitCancelled
	default:
		return ExitError
	}
}
