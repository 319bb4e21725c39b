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

// acquireQuarantine waits until the request may be sent and returns how it must
// run, or returns the outcome of a request that must not be sent.
func (d *Dispatcher) acquireQuarantine(ctx context.Context, r Request, s *progress) (quarantiner.Verdict, Outcome) {
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

// releaseQuarantine undoes acquireQuarantine. A request that ran exclusively
// and returned a complete response is no longer suspected of crashing targets,
// here and at all sidecars.
func (d *Dispatcher) releaseQuarantine(ctx context.Context, r Request, v quarantiner.Verdict, o Outcome) {
	_, exclusive := v.(quarantiner.Alone)
	_, completed := o.(Completed)
	if exclusive && completed {
		messages := d.quarantine.MarkSafe(fingerprintOf(r))
		go d.broadcastCrashes(context.WithoutCancel(ctx), nil, messages...)
	}
	d.quarantine.Release(fingerprintOf(r), v)
}

// restrictCandidates reduces the candidates of a request that must run
// exclusively to a single one, the same at every entry. Equal requests then
// queue behind the first, which may block them all. Targets that crashed while
// running the request are chosen last.
func (d *Dispatcher) restrictCandidates(r Request, candidates []router.Candidate) []router.Candidate {
	f := fingerprintOf(r)
	if _, exclusive := d.quarantine.Check(f).(quarantiner.Alone); !exclusive || len(candidates) == 0 {
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
		return cmp.Compare(rendezvousHash(f, a.Target), rendezvousHash(f, b.Target))
	})}
}

func rendezvousHash(f identifier.Fingerprint, t identifier.TargetName) uint64 {
	return xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, uint64(f)), t...))
}

func fingerprintOf(r Request) identifier.Fingerprint {
	return identifier.NewFingerprint(r.Service, r.Call, r.Body)
}

// broadcastCrashes forwards crash reports to every linked sidecar except the
// one they came from.
func (d *Dispatcher) broadcastCrashes(ctx context.Context, from *peer, messages ...messenger.Crashed) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, p := range d.linkedPeers("") {
		if p == from {
			continue
		}
		tasks.Go(func() {
			for _, m := range messages {
				d.send(ctx, p, m)
			}
		})
	}
}
