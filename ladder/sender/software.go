package sender

import (
	"context"
	"fmt"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// startTimeout bounds the wait for a target that is asked which start of it is running. The
// first event of a stream waits for it; the callers' requirements allow it to be 120 ms late.
const startTimeout = 60 * time.Millisecond

// SoftwareOf returns the software version of a target that has begun to respond, or
// cataloger.ErrReplaced if it isn't the start that is listed any more. A target whose entry was out of
// date when it was connected to is asked. If another start than the listed one responds, it has a
// version of its own, as nothing else is known of it. A target that doesn't say counts as the
// listed one.
func SoftwareOf(ctx context.Context, c *cataloger.Cataloger, transport Transport, t cataloger.Target, r *Response) (identifier.SoftwareVersion, error) {
	if err := c.CheckListed(t); err != nil || c.WasCurrent(t, r.ConnectedAt) {
		return t.Software, err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	id, err := transport.StartID(ctx, t)
	if err != nil || id == 0 || id == t.StartID {
		return t.Software, nil
	}
	klog.InfoS("another start of a target responds than the listed one", "target", t.Name, "start", id, "listed", t.StartID)
	return identifier.SoftwareVersion(fmt.Sprintf("of unlisted start %d of %s", id, t.Name)), nil
}
