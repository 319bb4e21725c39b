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

// usageMeasurement returns u under the column names of the benchmarks.
func usageMeasurement(c runner.ResourceUsage) measurement {
	return measurement{
		"processor ms": c.CPU.Seconds() * 1000, "bytes": float64(c.Bytes), "frames": float64(c.Frames),
	}
}

// callTimeout is far longer than any call takes.
const callTimeout = time.Minute

// completeCall makes the call on behalf of the first team of the document and
// returns an error if it does not complete.
func completeCall(deployment *runner.Deployment, c coordinator.Call) error {
	c.ID, c.Key, c.Timeout = identifier.NewRequestID(), runner.TeamKey(0), callTimeout
	o := deployment.Coordinator.Handle(context.Background(), c)
	if _, ok := o.(dispatcher.Completed); !ok {
		return errors.Errorf("call %s did not complete: %+v", c.Name, o)
	}
	return nil
}
