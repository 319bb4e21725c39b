// Package confirmer asks targets that may have said that they leave whether they do.
package confirmer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
)

// Responses don't tell which start of a target they come from. While an entry is out of date,
// what a target says is taken for the start that is listed. When a later start is listed that
// may have said it, a health check tells: its response says so again if the target leaves.

const (
	// interval is the interval between two health checks of a target.
	interval = 500 * time.Millisecond
	// checkTimeout bounds one health check.
	checkTimeout = 400 * time.Millisecond
)

// Targets answers health checks.
type Targets interface {
	// CheckHealth sends a health check. It returns nil if the target has responded, in whatever way;
	// a response that says that the target leaves is recorded before it returns.
	CheckHealth(ctx context.Context, t cataloger.Target, path string) error
}

// Confirmer finds out whether targets leave.
type Confirmer struct {
	clock   clockwork.Clock
	catalog *cataloger.Cataloger
	targets Targets
}

// New returns a Confirmer of the targets that c lists.
func New(clock clockwork.Clock, c *cataloger.Cataloger, t Targets) *Confirmer {
	return &Confirmer{clock: clock, catalog: c, targets: t}
}

// Run asks targets that are in doubt until ctx ends.
func (c *Confirmer) Run(ctx context.Context) {
	for {
		c.checkAll(ctx)
		select {
		case <-c.clock.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// checkAll asks each target that is in doubt once.
func (c *Confirmer) checkAll(ctx context.Context) {
	configuration := c.catalog.Configuration()
	if configuration == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	var checks conc.WaitGroup
	defer checks.Wait()
	for _, t := range c.catalog.UnconfirmedTargets() {
		checks.Go(func() {
			sentAt := c.clock.Now()
			if err := c.targets.CheckHealth(ctx, t, configuration.Services[t.Service].HealthPath); err != nil {
				klog.InfoS("target in doubt doesn't answer", "target", t.Name, "err", err)
				return
			}
			c.catalog.ConfirmStays(t.Incarnation(), sentAt)
		})
	}
}
