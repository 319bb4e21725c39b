package runner

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/entry/receiver"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// A planned stop cuts nothing off. It takes three steps: the entry says that
// it leaves and goes on taking calls, since the balancer looks only now and
// then; then it closes its listener and finishes what it has; what is left at
// the drain timeout gets a truthful final answer.

// answerGrace is how long final answers may take to leave.
const answerGrace = 2 * time.Second

// serveCallers serves until the stop is through.
func serveCallers(stop starter.Shutdown, s Settings, c *coordinator.Coordinator, l net.Listener) {
	callers := receiver.New(c, bodyLimit)
	closing, closeNow := context.WithCancel(context.Background())
	go func() {
		<-stop.Graceful.Done()
		callers.Leave()
		c.RedirectTrainers()
		waitOr(stop.Forced, s.LeaveDelay)
		closeNow()
		waitOr(stop.Forced, s.DrainTimeout)
		klog.InfoS("final answers for what is left", "entry", s.Name)
		callers.AbortCalls()
	}()
	serve(closing, "callers", callers.App(), l, s.DrainTimeout+answerGrace)
}

func waitOr(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
