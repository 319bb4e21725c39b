package cataloger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

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

// ListedSoftware returns the software versions of a service's targets in ascending order. The
// caller must not modify the list.
func (c *Cataloger) ListedSoftware(s identifier.ServiceName) []identifier.SoftwareVersion {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.removeLapsed()
	list, ok := c.software[s]
	if ok {
		return list
	}
	list = slices.Sorted(maps.Keys(c.countSoftware(s)))
	c.software[s] = list
	return list
}

// countSoftware returns how many targets of a service have each software version. The caller
// holds the mutex.
func (c *Cataloger) countSoftware(s identifier.ServiceName) map[identifier.SoftwareVersion]int {
	count := make(map[identifier.SoftwareVersion]int)
	for _, t := range c.targets {
		if t.Service == s {
			count[t.Software]++
		}
	}
	return count
}

// CountReadySoftware returns how many targets of a service that accept work have each software
// version.
func (c *Cataloger) CountReadySoftware(s identifier.ServiceName) map[identifier.SoftwareVersion]int {
	count := make(map[identifier.SoftwareVersion]int)
	for _, t := range c.ReadyTargets(s) {
		count[t.Software]++
	}
	return count
}

// MostListedSoftware returns the software version that most targets of a service have, and
// false if it has none.
func (c *Cataloger) MostListedSoftware(s identifier.ServiceName) (most identifier.SoftwareVersion, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return MostFrequent(c.countSoftware(s))
}

// MostFrequent returns the software version with the highest count, the first in order of those that
// are equal, and false if there are none.
func MostFrequent(count map[identifier.SoftwareVersion]int) (most identifier.SoftwareVersion, ok bool) {
	for _, software := range slices.Sorted(maps.Keys(count)) {
		if !ok || count[software] > count[most] {
			most, ok = software, true
		}
	}
	return most, ok
}

// SoftwareGone reports whether no target of a service with the software version has been
// listed within softwareMemory.
func (c *Cataloger) SoftwareGone(s identifier.ServiceName, software identifier.SoftwareVersion) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	seenAt, seen := c.softwareSeen[s][software]
	return c.knowsSoftware() && c.countSoftware(s)[software] == 0 && (!seen || c.clock.Since(seenAt) > softwareMemory)
}

// knowsSoftware reports whether the targets have been listed for as long as softwareMemory.
// The caller holds the mutex.
func (c *Cataloger) knowsSoftware() bool {
	return !c.listedSince.IsZero() && c.clock.Since(c.listedSince) >= softwareMemory
}

// OnlySoftware returns the software version of a service's targets if all that were listed
// within softwareMemory had the same one. A host that started after that can't tell.
func (c *Cataloger) OnlySoftware(s identifier.ServiceName) (only identifier.SoftwareVersion, ok bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if !c.knowsSoftware() {
		return "", false
	}
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

// Responder is the start of a target that has begun to respond.
type Responder struct {
	Incarnation
	// Software is the start's software version. While the start is unlisted, it is a name that no
	// target has.
	Software identifier.SoftwareVersion
	// Unlisted is set if the start has not been listed yet, so that nothing else is known of it.
	Unlisted bool
}

// UnknownResponder returns a start of a target that doesn't say which one it is. What it begins goes
// on nowhere.
func (c *Cataloger) UnknownResponder(t Target) Responder {
	return Responder{Incarnation: Incarnation{Name: t.Name}, Software: identifier.SoftwareVersion(fmt.Sprintf("of an unknown start of %s", t.Name)), Unlisted: true}
}

// Responder returns which start of a target has begun to respond, or ErrReplaced if that isn't
// certain any more. startID is the start that it named, 0 if it has none.
func (c *Cataloger) Responder(t Target, startID int64) (Responder, error) {
	r := Responder{Incarnation: t.Incarnation(), Software: t.Software}
	if startID == 0 || startID == t.StartID {
		return r, c.CheckListed(t)
	}
	r.StartID = startID
	if software, ok := c.SoftwareOf(r.Incarnation); ok {
		r.Software = software
		return r, nil
	}
	if err := c.CheckListed(t); err != nil {
		return r, err
	}
	klog.InfoS("another start of a target responds than the listed one", "target", t.Name, "start", startID, "listed", t.StartID)
	r.Software, r.Unlisted = identifier.SoftwareVersion(fmt.Sprintf("of unlisted start %d of %s", startID, t.Name)), true
	return r, nil
}

// SoftwareOf returns the software version of a start of a target, and false if it has not been
// listed within softwareMemory.
func (c *Cataloger) SoftwareOf(i Incarnation) (identifier.SoftwareVersion, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t, ok := c.targets[i.Name]; ok && t.StartID == i.StartID {
		return t.Software, true
	}
	former, ok := c.formerStarts[i]
	return former.software, ok && c.clock.Since(former.at) <= softwareMemory
}

// formerStart is a start of a target that is no longer listed.
type formerStart struct {
	software identifier.SoftwareVersion
	// at is when it was last listed.
	at time.Time
}

// rememberStart records that a start is no longer listed. The caller holds the mutex.
func (c *Cataloger) rememberStart(t Target) {
	now := c.clock.Now()
	c.formerStarts[t.Incarnation()] = formerStart{t.Software, now}
	if now.Sub(c.startsSweptAt) < softwareMemory {
		return
	}
	c.startsSweptAt = now
	maps.DeleteFunc(c.formerStarts, func(_ Incarnation, f formerStart) bool { return now.Sub(f.at) > softwareMemory })
}
