package throttler

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/updater"
)

// ControlClient sends the requests of lycheeladder itself to targets, which count towards
// a target's limit as all others. It implements updater.TargetClient.
type ControlClient struct {
	client    updater.TargetClient
	throttler *Throttler
}

// NewControlClient returns a ControlClient that sends through client.
func NewControlClient(client updater.TargetClient, t *Throttler) *ControlClient {
	return &ControlClient{client: client, throttler: t}
}

// Status implements updater.TargetClient.
func (c *ControlClient) Status(ctx context.Context, t cataloger.Target) (updater.TargetStatus, error) {
	if err := c.throttler.acquire(ctx, t); err != nil {
		return updater.TargetStatus{}, err
	}
	status, err := c.client.Status(ctx, t)
	status.Limited = c.throttler.Allowance(t).Limited
	return status, err
}

// Load implements updater.TargetClient. It is charged rather than denied, since without
// the order the status request before it was of no use.
func (c *ControlClient) Load(ctx context.Context, t cataloger.Target, o updater.LoadOrder) error {
	c.throttler.charge(ctx, t)
	return c.client.Load(ctx, t, o)
}
