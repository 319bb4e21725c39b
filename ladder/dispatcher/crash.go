package dispatcher

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/quarantiner"
	"github.com/lycheeladder/lycheeladder/ladder/router"
)

// enter waits until the request may be sent and says how it must run, or
// returns the outcome of one that must not be sent.
func (d *Dispatcher) enter(ctx context.Context, r Request, s *progress) (quarantiner.Verdict, Outcome) {
	v, err := d.quarantine.Acquire(ctx, fingerprintOf(r))
	refused, ok := v.(quarantiner.Refused)
	if !ok && err == nil {
		return v, nil
	}
	code := CodeCrashesTargets
	if err != nil {
		code = CodeTimeout
	}
	retryAfter := max(refused.RetryAfter, d.options.RetryAfter)
	if s.mayHaveRun {
		return v, Unknown{Code: code, RetryAfter: retryAfter}
	}
	return v, NotRun{Code: code, RetryAfter: retryAfter}
}

// leave ends what enter began. A request that ran alone to a whole answer is
// cleared here and everywhere.
func (d *Dispatcher) leave(ctx context.Context, r Request, v quarantiner.Verdict, o Outcome) {
	_, alone := v.(quarantiner.Alone)
	_, whole := o.(Completed)
	if alone && whole {
		news := d.quarantine.MarkSafe(fingerprintOf(r))
		go d.spreadCrashes(context.WithoutCancel(ctx), nil, news...)
	}
	d.quarantine.Release(fingerprintOf(r), v)
}

// narrow leaves a request that must run alone one candidate, the same at every
// entry: there equal requests queue up behind the first, which may convict
// them all. Targets that it was at when they crashed come last.
func (d *Dispatcher) narrow(r Request, candidates []router.Candidate) []router.Candidate {
	f := fingerprintOf(r)
	if _, alone := d.quarantine.Check(f).(quarantiner.Alone); !alone || len(candidates) == 0 {
		return candidates
	}
	crashed := d.quarantine.CrashedTargets(f)
	return []router.Candidate{slices.MaxFunc(candidates, func(a, b router.Candidate) int {
		if crashed[a.Target] != crashed[b.Target] {
			if crashed[a.Target] {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous(f, a.Target), rendezvous(f, b.Target))
	})}
}

func rendezvous(f identifier.Fingerprint, t identifier.TargetName) uint64 {
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, uint64(f)), t...))
}

func fingerprintOf(r Request) identifier.Fingerprint {
	return identifier.NewFingerprint(r.Service, r.Call, r.Body)
}

// spreadCrashes passes news on to every linked sidecar but the one it came
// from.
func (d *Dispatcher) spreadCrashes(ctx context.Context, from *peer, news ...messenger.Crashed) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linked("") {
		if p == from {
			continue
		}
		tasks.Go(func() {
			for _, m := range news {
				d.send(ctx, p, m)
			}
		})
	}
}
