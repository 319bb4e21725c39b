package cataloger

import (
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// softwareMemory is how long a software version counts after its last target is gone. The
// longest stream lasts a minute, and its caller may take it up after that.
const softwareMemory = 2 * time.Minute

// seeSoftware records that a target's software version was listed until now. The caller
// holds the mutex.
func (c *Cataloger) seeSoftware(t Target) {
	seen, ok := c.softwareSeen[t.Service]
	if !ok {
		seen = make(map[identifier.SoftwareVersion]time.Time)
		c.softwareSeen[t.Service] = seen
	}
	seen[t.Software] = c.clock.Now()
}

// OnlySoftware returns the software version of a service's targets if all that were listed
// within softwareMemory had the same one.
func (c *Cataloger) OnlySoftware(s identifier.ServiceName) (only identifier.SoftwareVersion, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, t := range c.targets {
		if t.Service != s {
			continue
		}
		if ok && t.Software != only {
			return "", false
		}
		only, ok = t.Software, true
	}
	for software, at := range c.softwareSeen[s] {
		if software != only && c.clock.Since(at) <= softwareMemory {
			return "", false
		}
	}
	return only, ok
}

// ErrReplaced means that another incarnation of a target has been listed since a request was
// sent to it, which may be of another software version.
var ErrReplaced = errors.New("target has been replaced")

// CheckListed returns ErrReplaced if the target is known to have been replaced. A target that
// is no longer listed may still be serving.
func (c *Cataloger) CheckListed(t Target) error {
	current, ok := c.Target(t.Name)
	if ok && (current.StartID != t.StartID || current.Software != t.Software) {
		return ErrReplaced
	}
	return nil
}
