package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/origins/arbiter"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/routing/splitter"
)

// What two software versions of a target generate doesn't fit together, and targets don't
// check which version began a stream. A stream therefore goes on only at targets of the
// version that began it, here or at the host where its caller takes it up.

// originRetryAfter is sent to callers whose stream can't go on: its version may be listed
// again, or its origin be found, after a restart.
const originRetryAfter = 500 * time.Millisecond

const (
	// maxListWait is how long a stream that began at an unlisted start waits for the start to be
	// listed before it goes on. Targets write their entries about each 1.2 s, and callers wait for
	// 2 s at least after an event.
	maxListWait = 1200 * time.Millisecond
	// askAgainInterval is the interval at which other hosts are asked meanwhile, which may know
	// starts that this one has not seen in the list.
	askAgainInterval = 400 * time.Millisecond
)

// listTimeout bounds one read of the list of targets.
const listTimeout = 500 * time.Millisecond

// takeUp finds out where a stream that the caller takes up may go on. It returns nil if
// there is such a place, or for a new stream.
func (s *Stream) takeUp() Outcome {
	if s.request.ResumeAfter == 0 || !s.route.Resumable {
		return nil
	}
	f := s.forwarder
	o, source := f.origins.Find(s.ctx, s.request.Resumes), "a host that kept it"
	if o == nil {
		o, source = f.origins.FindArchived(s.ctx, s.request.Resumes, soleService(s.route)), "the store"
	}
	if o == nil {
		o, source = f.soleOrigin(s.ctx, s.route), "the only version listed"
	}
	if o != nil && o.Unlisted {
		o = s.waitUntilListed(o)
	}
	switch {
	case o == nil:
		f.counter.Count(counterUnknown)
		klog.InfoS("stream not taken up, its software version is unknown", "request", s.request.ID, "resumes", s.request.Resumes, "after", s.request.ResumeAfter)
		return NotRun{RetryAfter: originRetryAfter, Reason: "the software version of the stream is unknown"}
	case o.Unlisted:
		f.counter.Count(counterUnlisted)
		klog.InfoS("stream not taken up, its start isn't listed yet", "request", s.request.ID, "resumes", s.request.Resumes, "after", s.request.ResumeAfter, "target", o.Target, "start", o.StartID, "source", source)
		return NotRun{RetryAfter: originRetryAfter, Reason: "the start that began the stream is not listed yet"}
	case !slices.Contains(splitter.Services(s.route), o.Service):
		return NotRun{RetryAfter: originRetryAfter, Reason: "the stream's service is no longer on its route"}
	}
	klog.InfoS("stream taken up", "request", s.request.ID, "resumes", s.request.Resumes, "after", s.request.ResumeAfter, "target", o.Target, "start", o.StartID, "software", o.Software, "source", source)
	f.counter.Count(counterTakenUp)
	s.setOrigin(*o)
	return nil
}

// setOrigin says where the stream began. It goes on only at targets of that software version.
func (s *Stream) setOrigin(o messenger.StreamOrigin) {
	s.service, s.origin, s.selection.software = o.Service, &o, &o.Software
}

// waitUntilListed waits a limited time until the start that began a stream is listed, here or at the
// hosts that keep the stream, and returns what is known then.
func (s *Stream) waitUntilListed(o *messenger.StreamOrigin) *messenger.StreamOrigin {
	f := s.forwarder
	ctx, cancel := context.WithTimeout(s.ctx, maxListWait)
	defer cancel()
	for start := f.clock.Now(); arbiter.MayBeListed(*o) && ctx.Err() == nil; {
		changed := f.catalog.Changed()
		resolved := arbiter.Resolve(*o, f.catalog)
		if o = &resolved; !o.Unlisted {
			f.counter.Count(counterListedLater)
			klog.InfoS("start of a stream's target is listed", "stream", o.Stream, "target", o.Target, "start", o.StartID, "software", o.Software, "waited", f.clock.Since(start))
			break
		}
		select {
		case <-changed:
		case <-f.clock.After(askAgainInterval):
			if found := f.origins.Find(ctx, o.Stream); found != nil {
				newer := arbiter.Newer(*o, *found)
				o = &newer
			}
		case <-ctx.Done():
		}
	}
	return o
}

// resolveOrigin waits a limited time for the software version of a stream that began at an unlisted
// start, so that it can go on.
func (s *Stream) resolveOrigin() {
	if s.origin != nil && s.origin.Unlisted {
		s.setOrigin(*s.waitUntilListed(s.origin))
	}
}

// soleService returns the only service of a route, or "" if there are several.
func soleService(r cataloger.Route) identifier.ServiceName {
	if len(r.Shares) != 1 {
		return ""
	}
	return r.Shares[0].Service
}

// soleOrigin returns the only place where a stream of the route can have begun, or nil if
// there are several. Other hosts may know targets of further versions, so the list of targets
// is read first.
func (f *Forwarder) soleOrigin(ctx context.Context, r cataloger.Route) *messenger.StreamOrigin {
	service := soleService(r)
	if _, ok := f.catalog.OnlySoftware(service); !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if err := f.targets.Refresh(ctx); err != nil {
		return nil
	}
	software, ok := f.catalog.OnlySoftware(service)
	if !ok {
		return nil
	}
	return &messenger.StreamOrigin{Service: service, Software: software}
}

// candidates returns the targets for the next attempt.
func (s *Stream) candidates() []router.Candidate {
	list, only := s.preferredCandidates()
	if len(list) > 0 || only {
		return list
	}
	return s.forwarder.candidates(s.service, s.selection)
}

// preferredCandidates returns the targets at which a stream that has no software version yet
// should begin, if that makes a difference, and whether it can't begin at others.
func (s *Stream) preferredCandidates() (list []router.Candidate, only bool) {
	f := s.forwarder
	if !s.route.Resumable || s.origin != nil {
		return nil, false
	}
	p, ok := f.origins.Preferred(s.service)
	if !ok {
		return nil, false
	}
	preferred := s.selection
	preferred.software = &p.Software
	return f.candidates(s.service, preferred), p.Only
}

var (
	// errNotRecorded means that a stream that has passed nothing on begins anew at a software
	// version at which it can be taken up after all hosts have lost their memory.
	errNotRecorded = errors.New("the stream's software version can't be recorded")
	// errMisleading means that a stream that has passed nothing on ends, as it might be taken up
	// at another software version.
	errMisleading = errors.New("the stream's software version can't be recorded, and would be taken for another one")
)

const (
	// maxRecordWait is how long a stream's first event waits for the store if the stream might be
	// taken up at another version without a record. Callers wait for 2 s at least.
	maxRecordWait = time.Second
	// recordRetryPause is the pause between two attempts to write the record.
	recordRetryPause = 200 * time.Millisecond
)

// beginEvents handles the first event of an attempt, before it is passed on.
func (s *Stream) beginEvents() error {
	if !s.route.Resumable {
		s.awaitsEvent = false
		return nil
	}
	f := s.forwarder
	responder, err := s.responder()
	if err != nil {
		return err
	}
	if s.origin != nil && s.origin.Software != responder.Software {
		return cataloger.ErrReplaced
	}
	origin := messenger.StreamOrigin{
		Stream: s.streamID(), Service: s.service, Software: responder.Software,
		Target: responder.Name, StartID: responder.StartID, Unlisted: responder.Unlisted, Anew: s.givenUp,
	}
	if s.origin != nil {
		origin = *s.origin
	}
	if err := s.record(origin); err != nil {
		return err
	}
	if s.origin == nil && origin.Unlisted {
		f.counter.Count(counterUnlistedStart)
	}
	f.origins.Announce(origin)
	s.awaitsEvent = false
	s.setOrigin(origin)
	return nil
}

// responder returns which start of the target has begun to respond.
func (s *Stream) responder() (cataloger.Responder, error) {
	c := s.forwarder.catalog
	if confirm := s.response.ConfirmListedStart; confirm != nil && !confirm(s.attempt) {
		return c.UnknownResponder(s.target), nil
	}
	return c.Responder(s.target, s.response.StartID)
}

// record records where a stream begins. It returns errNotRecorded if the stream should begin
// elsewhere, and errMisleading if it can't begin.
func (s *Stream) record(o messenger.StreamOrigin) error {
	f := s.forwarder
	corrects := o.Anew > 0
	evidence := f.origins.Record(s.ctx, o, corrects)
	if s.origin != nil { // events have been passed on
		return nil
	}
	if evidence != arbiter.Proven && !corrects && s.mayBeginAnew(o.Software) {
		s.givenUp++
		f.counter.Count(counterBegunAnew)
		return errNotRecorded
	}
	for start := f.clock.Now(); evidence >= arbiter.Uncertain; evidence = f.origins.Record(s.ctx, o, corrects) {
		if f.clock.Since(start) >= maxRecordWait || s.ctx.Err() != nil {
			if evidence == arbiter.Uncertain {
				return nil
			}
			f.counter.Count(counterUnrecorded)
			klog.InfoS("stream doesn't begin, its software version can't be recorded", "request", s.request.ID, "target", s.target.Name, "software", o.Software, "waited", f.clock.Since(start))
			return errMisleading
		}
		select {
		case <-f.clock.After(recordRetryPause):
		case <-s.ctx.Done():
		}
	}
	return nil
}

// mayBeginAnew reports whether the stream may begin at another software version than the given
// one, at which it should.
func (s *Stream) mayBeginAnew(software identifier.SoftwareVersion) bool {
	if s.retries+1 >= s.route.MaxAttempts || !s.request.stillAllowed() {
		return false
	}
	list, _ := s.preferredCandidates()
	return slices.ContainsFunc(list, func(c router.Candidate) bool {
		t, ok := s.forwarder.catalog.Target(c.Target)
		return ok && t.Software != software
	})
}

// streamID returns the id under which a caller takes the stream up.
func (s *Stream) streamID() identifier.StreamID {
	if s.request.Resumes != "" {
		return s.request.Resumes
	}
	return identifier.StreamID(s.request.ID)
}
