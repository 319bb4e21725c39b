package dispatcher

import (
	"context"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// SampleLocation says where a sample is held.
type SampleLocation struct {
	Target  identifier.TargetName
	Request identifier.RequestID
	Attempt identifier.AttemptNumber
}

// Locate asks every sidecar of the service which of the samples it holds, and
// waits for the answers until ctx ends.
func (d *Dispatcher) Locate(ctx context.Context, service identifier.ServiceName, samples []identifier.SampleID) map[identifier.SampleID]SampleLocation {
	peers := d.linked(service)
	found := make(chan map[identifier.SampleID]SampleLocation, len(peers))
	var tasks conc.WaitGroup
	for _, p := range peers {
		tasks.Go(func() { found <- d.locateAt(ctx, p, samples) })
	}
	tasks.Wait()
	close(found)
	all := make(map[identifier.SampleID]SampleLocation)
	for held := range found {
		for sample, at := range held {
			all[sample] = at
		}
	}
	return all
}

func (d *Dispatcher) locateAt(ctx context.Context, p *peer, samples []identifier.SampleID) map[identifier.SampleID]SampleLocation {
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l == nil || d.beats.SendWithDeadline(ctx, l, messenger.Locate{Samples: samples}) != nil {
		return nil
	}
	held := make(map[identifier.SampleID]SampleLocation)
	select {
	case m := <-p.located:
		for _, h := range m.Samples {
			held[h.Sample] = SampleLocation{Target: p.target, Request: h.Request, Attempt: h.Attempt}
		}
	case <-p.gone:
	case <-ctx.Done():
	}
	return held
}

// TakeOver follows an attempt that another entry has started, and returns its
// outcome, or nil if it can't be had.
func (d *Dispatcher) TakeOver(ctx context.Context, r Request, at SampleLocation) Outcome {
	ctx, cancel := clockwork.WithDeadline(ctx, d.clock, r.Deadline)
	defer cancel()
	d.mutex.Lock()
	p := d.peers[at.Target]
	d.mutex.Unlock()
	if p == nil {
		return nil
	}
	o, err := d.join(ctx, r, p, key{at.Request, at.Attempt}, &progress{})
	if err != nil {
		return nil
	}
	return o
}

// join follows an attempt that is already known at the peer, and judges its
// answer. An error says that ctx has ended.
func (d *Dispatcher) join(ctx context.Context, r Request, p *peer, k key, s *progress) (Outcome, error) {
	a := d.open(p, k, bool(r.followed()))
	defer d.close(a)
	d.mutex.Lock()
	l := p.link
	d.mutex.Unlock()
	if l != nil && d.beats.SendWithDeadline(ctx, l, a.resumption()) != nil {
		_ = l.Close()
	}
	if err := d.follow(ctx, r, a, s); err != nil {
		return nil, err
	}
	return d.judge(r, a, d.answerOf(a), s), nil
}
