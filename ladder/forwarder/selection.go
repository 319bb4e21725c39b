package forwarder

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// selection says which targets of a service a request may use.
type selection struct {
	need sender.Need
	// tried targets are left out.
	tried map[identifier.TargetName]bool
	// software admits only targets of that version; nil admits all.
	software *identifier.SoftwareVersion
}

func (s selection) hasSoftware(t cataloger.Target) bool {
	return s.software == nil || t.Software == *s.software
}

// candidates returns the targets of a service that a request may use. Those that have just
// said that they leave are used only if there are no others.
func (f *Forwarder) candidates(service identifier.ServiceName, s selection) []router.Candidate {
	list := f.filter(f.catalog.ReadyTargets(service), s)
	if len(list) == 0 && s.need == sender.Required {
		list = f.filter(f.catalog.LeavingTargets(service), s)
	}
	return f.preferred(service, list)
}

// filter returns those of the targets that a request may use.
func (f *Forwarder) filter(targets []cataloger.Target, s selection) []router.Candidate {
	list := make([]router.Candidate, 0, len(targets))
	for _, t := range targets {
		if s.tried[t.Name] || !s.hasSoftware(t) || !f.sender.Allowance(t).Admits(s.need) {
			continue
		}
		list = append(list, router.Candidate{Target: t.Name, Service: t.Service, Zone: t.Zone, Warm: f.sender.Warm(t)})
	}
	return list
}

// limitWait returns how long to wait until a selected target, tried or not, accepts a
// request again, if they all have reached their limits, and 0 otherwise.
func (f *Forwarder) limitWait(service identifier.ServiceName, s selection) (shortest time.Duration) {
	for _, t := range f.catalog.ReadyTargets(service) {
		if !s.hasSoftware(t) {
			continue
		}
		wait := f.sender.Allowance(t).Wait
		if wait == 0 {
			return 0
		}
		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}
	return shortest
}

// notRun returns the outcome of a request that no target has accepted.
func (f *Forwarder) notRun(s identifier.ServiceName) NotRun {
	if wait := f.limitWait(s, selection{}); wait > 0 {
		return NotRun{RetryAfter: max(overloadRetryAfter, wait), Reason: "all targets have reached their request limits"}
	}
	return NotRun{RetryAfter: overloadRetryAfter, Reason: "no target accepted the request"}
}
