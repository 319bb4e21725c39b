package runner

import (
	"context"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/heartbeater"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
	"github.com/lycheeladder/lycheeladder/ladder/server"
	"github.com/lycheeladder/lycheeladder/ladder/transporter"
)

// peerApp accepts links from sidecars and serves the configuration in force to
// other entries.
func peerApp(ctx context.Context, c *coordinator.Coordinator, t *transporter.Transporter, r *recorder.Recorder) *fiber.App {
	app := server.NewApp("peers", peerBodyLimit)
	app.Get(accepter.StatePath, func(x fiber.Ctx) error {
		data, ok := c.Follower().EncodedCheckpoint()
		if !ok {
			return fiber.ErrServiceUnavailable
		}
		return x.Send(data)
	})
	app.Get(transporter.Path, func(x fiber.Ctx) error {
		return t.Upgrade(x.RequestCtx(), func(link messenger.Link) {
			if err := c.ServeLink(ctx, link); err != nil && ctx.Err() == nil {
				r.Count("link-" + linkEndReason(err))
				klog.V(1).InfoS("link ended", "err", err)
			}
		})
	})
	return app
}

// linkEndReason returns the reason used in the name of the link-end counter.
func linkEndReason(err error) string {
	switch {
	case errors.Is(err, transporter.ErrMalformedFrame):
		return "malformed"
	case errors.Is(err, heartbeater.ErrPeerSilent):
		return "silent"
	}
	return "closed"
}
