package reporter

import (
	"runtime/debug"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// memoryLimitFraction is the garbage collector's soft limit as a fraction of the machine's
// memory. The rest is left for stacks, sockets and bursts.
const memoryLimitFraction = 0.7

// ForProcess returns the memory account of a process on a machine with the given memory, or
// with budgeter.DefaultMachineBytes if that is not positive. It sets the garbage collector's
// limit and publishes what is held.
func ForProcess(clock clockwork.Clock, machineBytes int64, r *recorder.Recorder) (*budgeter.Budgeter, *Reporter) {
	if machineBytes <= 0 {
		machineBytes = budgeter.DefaultMachineBytes
	}
	debug.SetMemoryLimit(int64(float64(machineBytes) * memoryLimitFraction))
	b := budgeter.New(clock, budgeter.BudgetOf(machineBytes))
	r.Gauge("memory-held-bytes", func() int64 { return b.Status().Held })
	r.Gauge("memory-budget-bytes", func() int64 { return b.Status().Total })
	r.Gauge("memory-refused", func() int64 { return b.Status().Refused })
	r.Gauge("memory-reclaimed", func() int64 { return b.Status().Reclaimed })
	return b, New(clock, r, b)
}
