// Package registrar remembers which service and software version began a stream, so that
// any host can let a caller take the stream up.
package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/origins/arbiter"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// A stream's origin is kept by the host that passed its first event on, and by copyCount
// of the hosts that the platform's store lists, chosen by a hash of the stream's id. Any
// host finds it there, also when the first one has died. Package archiver writes to the store
// what must outlive all hosts.

const (
	// copyCount is how many other hosts keep an origin. Two may be lost at once.
	copyCount = 2
	// retention is how long an origin is kept after the stream was last begun or taken up.
	// The longest stream lasts a minute.
	retention = 2 * time.Minute
	// maxOrigins bounds the origins of one host; the oldest are dropped. One takes about
	// 200 bytes.
	maxOrigins = 20_000
	// findTimeout bounds the wait for the answer of one host. The callers' requirements
	// allow gaps of 2 s.
	findTimeout = 200 * time.Millisecond
	// storeTimeout bounds the wait for a host that is to keep an origin.
	storeTimeout = time.Second
	// listPause is the least time between two looks for starts that are listed since.
	listPause = 20 * time.Millisecond
)

// Options are the settings of a Registrar.
type Options struct {
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that may keep origins.
	Members func() []string
	Peers   querier.Peers
	Archive Archive
	// Starts is nil if no start is ever listed later than it responds.
	Starts Starts
}

// Starts knows the starts of targets; *cataloger.Cataloger implements it.
type Starts interface {
	arbiter.Starts
	// Changed returns a channel that is closed when further starts may be known.
	Changed() <-chan struct{}
}

// Archive keeps what has to outlive the memory of all hosts; *archiver.Archiver implements it.
type Archive interface {
	// Save writes where a stream began, as far as need be, and returns what it tells of the
	// stream. It corrects what it was called with before for the same stream.
	Save(ctx context.Context, o messenger.StreamOrigin, corrects bool) arbiter.Evidence
	// Find returns where a stream began that no host knows, or nil. If it has no record, the
	// stream is taken to be of the service.
	Find(ctx context.Context, id identifier.StreamID, s identifier.ServiceName) *messenger.StreamOrigin
	// Preferred returns the software version at which streams should begin while nothing can
	// be written, and false if that makes no difference.
	Preferred(s identifier.ServiceName) (arbiter.Preference, bool)
}

// NoArchive keeps nothing.
type NoArchive struct{}

// Save implements Archive.
func (NoArchive) Save(context.Context, messenger.StreamOrigin, bool) arbiter.Evidence {
	return arbiter.Proven
}

// Find implements Archive.
func (NoArchive) Find(context.Context, identifier.StreamID, identifier.ServiceName) *messenger.StreamOrigin {
	return nil
}

// Preferred implements Archive.
func (NoArchive) Preferred(identifier.ServiceName) (arbiter.Preference, bool) {
	return arbiter.Preference{}, false
}

// Registrar keeps the origins of streams.
type Registrar struct {
	clock   clockwork.Clock
	options Options

	mutex   sync.Mutex
	origins map[identifier.StreamID]entry
	// order has the ids by the time of their entries, the oldest first. An id whose entry
	// has been renewed is in it more than once.
	order []orderedID
	// unlisted has the streams that began here at starts that are not listed yet.
	unlisted map[identifier.StreamID]bool
}

type entry struct {
	origin messenger.StreamOrigin
	at     time.Time
}

type orderedID struct {
	id identifier.StreamID
	at time.Time
}

// New returns an empty Registrar.
func New(clock clockwork.Clock, o Options) *Registrar {
	if o.Archive == nil {
		o.Archive = NoArchive{}
	}
	return &Registrar{clock: clock, options: o, origins: make(map[identifier.StreamID]entry), unlisted: make(map[identifier.StreamID]bool)}
}

// Record keeps the origin of a stream here and in the archive, before its first event is passed on.
// It waits a short time for the archive, and returns what that tells of the stream after all hosts
// have lost their memory. It may correct what was recorded before.
func (r *Registrar) Record(ctx context.Context, o messenger.StreamOrigin, corrects bool) arbiter.Evidence {
	// The archive may ask for what is kept here.
	r.Keep(o)
	return r.options.Archive.Save(ctx, o, corrects)
}

// Announce has other hosts keep, in the background, the origin of a stream whose first event is
// passed on here. An origin that may still be given up must not be announced, as not all hosts may
// be told that it was.
func (r *Registrar) Announce(o messenger.StreamOrigin) {
	if arbiter.MayBeListed(o) {
		r.mutex.Lock()
		r.unlisted[o.Stream] = true
		r.mutex.Unlock()
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		querier.AskAll(ctx, r.options.Peers, r.keepers(o.Stream), messenger.Question{RecordOrigin: &o}, func(messenger.Reply) {})
	}()
}

// Run records and announces the origins of streams that began here at starts that weren't listed,
// once they are, until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	if r.options.Starts == nil {
		return
	}
	for {
		changed := r.options.Starts.Changed()
		for _, o := range r.takeListed() {
			klog.InfoS("origin of a stream recorded again, its start is listed", "stream", o.Stream, "target", o.Target, "start", o.StartID, "software", o.Software)
			r.Record(ctx, o, true)
			r.Announce(o)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
		select {
		case <-r.clock.After(listPause):
		case <-ctx.Done():
			return
		}
	}
}

// takeListed returns the origins of streams that began here at starts that are now listed. Each is
// returned once.
func (r *Registrar) takeListed() (list []messenger.StreamOrigin) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for id := range r.unlisted {
		e, ok := r.origins[id]
		if o := arbiter.Resolve(e.origin, r.options.Starts); !ok || !o.Unlisted {
			delete(r.unlisted, id)
			if ok {
				list = append(list, o)
			}
		}
	}
	return list
}

// Keep keeps an origin here, also one that another host has recorded. It doesn't replace a newer one.
func (r *Registrar) Keep(o messenger.StreamOrigin) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	if e, ok := r.origins[o.Stream]; ok && r.clock.Since(e.at) <= retention {
		o = arbiter.Newer(e.origin, o)
	}
	r.origins[o.Stream] = entry{o, now}
	r.order = append(r.order, orderedID{o.Stream, now})
	for len(r.order) > maxOrigins || now.Sub(r.order[0].at) > retention {
		if oldest := r.order[0]; r.origins[oldest.id].at.Equal(oldest.at) {
			delete(r.origins, oldest.id)
		}
		r.order = r.order[1:]
	}
}

// Known returns an origin that is kept here, or nil.
func (r *Registrar) Known(id identifier.StreamID) *messenger.StreamOrigin {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if e, ok := r.origins[id]; ok && r.clock.Since(e.at) <= retention {
		o := arbiter.Resolve(e.origin, r.options.Starts)
		return &o
	}
	return nil
}

// OfService returns the origins of a service's streams that are kept here.
func (r *Registrar) OfService(s identifier.ServiceName) (list []messenger.StreamOrigin) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, e := range r.origins {
		if e.origin.Service == s && r.clock.Since(e.at) <= retention {
			list = append(list, e.origin)
		}
	}
	return list
}

// Find returns the origin of a stream, which may have begun at any host, or nil if it is
// unknown. The hosts that keep it may know more or less of it than this one, and than each other.
func (r *Registrar) Find(ctx context.Context, id identifier.StreamID) *messenger.StreamOrigin {
	found := r.Known(id)
	if found != nil && !found.Unlisted || id == "" {
		return found
	}
	addresses := r.keepers(id)
	replies := make(chan messenger.Reply, len(addresses))
	for _, address := range addresses {
		go func() {
			r, _ := querier.AskBriefly(ctx, r.clock, r.options.Peers, address, messenger.Question{FindOrigin: id}, findTimeout)
			replies <- r
		}()
	}
	for range addresses {
		o := (<-replies).Origin
		switch {
		case o == nil:
			continue
		case found != nil:
			*o = arbiter.Newer(*found, *o)
		}
		found = o
	}
	if found == nil {
		return nil
	}
	*found = arbiter.Resolve(*found, r.options.Starts)
	r.Keep(*found)
	return found
}

// FindArchived returns the origin of a stream that no host knows, or nil. If it has no
// record, the stream is taken to be of the service.
func (r *Registrar) FindArchived(ctx context.Context, id identifier.StreamID, s identifier.ServiceName) *messenger.StreamOrigin {
	o := r.options.Archive.Find(ctx, id, s)
	if o != nil {
		r.Keep(*o)
	}
	return o
}

// Preferred returns the software version at which streams should begin while nothing can be
// archived, and false if that makes no difference.
func (r *Registrar) Preferred(s identifier.ServiceName) (arbiter.Preference, bool) {
	return r.options.Archive.Preferred(s)
}

// keepers returns the other hosts that keep the origin of a stream.
func (r *Registrar) keepers(id identifier.StreamID) []string {
	addresses := subsetter.Rank(string(id), r.options.Members())
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == r.options.Self })
	return addresses[:min(copyCount, len(addresses))]
}
