package verb

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/sloper/runner"
)

// usageMeasurement returns what was spent, under the names of the slopes' columns.
func usageMeasurement(c runner.ResourceUsage) measurement {
	return measurement{
		"processor ms": c.CPU.Seconds() * 1000, "bytes": float64(c.Bytes), "frames": float64(c.Frames),
	}
}

// callTimeout is far above what a call takes.
const callTimeout = time.Minute

// completeCall makes the call for the document's first team, and fails if it isn't
// completed.
func completeCall(r *runner.Deployment, c coordinator.Call) error {
	c.ID, c.Key, c.Timeout = identifier.NewRequestID(), runner.TeamKey(0), callTimeout
	o := r.Coordinator.Handle(context.Background(), c)
	if _, ok := o.(dispatcher.Completed); !ok {
		return errors.Errorf("%s not completed: %+v", c.Name, o)
	}
	return nil
}
