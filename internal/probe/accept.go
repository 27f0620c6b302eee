package probe

import (
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// shortages are the errors of an accept that pass: no descriptors or memory, or a connection that its caller has closed.
var shortages = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}

// IsShortage reports whether a connection could not be accepted for a reason that passes.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(passing error) bool { return errors.Is(err, passing) })
}
