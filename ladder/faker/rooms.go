package faker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Rooms are plain targets that run a few requests at once, let some wait and refuse all others. It
// implements sender.Sender.
type Rooms struct {
	clock clockwork.Clock
	// places and queue are how many requests of each target run and wait.
	places, queue int
	// connections is how many requests a target has at most; it resets further ones.
	connections int
	// link is the time that a request or a response is on its way.
	link time.Duration
	// work returns how long a target runs a request.
	work func(t identifier.TargetName, c sender.Call) time.Duration

	mutex   sync.Mutex
	targets map[identifier.TargetName]*room
	counts  RoomCounts
	// silent targets report no load.
	silent bool
}

// RoomCounts is what all targets of a Rooms got.
type RoomCounts struct {
	// Sends are all requests that arrived, Runs those that were run.
	Sends, Runs, Refusals, Resets int
}

// room is one target.
type room struct {
	running, connections int
	waiting              []chan struct{}
}

// RoomOptions are the sizes of the targets of a Rooms.
type RoomOptions struct {
	Places, Queue, Connections int
	Link                       time.Duration
	Work                       func(t identifier.TargetName, c sender.Call) time.Duration
	Silent                     bool
}

// NewRooms returns idle targets.
func NewRooms(clock clockwork.Clock, o RoomOptions) *Rooms {
	return &Rooms{
		clock: clock, places: o.Places, queue: o.Queue, connections: o.Connections, link: o.Link, work: o.Work, silent: o.Silent,
		targets: make(map[identifier.TargetName]*room),
	}
}

// Counts returns what the targets got so far.
func (f *Rooms) Counts() RoomCounts {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.counts
}

// Warm implements sender.Sender.
func (f *Rooms) Warm(cataloger.Target) bool { return true }

// Allowance implements sender.Sender: the targets name no limits.
func (f *Rooms) Allowance(cataloger.Target) sender.Allowance { return sender.Allowance{} }

// Events implements sender.Sender: there are no streams.
func (f *Rooms) Events(*sender.Response) sender.Events { return nil }

// Send implements sender.Sender.
func (f *Rooms) Send(ctx context.Context, t cataloger.Target, c sender.Call) (*sender.Response, error) {
	f.clock.Sleep(f.link)
	defer f.clock.Sleep(f.link)
	f.mutex.Lock()
	r, ok := f.targets[t.Name]
	if !ok {
		r = &room{}
		f.targets[t.Name] = r
	}
	f.counts.Sends++
	switch {
	case r.connections >= f.connections:
		f.counts.Resets++
		f.mutex.Unlock()
		return nil, sender.ErrNoResponse
	case len(r.waiting) >= f.queue:
		defer f.mutex.Unlock()
		f.counts.Refusals++
		return f.respond(r, http.StatusServiceUnavailable), nil
	}
	r.connections++
	turn := make(chan struct{})
	r.waiting = append(r.waiting, turn)
	r.start(f.places)
	f.mutex.Unlock()
	select {
	case <-turn:
	case <-ctx.Done():
		f.leave(r, turn)
		return nil, sender.ErrNoResponse
	}
	f.clock.Sleep(f.work(t.Name, c))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counts.Runs++
	r.connections--
	r.running--
	r.start(f.places)
	if ctx.Err() != nil {
		return nil, sender.ErrNoResponse
	}
	return f.respond(r, http.StatusOK), nil
}

// leave gives up a request that waits, or the place that it was given in the meantime.
func (f *Rooms) leave(r *room, turn chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	r.connections--
	for n, other := range r.waiting {
		if other == turn {
			r.waiting = append(r.waiting[:n:n], r.waiting[n+1:]...)
			return
		}
	}
	r.running--
	r.start(f.places)
}

// start runs waiting requests while there are places. The caller holds the mutex.
func (r *room) start(places int) {
	for r.running < places && len(r.waiting) > 0 {
		close(r.waiting[0])
		r.waiting = r.waiting[1:]
		r.running++
	}
}

// respond returns a response with the load. The caller holds the mutex.
func (f *Rooms) respond(r *room, status int) *sender.Response {
	response := &sender.Response{Status: status, NotRun: status == http.StatusServiceUnavailable, Header: http.Header{}, Signature: "s", Body: io.NopCloser(bytes.NewReader(nil))}
	if !f.silent {
		response.Load = &sender.Load{Running: r.running, Waiting: len(r.waiting), Places: f.places}
	}
	return response
}
