package runner

import (
	"context"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/reporter"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/server"
)

const (
	// fileDescriptors are the descriptors that are reserved for files.
	fileDescriptors = 200
	// callerShare and operatorShare are the parts of the remaining descriptors that
	// each listener may use. The rest is for sidecars, other entries and the log.
	callerShare, operatorShare = 0.6, 0.2
	// minConnections bounds the connections of a listener from below, however few
	// descriptors there are.
	minConnections = 16
	// maxOperatorConnections bounds those of operators however many there are.
	maxOperatorConnections = 256
	// headTimeout bounds the time until a head, and the first 8 KiB of its body which
	// the library reads with it, have arrived.
	headTimeout = 30 * time.Second
)

// memoryLimits bounds what clients can make the process hold.
type memoryLimits struct {
	bounds             server.Bounds
	callers, operators *connlimiter.Limiter
}

func newMemoryLimits(clock clockwork.Clock, s Settings, r *recorder.Recorder) *memoryLimits {
	b, notes := reporter.ForProcess(clock, int64(s.MemoryMB)<<20, r)
	newLimiter := func(connections int) *connlimiter.Limiter {
		return connlimiter.New(clock, connlimiter.Options{
			MaxConnections: connections, Budgeter: b, Reporter: notes,
			Limits: func() connlimiter.Limits { return connlimiter.Limits{HeadTimeout: headTimeout} },
		})
	}
	descriptors := s.descriptors()
	m := &memoryLimits{
		bounds:    server.Bounds{Budgeter: b, Reporter: notes, MaxBodyBytes: bodyLimit},
		callers:   newLimiter(share(descriptors, callerShare)),
		operators: newLimiter(min(maxOperatorConnections, share(descriptors, operatorShare))),
	}
	r.Gauge("caller-connections", func() int64 { return int64(m.callers.Connections()) })
	return m
}

// run enforces the time limits of connections until ctx ends.
func (m *memoryLimits) run(ctx context.Context, tasks *conc.WaitGroup) {
	tasks.Go(func() { m.callers.Run(ctx) })
	tasks.Go(func() { m.operators.Run(ctx) })
}

// descriptors returns how many descriptors the process may open.
func (s Settings) descriptors() int {
	if s.MaxFDs > 0 {
		return s.MaxFDs
	}
	const unknown = 1024
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknown
	}
	const largest = 1 << 20
	return int(min(limit.Cur, largest))
}

func share(descriptors int, part float64) int {
	return max(minConnections, int(float64(descriptors-fileDescriptors)*part))
}
