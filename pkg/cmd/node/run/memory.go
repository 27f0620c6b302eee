package run

import (
	"github.com/KimMachineGun/automemlimit/memlimit"
	"github.com/pkg/errors"
)

// machineMemory returns the bytes of memory that the process may use: the limit of its control group or the memory of the machine, the lower
// of the two.
func machineMemory() (int64, error) {
	machine, err := memlimit.FromSystem()
	if err != nil {
		return 0, errors.Wrap(err, "read memory of the machine")
	}
	if group, err := memlimit.FromCgroup(); err == nil {
		machine = min(machine, group)
	}
	return int64(machine), nil
}
