package cataloger

import (
	"time"

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
