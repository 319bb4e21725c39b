package archiver

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/batcher"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A base version is replaced only when none of its targets has been listed for longer than a
// stream can last. A host uses what it has read of it as long as the versions listed are the same:
// the base version can't have changed meanwhile to one that isn't among them.

const (
	// reviewInterval is the interval at which the versions listed are compared.
	reviewInterval = 500 * time.Millisecond
	// failureMemory is how long after a failure of the store streams begin at the base version.
	// A host notices a silent store each 1.5 s.
	failureMemory = 3 * time.Second
	// rereadInterval is the interval at which the base versions are read while one of them
	// isn't listed.
	rereadInterval = 5 * time.Second
)

// base is the base version of a service.
type base struct {
	software identifier.SoftwareVersion
	// listed are the versions that were listed when it was read.
	listed []identifier.SoftwareVersion
	// offset is that of its record; reads may overtake each other.
	offset identifier.LogOffset
}

// baseRecord is the value of a base version's record.
type baseRecord struct {
	Software identifier.SoftwareVersion `cbor:"1,keyasint"`
}

// Base returns the base version of a service, and false if it isn't known.
func (a *Archiver) Base(s identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	return b.software, ok
}

// isBase reports whether a stream that begins at a version needs no record.
func (a *Archiver) isBase(s identifier.ServiceName, software identifier.SoftwareVersion) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	return ok && b.software == software && slices.Equal(b.listed, a.catalog.ListedSoftware(s))
}

// Preferred returns the base version of a service while nothing can be recorded, and false
// otherwise.
func (a *Archiver) Preferred(s identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	a.mutex.Lock()
	failed := !a.failedAt.IsZero() && a.clock.Since(a.failedAt) < failureMemory
	a.mutex.Unlock()
	if !failed && !slices.ContainsFunc(a.writers, (*batcher.Batcher).Failing) && !a.catalog.StoreFailedWithin(failureMemory) {
		return "", false
	}
	return a.Base(s)
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
		_ = recoverer.CatchPanic("base versions of software", func() { a.review(ctx) }) // already logged
		if len(a.services()) > 0 && a.clock.Now().After(sweepAt) {
			_ = recoverer.CatchPanic("old origins of streams", func() { a.sweep(ctx) }) // already logged
			sweepAt = a.clock.Now().Add(sweepInterval)
		}
		select {
		case <-a.clock.After(reviewInterval):
		case <-ctx.Done():
			return
		}
	}
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

// review reads the base versions if need be, and names those that are missing or gone.
func (a *Archiver) review(ctx context.Context) {
	services := slices.DeleteFunc(a.services(), func(s identifier.ServiceName) bool { return len(a.catalog.ListedSoftware(s)) == 0 })
	if !slices.ContainsFunc(services, a.isOutdated) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	end, err := a.readBases(ctx, services)
	if err != nil {
		return
	}
	for _, s := range services {
		a.name(ctx, end, s)
	}
}

func (a *Archiver) ledger() storer.Partition {
	return storer.Partition{Topic: a.options.Topic, Number: ledgerPartition}
}

// readBases reads the base versions of services and returns the end of their partition. They
// are far fewer than the records of one page.
func (a *Archiver) readBases(ctx context.Context, services []identifier.ServiceName) (end identifier.LogOffset, err error) {
	listed := make(map[identifier.ServiceName][]identifier.SoftwareVersion)
	for _, s := range services {
		listed[s] = a.catalog.ListedSoftware(s)
	}
	page, err := a.log.Newest(ctx, a.ledger(), baseKey)
	if err != nil {
		return 0, err
	}
	a.applyBases(page.Records, listed)
	return page.End, nil
}

// findBase is Base as of a moment after the call. What was read before may be outdated at a
// host that was out of touch.
func (a *Archiver) findBase(ctx context.Context, s identifier.ServiceName) (identifier.SoftwareVersion, bool) {
	if _, err := a.readBases(ctx, []identifier.ServiceName{s}); err != nil {
		return "", false
	}
	return a.Base(s)
}

// isOutdated reports whether the base version of a service has to be read.
func (a *Archiver) isOutdated(s identifier.ServiceName) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	b, ok := a.bases[s]
	listed := a.catalog.ListedSoftware(s)
	return !ok || !slices.Equal(b.listed, listed) || !slices.Contains(listed, b.software) && a.clock.Since(a.ledgerReadAt) > rereadInterval
}

func (a *Archiver) applyBases(records []storer.Record, listed map[identifier.ServiceName][]identifier.SoftwareVersion) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ledgerReadAt = a.clock.Now()
	for _, r := range records {
		name, ok := strings.CutPrefix(r.Key, baseKey)
		if !ok {
			continue
		}
		var b baseRecord
		if err := serializer.Decode(r.Value, &b); err != nil {
			klog.ErrorS(err, "unreadable base version", "key", r.Key, "offset", r.Offset)
			continue
		}
		s := identifier.ServiceName(name)
		current, known := a.bases[s]
		if known && r.Offset < current.offset {
			continue
		}
		if current.software != b.Software {
			klog.InfoS("base version of software", "service", s, "software", b.Software, "offset", r.Offset)
		}
		a.bases[s] = base{software: b.Software, listed: listed[s], offset: r.Offset}
	}
}

// name writes the base version of a service if it has none, or if the one that it has is long
// gone. Another host may do so at the same moment; the first one to write wins.
func (a *Archiver) name(ctx context.Context, end identifier.LogOffset, s identifier.ServiceName) {
	if current, ok := a.Base(s); ok && !a.catalog.SoftwareGone(s, current) {
		return
	}
	software, ok := a.catalog.MostListedSoftware(s)
	if !ok {
		return
	}
	value, err := serializer.Encode(baseRecord{Software: software})
	if err != nil {
		klog.ErrorS(err, "base version can't be encoded", "service", s)
		return
	}
	_, err = a.log.Append(ctx, a.ledger(), end, []storer.Record{{Key: baseKey + string(s), Value: value}})
	var mismatch *storer.EndMismatchError
	if err != nil && !errors.As(err, &mismatch) {
		klog.InfoS("base version not named yet", "service", s, "software", software, "err", err)
	}
	// What was written is read at the next review.
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.bases, s)
}
