package receiver_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/receiver"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/encoder"
	"github.com/lycheeladder/lycheeladder/ladder/executor"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/memory/budgeter"
	"github.com/lycheeladder/lycheeladder/ladder/memory/connlimiter"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/supervisor"
	"github.com/lycheeladder/lycheeladder/ladder/transporter"
)

// BenchmarkOverhead compares calls sent directly to a target with calls that
// pass through an entry and a sidecar, all in one process over loopback. The CPU
// time of a call includes the client and the target; the direct case shows
// their share.
func BenchmarkOverhead(b *testing.B) {
	klog.LogToStderr(false)
	klog.SetOutput(discardWriter{})
	target := serveApp(b, targetApp())
	entry := startEntryAndSidecar(b, target)
	for _, callers := range []int{1, 16} {
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			benchmarkCalls(b, callers, "http://"+target+"/calls/lookup", "")
		})
		b.Run(fmt.Sprintf("path/callers=%d", callers), func(b *testing.B) {
			benchmarkCalls(b, callers, "http://"+entry+"/v1/services/spares-app/calls/lookup", teamKey)
		})
	}
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

const requestBody = `{"part":"prism-drop","branch":"chiang-mai"}`

// benchmarkCalls spreads b.N calls over concurrent callers and reports latency
// and calls per second of CPU time.
func benchmarkCalls(b *testing.B, callers int, uri, key string) {
	client := &fasthttp.Client{MaxConnsPerHost: callers}
	latencies := make([][]time.Duration, callers)
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	var tasks sync.WaitGroup
	for c := range callers {
		tasks.Go(func() {
			for range b.N / callers {
				start := time.Now()
				if err := call(client, uri, key); err != nil {
					b.Error(err)
					return
				}
				latencies[c] = append(latencies[c], time.Since(start))
			}
		})
	}
	tasks.Wait()
	cpuUsed := cpuTime() - before
	b.StopTimer()
	all := slices.Concat(latencies...)
	if len(all) == 0 {
		return
	}
	slices.Sort(all)
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "median-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(len(all))/cpuUsed.Seconds(), "calls/core-s")
}

func call(client *fasthttp.Client, uri, key string) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetRequestURI(uri)
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	request.SetBodyString(requestBody)
	if err := client.Do(request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", response.StatusCode(), response.Body())
	}
	return nil
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func targetApp() *fiber.App {
	app := server.NewApp("target", 1<<16)
	app.Post("/calls/:call", func(c fiber.Ctx) error { return c.Send(c.Body()) })
	return app
}

// serveApp serves app on a free port until the benchmark ends and returns the
// address.
func serveApp(b *testing.B, app *fiber.App) string {
	return serveAppOn(b, app, func(l net.Listener) net.Listener { return l })
}

// serveAppOn is serveApp on the listener that wrap returns.
func serveAppOn(b *testing.B, app *fiber.App, wrap func(net.Listener) net.Listener) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, app, wrap(l), time.Second) }()
	b.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			b.Error(err)
		}
	})
	return l.Addr().String()
}

// startEntryAndSidecar starts an entry and a sidecar for target and returns the
// address for callers.
func startEntryAndSidecar(b *testing.B, target string) string {
	e, err := encoder.New()
	if err != nil {
		b.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	options := coordinator.Options{
		Dispatch: dispatcher.DefaultOptions(), Heartbeats: heartbeater.DefaultOptions(),
		Policy: router.LeastExpectedWait{}, KeyMaxAge: time.Minute, SampleTimeout: time.Minute,
	}
	options.Dispatch.Entry, options.Dispatch.Incarnation = "entry-1", identifier.NewIncarnation()
	c := coordinator.New(clock, newDocumentLog(b), router.NewRandom(1), recorder.New(), options)
	l := transporter.New(e)
	peers := server.NewApp("peers", 1<<10)
	ctx, cancel := context.WithCancel(context.Background())
	peers.Get(transporter.Path, func(x fiber.Ctx) error {
		return l.Upgrade(x.RequestCtx(), func(link messenger.Link) { _ = c.ServeLink(ctx, link) })
	})
	s := supervisor.New(clock, caller.NewHTTPTarget(target, false), l, nil, supervisor.Options{
		Executor: sidecarOptions(), Heartbeats: heartbeater.DefaultOptions(),
		StaticEntries: []string{serveApp(b, peers)}, ListInterval: time.Second,
	})
	var tasks sync.WaitGroup
	tasks.Go(func() { c.Run(ctx) })
	tasks.Go(func() { s.Run(ctx) })
	b.Cleanup(func() {
		cancel()
		tasks.Wait()
	})
	for s.Executor().Configuration().Revision == 0 {
		time.Sleep(time.Millisecond)
	}
	budget := budgeter.New(clock, 60<<20)
	limiter := connlimiter.New(clock, connlimiter.Options{MaxConnections: 1000, Budgeter: budget})
	tasks.Go(func() { limiter.Run(ctx) })
	return serveAppOn(b, receiver.New(c, server.Bounds{Budgeter: budget, MaxBodyBytes: 1 << 16}).App(), limiter.Listen)
}

func sidecarOptions() executor.Options {
	options := executor.DefaultOptions()
	options.Target, options.Service, options.Zone = "stock-1", "spares-app", "bkk-a"
	options.Incarnation = identifier.NewIncarnation()
	return options
}

// singleDocumentLog is a read-only log with one accepted document.
type singleDocumentLog struct{ record appender.Record }

func (l singleDocumentLog) Append(context.Context, identifier.StreamName, [][]byte) (identifier.LogOffset, error) {
	return 0, appender.ErrUnavailable
}

func (l singleDocumentLog) Read(ctx context.Context, _ identifier.StreamName, from identifier.LogOffset, _ int) (appender.Page, error) {
	if from > 0 {
		<-ctx.Done()
		return appender.Page{Next: 1}, ctx.Err()
	}
	return appender.Page{Next: 1, Records: []appender.Record{l.record}}, nil
}
