package cataloger

import (
	"maps"
	"time"

	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A target that leaves says so in its responses, also while the store is away and its entry
// is out of date. It can't take that back: only another incarnation of it stays.

// leavingRetention is how long it is known that a target leaves that is no longer listed. Its
// entry may come back for a moment after an outage of the store.
const leavingRetention = 10 * time.Minute

// clockTolerance is how far the clocks of a host and of a target may differ.
const clockTolerance = 5 * time.Second

// WithLeaveGrace sets how long a target that says that it leaves is still used if its
// service has no other.
func WithLeaveGrace(d time.Duration) Option {
	return func(c *Cataloger) { c.leaveGrace = d }
}

// RecordLeaving records that an incarnation of a target said at the given time that it
// leaves. It returns false if that is known already.
func (c *Cataloger) RecordLeaving(i Incarnation, at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.lastSaid[i.Name].Before(at) {
		c.lastSaid[i.Name] = at
		c.clearCaches()
	}
	if _, known := c.saidLeaving[i]; known {
		return false
	}
	c.forgetDepartures()
	at = c.firstSaid(i, at)
	c.saidLeaving[i] = at
	klog.InfoS("target says that it leaves", "target", i.Name, "since", c.clock.Since(at), "state", c.targets[i.Name].State)
	c.notify()
	return true
}

// firstSaid returns when an incarnation that says at the given time that it leaves may first have
// said so, if only while its start before was still listed. The caller holds the mutex.
func (c *Cataloger) firstSaid(i Incarnation, at time.Time) time.Time {
	for other, saidAt := range c.saidLeaving {
		if other.Name == i.Name && saidAt.Before(at) && mayHaveStartedBy(i, saidAt) {
			at = saidAt
		}
	}
	return at
}

// mayHaveStartedBy reports whether an incarnation may have started before the given time.
func mayHaveStartedBy(i Incarnation, at time.Time) bool {
	return time.UnixMilli(i.StartID).Before(at.Add(clockTolerance))
}

// forgetDepartures drops what is known of targets that are long gone. The caller holds the mutex.
func (c *Cataloger) forgetDepartures() {
	for i, saidAt := range c.saidLeaving {
		if c.clock.Since(saidAt) > leavingRetention && c.targets[i.Name].Incarnation() != i {
			delete(c.saidLeaving, i)
		}
	}
	maps.DeleteFunc(c.lastSaid, func(_ identifier.TargetName, at time.Time) bool { return c.clock.Since(at) > leavingRetention })
	maps.DeleteFunc(c.confirmedAt, func(_ Incarnation, at time.Time) bool { return c.clock.Since(at) > leavingRetention })
}

// stays reports whether a target is not known to leave. The caller holds the mutex.
func (c *Cataloger) stays(t Target) bool {
	_, leaving := c.saidLeaving[t.Incarnation()]
	return !leaving && !c.isUnconfirmed(t)
}

// isUnconfirmed reports whether a target may have said that it leaves while the entry of its
// start before was still listed. The caller holds the mutex.
func (c *Cataloger) isUnconfirmed(t Target) bool {
	i := t.Incarnation()
	saidAt, said := c.lastSaid[t.Name]
	if _, leaving := c.saidLeaving[i]; leaving || !said {
		return false
	}
	return mayHaveStartedBy(i, saidAt) && c.confirmedAt[i].Before(saidAt)
}

// UnconfirmedTargets returns the listed targets of which it isn't known whether they have said
// that they leave. They are in no other list until they have been asked.
func (c *Cataloger) UnconfirmedTargets() (list []Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name := range c.lastSaid {
		if t, listed := c.targets[name]; listed && c.isUnconfirmed(t) {
			list = append(list, t)
		}
	}
	return list
}

// ConfirmStays records that a target has responded to a request that was sent at the given time,
// and has not said that it leaves unless that is recorded.
func (c *Cataloger) ConfirmStays(i Incarnation, sentAt time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, leaving := c.saidLeaving[i]; leaving {
		return
	}
	klog.InfoS("target that was in doubt stays", "target", i.Name)
	c.confirmedAt[i] = sentAt
	c.notify()
}

// MayReceive reports whether requests may be sent to a target: it stays as far as is known,
// or has said that it leaves only just now.
func (c *Cataloger) MayReceive(i Incarnation) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	at, leaving := c.saidLeaving[i]
	return !leaving || c.clock.Since(at) < c.leaveGrace
}

// LeavingTargets returns the targets of a service that have said that they leave and that may
// receive requests for a moment.
func (c *Cataloger) LeavingTargets(s identifier.ServiceName) (list []Target) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i, at := range c.saidLeaving {
		t, listed := c.targets[i.Name]
		if listed && t.Incarnation() == i && t.Service == s && t.State == StateReady && c.clock.Since(at) < c.leaveGrace {
			list = append(list, t)
		}
	}
	sortByName(list)
	return list
}

// Departures returns the targets that are known to leave, with the time since they said so,
// up to the given one.
func (c *Cataloger) Departures(within time.Duration) map[Incarnation]time.Duration {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	leaving := make(map[Incarnation]time.Duration)
	for i, at := range c.saidLeaving {
		if since := c.clock.Since(at); since <= within {
			leaving[i] = since
		}
	}
	return leaving
}

// StoreFailedSince reports whether the list of targets couldn't be read at or after a moment.
func (c *Cataloger) StoreFailedSince(at time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return !c.failedAt.IsZero() && !c.failedAt.Before(at)
}

// StoreFailedWithin reports whether the list of targets couldn't be read within d.
func (c *Cataloger) StoreFailedWithin(d time.Duration) bool {
	return c.StoreFailedSince(c.clock.Now().Add(-d))
}
