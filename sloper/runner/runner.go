// Package runner runs an entry and its sidecars in one process, over real
// WebSocket links on loopback, and tells what they cost.
package runner

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
	"github.com/lycheeladder/lycheeladder/ladder/transporter"
)

// Deployment is one entry with sidecars.
type Deployment struct {
	// Coordinator is the entry.
	Coordinator *coordinator.Coordinator
	log         *memoryLog
	dialer     *countingDialer
	stop        context.CancelFunc
	goroutines       sync.WaitGroup
}

// New starts an entry under the document and the given number of sidecars of
// the service, and waits until all have the configuration.
func New(document Document, service identifier.ServiceName, sidecars int, target func() caller.Target) (r *Deployment, err error) {
	e, err := encoder.New()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	r = &Deployment{log: newMemoryLog(), stop: stop}
	l := transporter.New(e)
	r.dialer = &countingDialer{dialer: l, encoder: e}
	if err := r.log.appendProposal(document); err != nil {
		stop()
		return nil, err
	}
	r.Coordinator = newCoordinator(r.log)
	r.goroutines.Go(func() { r.Coordinator.Run(ctx) })
	app := server.NewApp("peers", 1<<10)
	app.Get(transporter.Path, func(x fiber.Ctx) error {
		return l.Upgrade(x.RequestCtx(), func(link messenger.Link) { _ = r.Coordinator.ServeLink(ctx, link) })
	})
	r.goroutines.Go(func() { _ = server.Serve(ctx, app, listener, 0) })
	supervisors := make([]*supervisor.Supervisor, 0, sidecars)
	for n := range sidecars {
		s := newSupervisor(r.dialer, service, n, listener.Addr().String(), target())
		supervisors = append(supervisors, s)
		r.goroutines.Go(func() { s.Run(ctx) })
	}
	for _, s := range supervisors {
		for s.Executor().Configuration().Revision == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return r, nil
}

// Stop ends everything.
func (r *Deployment) Stop() {
	r.stop()
	r.goroutines.Wait()
}

// EncodeProposals makes the proposals of documents, each made from the one before and
// the first from the last published.
func (r *Deployment) EncodeProposals(documents []Document) (records [][]byte, err error) {
	base := r.log.last
	for _, d := range documents {
		data, err := EncodeProposal(base, d)
		if err != nil {
			return nil, err
		}
		records = append(records, data)
		base = &d
	}
	return records, nil
}

// Publish puts one more record into the log.
func (r *Deployment) Publish(record []byte) error {
	_, err := r.log.Append(context.Background(), appender.StreamConfiguration, [][]byte{record})
	return err
}

func newCoordinator(log appender.Log) *coordinator.Coordinator {
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		Policy: router.LeastExpectedWait{}, KeyMaxAge: time.Minute, SampleTimeout: time.Minute,
	}
	options.Dispatch.Entry, options.Dispatch.Incarnation = "entry-1", identifier.NewIncarnation()
	return coordinator.New(clockwork.NewRealClock(), log, router.NewRandom(1), recorder.New(), options)
}

func newSupervisor(d supervisor.Dialer, service identifier.ServiceName, n int, entry string, target caller.Target) *supervisor.Supervisor {
	options := supervisor.Options{
		Executor: executor.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		StaticEntries: []string{entry}, ListInterval: time.Minute,
	}
	options.Executor.Target = identifier.TargetName(fmt.Sprintf("target-%04d", n))
	options.Executor.Service = service
	options.Executor.ModelEngine = service == ServiceEngine
	options.Executor.Incarnation = identifier.NewIncarnation()
	return supervisor.New(clockwork.NewRealClock(), target, d, nil, options)
}

// ResourceUsage is what was spent over a time.
type ResourceUsage struct {
	// CPU is the time of both ends together.
	CPU time.Duration
	Bytes     int64
	Frames    int64
}

// MeasureUsage runs work and returns what was spent meanwhile.
func (r *Deployment) MeasureUsage(work func()) ResourceUsage {
	processor, bytes, frames := cpuTime(), r.dialer.bytes.Load(), r.dialer.frames.Load()
	work()
	return ResourceUsage{
		CPU: cpuTime() - processor,
		Bytes:     r.dialer.bytes.Load() - bytes, Frames: r.dialer.frames.Load() - frames,
	}
}

// MemoryInUse returns the heap and stacks in use, in bytes, after a collection.
func MemoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// MeasureCPU runs work and returns the processor time spent.
func MeasureCPU(work func()) time.Duration {
	before := cpuTime()
	work()
	return cpuTime() - before
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
