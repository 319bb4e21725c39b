package executor

import "github.com/lycheeladder/lycheeladder/ladder/identifier"

// Status is the status of a sidecar.
type Status struct {
	Target      identifier.TargetName    `json:"target"`
	Service     identifier.ServiceName   `json:"service"`
	Zone        identifier.ZoneName      `json:"zone"`
	Incarnation identifier.Incarnation   `json:"incarnation"`
	Revision    identifier.Revision      `json:"revision"`
	Version     identifier.WeightVersion `json:"version"`
	Leaving     bool                     `json:"leaving"`
	Links       int                      `json:"links"`
	Running     int                      `json:"running"`
	Waiting     int                      `json:"waiting"`
	Held        int                      `json:"held"`
	Traces      int                      `json:"traces"`
}

// Status returns the status of the sidecar. Held counts attempts whose response
// is held, Traces those of which only the result is kept.
func (e *Executor) Status() Status {
	running, waiting, _ := e.queue.Counts()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return Status{
		Target: e.options.Target, Service: e.options.Service, Zone: e.options.Zone,
		Incarnation: e.options.Incarnation, Revision: e.configuration.Revision, Version: e.version,
		Leaving: e.leaving, Links: len(e.links), Running: running, Waiting: waiting,
		Held: len(e.attempts), Traces: len(e.traces),
	}
}
