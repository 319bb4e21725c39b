package injector

import (
	"context"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/lister"
)

// errInjected is returned where the real port would return an error of its
// transport.
var errInjected = errors.New("injected fault")

// Log returns a Log that injects the faults of the process.
func (p *Process) Log(l appender.Log) appender.Log { return &log{process: p, log: l} }

type log struct {
	process *Process
	log     appender.Log
}

// streamName returns the stream's name without the number of a claims stream.
func streamName(name identifier.StreamName) string {
	if strings.HasPrefix(string(name), string(appender.StreamClaims)) {
		return string(appender.StreamClaims)
	}
	return string(name)
}

func (l *log) Append(ctx context.Context, name identifier.StreamName, records [][]byte) (offset identifier.LogOffset, err error) {
	c := Call{
		Port: "log", Name: "append-" + streamName(name), Kinds: processKinds(),
		RefusedError: appender.ErrUnavailable, LostError: appender.ErrOutcomeUnknown, OutlivesCaller: true,
	}
	var first identifier.LogOffset
	err = l.process.Do(ctx, c, func(ctx context.Context) (err error) {
		first, err = l.log.Append(ctx, name, records)
		return err
	})
	if err != nil {
		return 0, err
	}
	return first, nil
}

func (l *log) Read(ctx context.Context, name identifier.StreamName, from identifier.LogOffset, limit int) (page appender.Page, err error) {
	c := Call{
		Port: "log", Name: "read-" + streamName(name), Kinds: processKinds(),
		RefusedError: appender.ErrUnavailable, LostError: appender.ErrUnavailable,
	}
	err = l.process.Do(ctx, c, func(ctx context.Context) (err error) {
		page, err = l.log.Read(ctx, name, from, limit)
		return err
	})
	return page, err
}

// HostList returns a HostList that injects the faults of the process.
func (p *Process) HostList(l lister.HostList) lister.HostList { return &hostList{process: p, list: l} }

type hostList struct {
	process *Process
	list    lister.HostList
}

func (l *hostList) Hosts(ctx context.Context) (hosts []lister.Host, err error) {
	c := Call{Port: "host-list", Name: "read", Kinds: processKinds(), RefusedError: errInjected, LostError: errInjected}
	err = l.process.Do(ctx, c, func(ctx context.Context) (err error) {
		hosts, err = l.list.Hosts(ctx)
		return err
	})
	return hosts, err
}

// Target returns a Target that injects the faults of the process.
func (p *Process) Target(t caller.Target) caller.Target { return &target{process: p, target: t} }

type target struct {
	process *Process
	target  caller.Target
}

// crasher is a target whose process can be crashed.
type crasher interface{ Crash() }

func targetKinds() []Kind { return append(processKinds(), TargetCrashed) }

func (t *target) crash() {
	if c, ok := t.target.(crasher); ok {
		c.Crash()
	}
}

func (t *target) Do(ctx context.Context, work caller.Work, sink func(caller.Chunk) error) (status int, err error) {
	c := Call{
		Port: "target", Name: "do", Kinds: targetKinds(),
		RefusedError: caller.ErrRefused, LostError: caller.ErrIncomplete, OutlivesCaller: true,
	}
	g := &chunkGate{process: t.process, sink: sink}
	c.Crash = func() { g.crash = t.crash }
	defer g.close()
	var answered int
	err = t.process.Do(ctx, c, func(ctx context.Context) (err error) {
		answered, err = t.target.Do(ctx, work, g.deliver)
		return err
	})
	switch {
	case err == nil:
		return answered, nil
	case errors.Is(err, caller.ErrRefused):
		return 0, err
	}
	return 0, caller.ErrIncomplete
}

// chunkGate discards the chunks of a call whose caller has stopped waiting.
type chunkGate struct {
	process *Process
	// crash, if set, is called at the first chunk.
	crash  func()
	mutex  sync.Mutex
	closed bool
	sink   func(caller.Chunk) error
}

func (g *chunkGate) deliver(chunk caller.Chunk) error {
	if err := g.process.waitWhilePaused(); err != nil {
		return err
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.closed {
		return caller.ErrIncomplete
	}
	if g.crash != nil {
		g.crash()
		g.crash = nil
		return caller.ErrIncomplete
	}
	return g.sink(chunk)
}

func (g *chunkGate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.closed = true
}

func (t *target) Cancel(ctx context.Context, request identifier.RequestID) error {
	c := Call{Port: "target", Name: "cancel", Kinds: targetKinds(), RefusedError: errInjected, LostError: errInjected, Crash: t.crash, OutlivesCaller: true}
	return t.process.Do(ctx, c, func(ctx context.Context) error { return t.target.Cancel(ctx, request) })
}

func (t *target) State(ctx context.Context) (s caller.State, err error) {
	c := Call{Port: "target", Name: "state", Kinds: targetKinds(), RefusedError: errInjected, LostError: errInjected, Crash: t.crash}
	err = t.process.Do(ctx, c, func(ctx context.Context) (err error) {
		s, err = t.target.State(ctx)
		return err
	})
	return s, err
}

func (t *target) Load(ctx context.Context, command caller.WeightCommand) error {
	c := Call{Port: "target", Name: "load", Kinds: targetKinds(), RefusedError: errInjected, LostError: errInjected, Crash: t.crash, OutlivesCaller: true}
	return t.process.Do(ctx, c, func(ctx context.Context) error { return t.target.Load(ctx, command) })
}

func (t *target) Switch(ctx context.Context, command caller.WeightCommand) error {
	c := Call{Port: "target", Name: "switch", Kinds: targetKinds(), RefusedError: errInjected, LostError: errInjected, Crash: t.crash, OutlivesCaller: true}
	return t.process.Do(ctx, c, func(ctx context.Context) error { return t.target.Switch(ctx, command) })
}
