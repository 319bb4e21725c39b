package archiver

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/batcher"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/origins/arbiter"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// The base version is replaced in two steps, as soon as another version has far more ready targets.
// While its successor is named, no stream begins without a record but at the successor, and each
// host writes the origins of the streams that it knows to have begun without one. Once all hosts
// have done so, the successor is the base version. A host that doesn't do so delays this until none
// of the base version's targets has been listed for longer than a stream can last.
//
// Each host registers in the ledger before it lets a stream begin without a record, so that the
// ledger lists all hosts whose origins have to be written.

const (
	// reviewInterval is the interval at which base versions are reviewed while one is being
	// replaced, idleInterval that at other times. changePause is the pause before a review after a
	// change of the list of targets.
	reviewInterval, idleInterval, changePause = 100 * time.Millisecond, 500 * time.Millisecond, 50 * time.Millisecond
	// failureMemory is how long after a failure of the store streams begin at the base version.
	// A host notices a silent store each 1.5 s.
	failureMemory = 3 * time.Second
	// rereadInterval is the interval at which the ledger is read while a service has several
	// versions.
	rereadInterval = 5 * time.Second
	// While a base version is being replaced, each host reads the ledger at
	// replacementInterval times the number of hosts, and at minReplacementInterval at least. If that
	// takes long, the interval grows to the time so far by replacementReads.
	replacementInterval, minReplacementInterval = 3 * time.Millisecond, 100 * time.Millisecond
	replacementReads                            = 10
	// writerGrace is how long the other hosts leave changes of the ledger to the host that all
	// rank first.
	writerGrace = 3 * time.Second
	// memoryTime is how long a host has to run until it knows of all streams that may still be
	// taken up. It is longer than a stream lasts.
	memoryTime = 2 * time.Minute
	// renewalInterval is the interval at which a host writes its registration again, and
	// registrationTime how long one that is not written again is heeded.
	renewalInterval, registrationTime = 5 * time.Minute, 15 * time.Minute
)

// base is the base version of a service as it was read.
type base struct {
	arbiter.Base
	// listed are the versions that were listed when it was read.
	listed []identifier.SoftwareVersion
	// offset is that of its record; reads may overtake each other.
	offset identifier.LogOffset
	// knownSince is when this host first read the record.
	knownSince time.Time
	// wantedSince is since when this host has wanted to replace the record; zero if it doesn't.
	wantedSince time.Time
}

// baseRecord is the value of a base version's record.
type baseRecord struct {
	Software identifier.SoftwareVersion `cbor:"1,keyasint"`
	// Successor is nil unless the base version is being replaced.
	Successor *identifier.SoftwareVersion `cbor:"2,keyasint,omitempty"`
	// Registered is set if all hosts that have used the base version have registered. Hosts of
	// former builds don't.
	Registered bool `cbor:"3,keyasint,omitempty"`
}

// hostRecord is the value of a host's registration.
type hostRecord struct {
	// Incarnation is that of the host's process.
	Incarnation identifier.Incarnation `cbor:"1,keyasint"`
	// Written is the offset of the newest record of a base version up to which the host has
	// written the origins that it knew.
	Written identifier.LogOffset `cbor:"2,keyasint,omitempty"`
}

// registration is what this host knows of its own entry in the ledger.
type registration struct {
	// found is set if the last read had the entry of this process.
	found bool
	// written is its hostRecord.Written, 0 unless found.
	written identifier.LogOffset
	// completeFrom is when this process knows of all streams that began without a record at
	// this host and may still be taken up. It is zero until the ledger has been read, and in the
	// past if no process ran here before.
	completeFrom time.Time
	// renewedAt is when the entry was last written.
	renewedAt time.Time
}

// seenHost is what this host has seen of the registration of another one.
type seenHost struct {
	offset identifier.LogOffset
	// since is when the record at offset was first read.
	since time.Time
}

// ledger is what one read of the ledger's partition returned.
type ledger struct {
	end   identifier.LogOffset
	bases map[identifier.ServiceName]ledgerBase
	// hosts has the registered hosts by their addresses.
	hosts map[string]ledgerHost
}

type ledgerHost struct {
	hostRecord
	offset identifier.LogOffset
}

type ledgerBase struct {
	baseRecord
	offset identifier.LogOffset
}

// Base returns the base version of a service, and false if it isn't known.
func (a *Archiver) Base(s identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	return b.Software, ok
}

// evidenceWithoutRecord returns what the store tells of a stream that begins now if it is not
// recorded.
func (a *Archiver) evidenceWithoutRecord(s identifier.ServiceName, software identifier.SoftwareVersion) arbiter.Evidence {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	if !ok || !a.registration.found {
		return arbiter.Misleading
	}
	return b.EvidenceWithoutRecord(software)
}

// Preferred returns the version at which streams should begin while nothing can be recorded, and
// false if that makes no difference.
func (a *Archiver) Preferred(s identifier.ServiceName) (arbiter.Preference, bool) {
	failing := slices.ContainsFunc(a.writers, (*batcher.Batcher).Failing)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	failed := !a.failedAt.IsZero() && a.clock.Since(a.failedAt) < failureMemory
	b, ok := a.bases[s]
	if !ok || !failed && !failing && !a.catalog.StoreFailedWithin(failureMemory) {
		return arbiter.Preference{}, false
	}
	return arbiter.Preference{Software: b.Admitted(), Only: failing}, true
}

// Run writes the origins of streams, reads and names base versions and deletes old records
// until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	for _, w := range a.writers {
		tasks.Go(func() { recoverer.RestartOnPanic(ctx, a.clock, "record origins of streams", w.Run) })
	}
	sweepAt := a.clock.Now().Add(sweepInterval)
	for {
		changed := a.catalog.Changed()
		_ = recoverer.CatchPanic("base versions of software", func() { a.review(ctx) }) // already logged
		if len(a.services()) > 0 && a.clock.Now().After(sweepAt) {
			_ = recoverer.CatchPanic("old origins of streams", func() { a.sweep(ctx); a.removeStaleHosts(ctx) }) // already logged
			sweepAt = a.clock.Now().Add(sweepInterval)
		}
		if !a.waitForReview(ctx, changed) {
			return
		}
	}
}

// waitForReview waits until the list of targets has changed or another reason to review the base
// versions may have come up. It returns false once ctx ends.
func (a *Archiver) waitForReview(ctx context.Context, changed <-chan struct{}) bool {
	interval := idleInterval
	if a.isReplacing() {
		changed, interval = nil, reviewInterval
	}
	select {
	case <-changed:
	case <-a.clock.After(interval):
		return true
	case <-ctx.Done():
		return false
	}
	select {
	case <-a.clock.After(changePause):
	case <-ctx.Done():
		return false
	}
	return true
}

// isReplacing reports whether a base version is being replaced, or is to be.
func (a *Archiver) isReplacing() bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, b := range a.bases {
		if b.Successor != nil || !b.wantedSince.IsZero() {
			return true
		}
	}
	return false
}

// services returns the services whose streams may be taken up.
func (a *Archiver) services() (list []identifier.ServiceName) {
	c := a.catalog.Configuration()
	if c == nil {
		return nil
	}
	for _, r := range c.Routes {
		if r.Kind != cataloger.KindStream || !r.Resumable {
			continue
		}
		for _, share := range r.Shares {
			if !slices.Contains(list, share.Service) {
				list = append(list, share.Service)
			}
		}
	}
	return list
}

// review reads the base versions if need be, and names those that are missing or to be replaced.
func (a *Archiver) review(ctx context.Context) {
	services := slices.DeleteFunc(a.services(), func(s identifier.ServiceName) bool { return len(a.catalog.ListedSoftware(s)) == 0 })
	if !slices.ContainsFunc(services, a.isOutdated) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	l, err := a.readLedger(ctx, services)
	if err != nil {
		return
	}
	a.mutex.Lock()
	written, due := a.registration.written, a.registrationDue()
	a.mutex.Unlock()
	if due {
		if err := a.register(ctx, written); err != nil {
			return
		}
		if l, err = a.readLedger(ctx, services); err != nil {
			return
		}
	}
	a.writeKnownOrigins(ctx, services)
	for _, s := range services {
		a.name(ctx, l, s)
	}
}

// registrationDue reports whether this host has to write its registration. The caller holds the mutex.
func (a *Archiver) registrationDue() bool {
	return !a.registration.found || a.clock.Since(a.registration.renewedAt) >= renewalInterval
}

// register enters this process in the ledger. written is the offset of the newest base version
// for which it has written the origins that it knew.
func (a *Archiver) register(ctx context.Context, written identifier.LogOffset) (err error) {
	defer annotator.Annotate(&err, "register in the ledger of software versions")
	value, err := serializer.Encode(hostRecord{Incarnation: a.incarnation, Written: written})
	if err != nil {
		return err
	}
	_, err = a.log.Append(ctx, a.ledger(), storer.AnyOffset, []storer.Record{{Key: hostKey + a.options.Self, Value: value}})
	if err != nil {
		klog.InfoS("host not registered for base versions yet", "written", written, "err", err)
		return err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.registration.renewedAt = a.clock.Now()
	return nil
}

func (a *Archiver) ledger() storer.Partition {
	return storer.Partition{Topic: a.options.Topic, Number: ledgerPartition}
}

// readLedger reads the base versions of services and the registered hosts.
func (a *Archiver) readLedger(ctx context.Context, services []identifier.ServiceName) (l ledger, err error) {
	listed := make(map[identifier.ServiceName][]identifier.SoftwareVersion)
	for _, s := range services {
		listed[s] = a.catalog.ListedSoftware(s)
	}
	records, end, err := storer.ReadPages(func(after string) (storer.SnapshotPage, error) { return a.log.Newest(ctx, a.ledger(), after) })
	if err != nil {
		return l, err
	}
	l = decodeLedger(records)
	l.end = end
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ledgerReadAt = a.clock.Now()
	a.applyHosts(l)
	a.applyBases(l, listed)
	return l, nil
}

// decodeLedger decodes the records of the ledger's partition, which may have those of streams too.
func decodeLedger(records []storer.Record) ledger {
	l := ledger{bases: make(map[identifier.ServiceName]ledgerBase), hosts: make(map[string]ledgerHost)}
	for _, r := range records {
		if name, ok := strings.CutPrefix(r.Key, baseKey); ok {
			b := ledgerBase{offset: r.Offset}
			if err := serializer.Decode(r.Value, &b.baseRecord); err != nil {
				klog.ErrorS(err, "unreadable base version", "key", r.Key, "offset", r.Offset)
				continue
			}
			l.bases[identifier.ServiceName(name)] = b
		}
		if address, ok := strings.CutPrefix(r.Key, hostKey); ok {
			h := ledgerHost{offset: r.Offset}
			if err := serializer.Decode(r.Value, &h.hostRecord); err != nil {
				klog.ErrorS(err, "unreadable registration of a host", "key", r.Key, "offset", r.Offset)
			}
			l.hosts[address] = h
		}
	}
	return l
}

// findBase returns the version at which a stream without a record began, as of a moment after the
// call, and false if that is unknown. What was read before may be outdated at a host that was out
// of touch.
func (a *Archiver) findBase(ctx context.Context, s identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	listed := map[identifier.ServiceName][]identifier.SoftwareVersion{s: a.catalog.ListedSoftware(s)}
	// The base versions are far fewer than the records of one page, and precede the others.
	page, err := a.log.Newest(ctx, a.ledger(), baseKey)
	if err != nil {
		return "", false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.applyBases(decodeLedger(page.Records), listed)
	b, ok := a.bases[s]
	if !ok {
		return "", false
	}
	return b.Unrecorded()
}

// isOutdated reports whether the base version of a service has to be read.
func (a *Archiver) isOutdated(s identifier.ServiceName) bool {
	listed := a.catalog.ListedSoftware(s)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	if !ok || a.registrationDue() || !slices.Equal(b.listed, listed) || a.catalog.StoreFailedSince(a.ledgerReadAt) {
		return true
	}
	if b.Successor == nil && len(listed) == 1 && listed[0] == b.Software {
		return false
	}
	interval := rereadInterval
	if _, wanted := a.following(b, a.catalog.CountReadySoftware(s), true); wanted {
		interval = a.replacementPause(b)
	}
	return a.clock.Since(a.ledgerReadAt) >= interval
}

// following returns what this host wants to follow a base version, and false if nothing. A host that has
// lost its memory can't help to replace one that still has ready targets, at which streams without a
// record go on. The caller holds the mutex.
func (a *Archiver) following(b base, ready map[identifier.SoftwareVersion]int, recorded bool) (next arbiter.Base, wanted bool) {
	if b.Successor == nil && ready[b.Software] > 0 && a.clock.Now().Before(a.registration.completeFrom) {
		return b.Base, false
	}
	return b.Next(ready, recorded)
}

// replacementPause returns the time between two reads of the ledger while a base version is being
// replaced. The caller holds the mutex.
func (a *Archiver) replacementPause(b base) time.Duration {
	since := b.wantedSince
	if b.Successor != nil {
		since = b.knownSince
	}
	pause := max(minReplacementInterval, time.Duration(len(a.seenHosts))*replacementInterval)
	if !since.IsZero() {
		pause = max(pause, a.clock.Since(since)/replacementReads)
	}
	return min(pause, rereadInterval)
}

// isLedgerWriter reports whether this host is the one that changes the ledger.
func (a *Archiver) isLedgerWriter() bool {
	ranked := subsetter.Rank(a.ledger().String(), a.options.Members())
	return len(ranked) == 0 || ranked[0] == a.options.Self
}

// applyHosts takes over the registrations of a ledger that was read as a whole. The caller holds the
// mutex.
func (a *Archiver) applyHosts(l ledger) {
	now := a.clock.Now()
	a.applyRegistration(l)
	for address, h := range l.hosts {
		if seen, ok := a.seenHosts[address]; !ok || seen.offset != h.offset {
			a.seenHosts[address] = seenHost{h.offset, now}
		}
	}
	maps.DeleteFunc(a.seenHosts, func(address string, _ seenHost) bool { _, ok := l.hosts[address]; return !ok })
}

// applyBases takes over the base versions of a ledger. listed has the versions that were listed before
// it was read. The caller holds the mutex.
func (a *Archiver) applyBases(l ledger, listed map[identifier.ServiceName][]identifier.SoftwareVersion) {
	now := a.clock.Now()
	for s, read := range l.bases {
		current, known := a.bases[s]
		if known && read.offset < current.offset {
			continue
		}
		b := base{Base: arbiter.Base{Software: read.Software, Successor: read.Successor}, listed: listed[s], offset: read.offset, knownSince: now}
		if known && read.offset == current.offset {
			b.knownSince, b.wantedSince = current.knownSince, current.wantedSince
		} else {
			klog.InfoS("base version of software", "service", s, "software", b.Software, "admitted", b.Admitted(), "replaced", b.Successor != nil, "offset", b.offset)
		}
		a.bases[s] = b
	}
}

// applyRegistration takes over this host's own entry. The caller holds the mutex.
func (a *Archiver) applyRegistration(l ledger) {
	own, listed := l.hosts[a.options.Self]
	if a.registration.completeFrom.IsZero() {
		a.registration.completeFrom = a.startedAt
		if listed || l.hasUnregistered() {
			a.registration.completeFrom = a.startedAt.Add(memoryTime)
		}
	}
	a.registration.found, a.registration.written = listed && own.Incarnation == a.incarnation, own.Written
	if !a.registration.found {
		a.registration.written = 0
	}
}

// hasUnregistered reports whether hosts that are not registered may have used a base version.
func (l ledger) hasUnregistered() bool {
	for _, b := range l.bases {
		if !b.Registered {
			return true
		}
	}
	return false
}

// writeKnownOrigins writes the origins of streams that began without a record, as far as this
// host knows them, if base versions of the services are being replaced. It says so in the ledger
// once the store has them all.
func (a *Archiver) writeKnownOrigins(ctx context.Context, services []identifier.ServiceName) {
	newest := a.replacedUpTo(services)
	a.mutex.Lock()
	r, started := a.registration, a.writtenUpTo == newest
	a.mutex.Unlock()
	if newest == 0 || r.written >= newest || !r.found {
		return
	}
	if !started {
		a.writtenUpTo, a.unwritten = newest, a.addKnownOrigins(services)
	}
	a.unwritten = slices.DeleteFunc(a.unwritten, isClosed)
	if len(a.unwritten) > 0 || a.clock.Now().Before(r.completeFrom) {
		return
	}
	if a.register(ctx, newest) == nil {
		klog.InfoS("origins of streams written, a base version is being replaced", "offset", newest)
	}
}

// replacedUpTo returns the offset of the newest record of a base version that is being replaced,
// and 0 if there is none.
func (a *Archiver) replacedUpTo(services []identifier.ServiceName) (newest identifier.LogOffset) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, s := range services {
		if b, ok := a.bases[s]; ok && b.Successor != nil {
			newest = max(newest, b.offset)
		}
	}
	return newest
}

// addKnownOrigins hands the origins that this host knows to the writers, except for those at the
// admitted versions, which may go without a record.
func (a *Archiver) addKnownOrigins(services []identifier.ServiceName) (saved []<-chan struct{}) {
	for _, s := range services {
		a.mutex.Lock()
		b, ok := a.bases[s]
		a.mutex.Unlock()
		if !ok || b.Successor == nil || a.options.Known == nil {
			continue
		}
		for _, o := range a.options.Known(s) {
			if o.Software == b.Admitted() {
				continue
			}
			if r, ok := a.recordOf(streamKey, o); ok {
				saved = append(saved, a.writers[a.numberOf(o.Stream)].Add(r))
			}
		}
	}
	return saved
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// name writes what follows the base version of a service. Another host may do so at the same
// moment; the first one to write wins.
func (a *Archiver) name(ctx context.Context, l ledger, s identifier.ServiceName) {
	next, ok := a.next(l, s)
	if !ok {
		return
	}
	value, err := serializer.Encode(baseRecord{Software: next.Software, Successor: next.Successor, Registered: true})
	if err != nil {
		klog.ErrorS(err, "base version can't be encoded", "service", s)
		return
	}
	_, err = a.log.Append(ctx, a.ledger(), l.end, []storer.Record{{Key: baseKey + string(s), Value: value}})
	var mismatch *storer.EndMismatchError
	if err != nil && !errors.As(err, &mismatch) {
		klog.InfoS("base version not named yet", "service", s, "software", next.Admitted(), "err", err)
	}
	_, _ = a.readLedger(ctx, []identifier.ServiceName{s}) // or at the next review
}

// next returns what this host should write as the base version of a service, and false if it is to
// stay as it is, or to be written by another host.
func (a *Archiver) next(l ledger, s identifier.ServiceName) (next arbiter.Base, ok bool) {
	a.mutex.Lock()
	b, known := a.bases[s]
	a.mutex.Unlock()
	if !known {
		software, ok := a.catalog.MostListedSoftware(s)
		return arbiter.Base{Software: software}, ok
	}
	ready, recorded := a.catalog.CountReadySoftware(s), a.allWritten(l, s, b)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	next, wanted := a.following(b, ready, recorded)
	current := a.bases[s]
	switch {
	case !wanted:
		current.wantedSince = time.Time{}
	case current.wantedSince.IsZero():
		current.wantedSince = a.clock.Now()
	}
	a.bases[s] = current
	return next, wanted && (a.isLedgerWriter() || a.clock.Since(current.wantedSince) >= writerGrace)
}

// allWritten reports whether all streams of a service that began without a record at another
// version than the successor have one now, or can't be taken up any more.
func (a *Archiver) allWritten(l ledger, s identifier.ServiceName, b base) bool {
	if a.catalog.SoftwareGone(s, b.Software) && a.clock.Since(b.knownSince) >= memoryTime {
		return true
	}
	for _, address := range a.options.Members() {
		if _, ok := l.hosts[address]; !ok {
			return false
		}
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for address, h := range l.hosts {
		if h.Written < b.offset && !a.isStale(address) {
			return false
		}
	}
	return true
}

// isStale reports whether a registered host is gone for good. The caller holds the mutex.
func (a *Archiver) isStale(address string) bool {
	seen, ok := a.seenHosts[address]
	return ok && a.clock.Since(seen.since) >= registrationTime
}

// removeStaleHosts deletes the registrations of hosts that are gone for good.
func (a *Archiver) removeStaleHosts(ctx context.Context) {
	var stale []storer.Record
	a.mutex.Lock()
	for address := range a.seenHosts {
		if a.isStale(address) {
			stale = append(stale, storer.Record{Key: hostKey + address})
		}
	}
	a.mutex.Unlock()
	if len(stale) == 0 || !a.isLedgerWriter() {
		return
	}
	if _, err := a.log.Append(ctx, a.ledger(), storer.AnyOffset, stale); err != nil {
		klog.InfoS("registrations of hosts that are gone not deleted yet", "err", err)
	}
}
