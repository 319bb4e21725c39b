package runner

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/receiver"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// In a graceful shutdown every call gets a final response. It has three steps:
//  1. The entry fails its readiness check and still accepts calls, since the
//     load balancer polls the check only at intervals.
//  2. After the leave delay it closes its listener and completes the calls in
//     progress.
//  3. At the drain timeout each call left gets a final response that tells
//     whether it did not run or whether its outcome is unknown.

// finalAnswerTimeout is how long the shutdown waits for final responses to be
// sent after the drain timeout.
const finalAnswerTimeout = 2 * time.Second

// serveCallers serves callers and trainers until the shutdown is complete.
func serveCallers(shutdown starter.Shutdown, s Settings, c *coordinator.Coordinator, bounds server.Bounds, l net.Listener) {
	callers := receiver.New(c, bounds)
	ctx, closeListener := context.WithCancel(context.Background())
	go func() {
		<-shutdown.Graceful.Done()
		callers.Leave()
		c.RedirectTrainers()
		sleep(shutdown.Forced, s.LeaveDelay)
		closeListener()
		sleep(shutdown.Forced, s.DrainTimeout)
		klog.InfoS("aborting requests still in progress", "entry", s.Name)
		callers.AbortCalls()
	}()
	serve(ctx, "callers", callers.App(), l, s.DrainTimeout+finalAnswerTimeout)
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
