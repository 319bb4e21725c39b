// Package registrar remembers which service and software version began a stream, so that
// any host can let a caller take the stream up.
package registrar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// A stream's origin is kept by the host that passed its first event on, and by copyCount
// of the hosts that the platform's store lists, chosen by a hash of the stream's id. Any
// host finds it there, also when the first one has died. Nothing is written to the store:
// streams begin while it is away.

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
)

// StreamID identifies a stream: the id of the attempt that brought its first event.
type StreamID string

// Origin is where a stream began.
type Origin struct {
	Service  identifier.ServiceName
	Software identifier.SoftwareVersion
}

// Options are the settings of a Registrar.
type Options struct {
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that may keep origins.
	Members func() []string
	Peers   querier.Peers
}

// Registrar keeps the origins of streams.
type Registrar struct {
	clock   clockwork.Clock
	options Options

	mutex   sync.Mutex
	origins map[StreamID]entry
	// order has the ids by the time of their entries, the oldest first. An id whose entry
	// has been renewed is in it more than once.
	order []orderedID
}

type entry struct {
	origin Origin
	at     time.Time
}

type orderedID struct {
	id StreamID
	at time.Time
}

// New returns an empty Registrar.
func New(clock clockwork.Clock, o Options) *Registrar {
	return &Registrar{clock: clock, options: o, origins: make(map[StreamID]entry)}
}

// Record keeps the origin of a stream here and, in the background, at other hosts.
func (r *Registrar) Record(id StreamID, o Origin) {
	r.keep(id, o)
	q := messenger.Question{RecordOrigin: &messenger.StreamOrigin{Stream: string(id), Service: o.Service, Software: o.Software}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		querier.AskAll(ctx, r.options.Peers, r.keepers(id), q, func(messenger.Reply) {})
	}()
}

// Keep keeps an origin that another host has recorded.
func (r *Registrar) Keep(o messenger.StreamOrigin) {
	r.keep(StreamID(o.Stream), Origin{Service: o.Service, Software: o.Software})
}

func (r *Registrar) keep(id StreamID, o Origin) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.clock.Now()
	r.origins[id] = entry{o, now}
	r.order = append(r.order, orderedID{id, now})
	for len(r.order) > maxOrigins || now.Sub(r.order[0].at) > retention {
		if oldest := r.order[0]; r.origins[oldest.id].at.Equal(oldest.at) {
			delete(r.origins, oldest.id)
		}
		r.order = r.order[1:]
	}
}

// Known returns an origin that is kept here.
func (r *Registrar) Known(id StreamID) (Origin, bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	e, ok := r.origins[id]
	return e.origin, ok && r.clock.Since(e.at) <= retention
}

// Find returns the origin of a stream, which may have begun at any host.
func (r *Registrar) Find(ctx context.Context, id StreamID) (Origin, bool) {
	if o, ok := r.Known(id); ok || id == "" {
		return o, ok
	}
	addresses := r.keepers(id)
	found := make(chan *Origin, len(addresses))
	for _, address := range addresses {
		go func() { found <- r.askFor(ctx, address, id) }()
	}
	for range addresses {
		if o := <-found; o != nil {
			r.keep(id, *o)
			return *o, true
		}
	}
	return Origin{}, false
}

func (r *Registrar) askFor(ctx context.Context, address string, id StreamID) *Origin {
	reply, ok := querier.AskBriefly(ctx, r.clock, r.options.Peers, address, messenger.Question{FindOrigin: string(id)}, findTimeout)
	if !ok || reply.Origin == nil {
		return nil
	}
	return &Origin{Service: reply.Origin.Service, Software: reply.Origin.Software}
}

// keepers returns the other hosts that keep the origin of a stream.
func (r *Registrar) keepers(id StreamID) []string {
	addresses := subsetter.Rank(string(id), r.options.Members())
	addresses = slices.DeleteFunc(addresses, func(a string) bool { return a == r.options.Self })
	return addresses[:min(copyCount, len(addresses))]
}
