package dispatcher

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// SampleLocation identifies the attempt at a sample and the target that holds
// it.
type SampleLocation struct {
	Target  identifier.TargetName
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
}

// Locate asks every sidecar of the service which of the samples it holds, and
// waits for the replies until ctx ends.
func (d *Dispatcher) Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]SampleLocation {
	peers := d.linkedPeers(service)
	found := make(chan map[identifier.SampleID]SampleLocation, len(peers))
	var tasks conc.WaitGroup
	for _, p := range peers {
		tasks.Go(func() { found <- d.locateAt(ctx, p, samples) })
	}
	tasks.Wait()
	close(found)
	all := make(map[identifier.SampleID]SampleLocation)
	for locations := range found {
		for sample, location := range locations {
			all[sample] = location
		}
	}
	return all
}

func (d *Dispatcher) locateAt(ctx context.Context, p *peer, samples []identifier.SampleID) map[identifier.SampleID]SampleLocation {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.heartbeats.SendWithDeadline(ctx, l, messenger.Locate{Samples: samples}) != nil {
		return nil
	}
	locations := make(map[identifier.SampleID]SampleLocation)
	select {
	case m := <-p.locateReplies:
		for _, sample := range m.Samples {
			locations[sample.Sample] = SampleLocation{Target: p.target, Request: sample.Request, Attempt: sample.Attempt}
		}
	case <-p.lost:
	case <-ctx.Done():
	}
	return locations
}

// TakeOver follows an attempt started by another entry and returns its outcome,
// or nil if it is not available.
func (d *Dispatcher) TakeOver(ctx context.Context, r Request, location SampleLocation) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	d.mutex.Lock()
	p := d.peers[location.Target]
	d.mutex.Unlock()
	if p == nil {
		return nil
	}
	o, err := d.followAttempt(ctx, r, p, attemptKey{location.Request, location.Attempt}, &progress{})
	if err != nil {
		return nil
	}
	return o
}

// followAttempt follows an attempt that the peer already has and returns its
// outcome. An error means that ctx has ended.
func (d *Dispatcher) followAttempt(ctx context.Context, r Request, p *peer, k attemptKey, s *progress) (Outcome, error) {
	a := d.openAttempt(p, k, bool(r.monitoring()))
	defer d.releaseAttempt(a)
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil && d.heartbeats.SendWithDeadline(ctx, l, a.resumeMessage()) != nil {
		_ = l.Close()
	}
	if err := d.awaitEnd(ctx, r, a, s); err != nil {
		return nil, err
	}
	return d.outcomeOfResult(r, a, d.resultOf(a), s), nil
}
