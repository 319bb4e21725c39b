package cataloger

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// incarnation identifies one start of a target.
type incarnation struct {
	name    identifier.TargetName
	startID int64
}

func incarnationOf(t Target) incarnation { return incarnation{t.Name, t.StartID} }

// RecordLeaving records that a response of the target says that it leaves.
func (c *Cataloger) RecordLeaving(t Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, known := c.saidLeaving[incarnationOf(t)]; known {
		return
	}
	c.saidLeaving[incarnationOf(t)] = c.clock.Now()
	klog.InfoS("target says that it leaves", "target", t.Name, "service", t.Service, "state", c.targets[t.Name].State)
}

// LeavingFor returns how long ago the target first said that it leaves, and false if it
// hasn't said so.
func (c *Cataloger) LeavingFor(t Target) (time.Duration, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at, known := c.saidLeaving[incarnationOf(t)]
	return c.clock.Since(at), known
}
