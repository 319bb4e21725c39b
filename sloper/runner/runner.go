// Package runner runs an entry and its sidecars in one process, over real
// WebSocket links on loopback, and measures the resources that they use.
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

// Deployment is one entry and its sidecars.
type Deployment struct {
	// Coordinator handles the calls of the entry.
	Coordinator *coordinator.Coordinator
	log         *memoryLog
	dialer      *countingDialer
	stop        context.CancelFunc
	goroutines  sync.WaitGroup
}

// New starts an entry that uses document and the given number of sidecars of
// the service, and waits until every sidecar has received the configuration.
func New(document Document, service identifier.ServiceName, sidecars int, target func() caller.Target) (d *Deployment, err error) {
	e, err := encoder.New()
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	d = &Deployment{log: newMemoryLog(), stop: stop}
	transport := transporter.New(e)
	d.dialer = &countingDialer{dialer: transport, encoder: e}
	if err := d.log.appendProposal(document); err != nil {
		stop()
		return nil, err
	}
	d.Coordinator = newCoordinator(d.log)
	d.goroutines.Go(func() { d.Coordinator.Run(ctx) })
	app := server.NewApp("peers", 1<<10)
	app.Get(transporter.Path, func(x fiber.Ctx) error {
		return transport.Upgrade(x.RequestCtx(), func(link messenger.Link) { _ = d.Coordinator.ServeLink(ctx, link) })
	})
	d.goroutines.Go(func() { _ = server.Serve(ctx, app, listener, 0) })
	supervisors := make([]*supervisor.Supervisor, 0, sidecars)
	for n := range sidecars {
		s := newSupervisor(d.dialer, service, n, listener.Addr().String(), target())
		supervisors = append(supervisors, s)
		d.goroutines.Go(func() { s.Run(ctx) })
	}
	for _, s := range supervisors {
		for s.Executor().Configuration().Revision == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return d, nil
}

// Stop stops the entry and the sidecars and waits until their goroutines have
// returned.
func (d *Deployment) Stop() {
	d.stop()
	d.goroutines.Wait()
}

// EncodeProposals returns the log records that propose documents in order. Each
// is based on the one before, the first on the latest document in the log.
func (d *Deployment) EncodeProposals(documents []Document) (records [][]byte, err error) {
	base := d.log.last
	for _, document := range documents {
		data, err := EncodeProposal(base, document)
		if err != nil {
			return nil, err
		}
		records = append(records, data)
		base = &document
	}
	return records, nil
}

// Publish appends a configuration record to the log.
func (d *Deployment) Publish(record []byte) error {
	_, err := d.log.Append(context.Background(), appender.StreamConfiguration, [][]byte{record})
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

// ResourceUsage is the resources used during a measurement.
type ResourceUsage struct {
	// CPU is the processor time of the entry and the sidecars together.
	CPU    time.Duration
	Bytes  int64
	Frames int64
}

// MeasureUsage runs work and returns the resources used while it ran.
func (d *Deployment) MeasureUsage(work func()) ResourceUsage {
	processor, bytes, frames := cpuTime(), d.dialer.bytes.Load(), d.dialer.frames.Load()
	work()
	return ResourceUsage{
		CPU:   cpuTime() - processor,
		Bytes: d.dialer.bytes.Load() - bytes, Frames: d.dialer.frames.Load() - frames,
	}
}

// MemoryInUse returns the bytes of heap and stack in use after a garbage
// collection.
func MemoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// MeasureCPU runs work and returns the processor time used by the process
// meanwhile.
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
