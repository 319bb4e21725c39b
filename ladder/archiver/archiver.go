// Package archiver keeps in the platform's store where streams began, as far as that has to
// outlive the memory of all hosts.
package archiver

import (
	"context"
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/batcher"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/origins/arbiter"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// The store names one base version of the software for each service. Streams that begin at
// the base version are not recorded, all others are, before their first event is passed on.
// A stream that no host knows and that has no record therefore began at the base version.
// So nothing is written for a stream as long as a service has one version. While a stream can't
// be recorded, it doesn't begin at another version, unless a missing record proves nothing anyway
// as the base version is being replaced.
//
// The records are in a few partitions. For each of them one host, which all rank first, writes
// the records of all hosts, many at once, and looks them up. If it can't be reached, a host
// uses the store itself.

const (
	// ledgerPartition has the base versions, the streamPartitions after it the streams.
	ledgerPartition  = 0
	streamPartitions = 4
	// baseKey precedes the name of a service, hostKey the address of a host, streamKey and
	// correctionKey the id of a stream.
	baseKey, hostKey, streamKey, correctionKey = "base/", "host/", "stream/", "correction/"
	// retention is how long the record of a stream is kept. Hosts keep origins for 2 minutes.
	retention = 3 * time.Minute
	// sweepInterval is the interval at which old records are deleted.
	sweepInterval = time.Minute
	// saveTimeout bounds the wait for the store when the origin of a stream is written,
	// peerSaveTimeout that for the host that writes it. The stream's first event waits for
	// both; the callers' requirements allow it to be 120 ms late.
	saveTimeout, peerSaveTimeout = 50 * time.Millisecond, 40 * time.Millisecond
	// askTimeout bounds the wait for another host's look-up, readTimeout for the store.
	askTimeout, readTimeout = 400 * time.Millisecond, 500 * time.Millisecond
	// maxIDBytes is the length up to which an id is part of a key as it is.
	maxIDBytes = 128
	// maxDeletions bounds the records that are deleted at once.
	maxDeletions = 1000
)

// Options are the settings of an Archiver.
type Options struct {
	Topic identifier.TopicName
	// Partitions is the number of partitions of the topic.
	Partitions int
	// Self is this host's address as a peer.
	Self string
	// Members returns the addresses of the hosts that the store lists.
	Members func() []string
	Peers   querier.Peers
	// Known returns the origins of a service's streams that this host knows; nil means none.
	Known func(identifier.ServiceName) []messenger.StreamOrigin
}

// Archiver keeps the origins of streams in the store.
type Archiver struct {
	clock   clockwork.Clock
	log     storer.Log
	catalog *cataloger.Cataloger
	options Options
	writers []*batcher.Batcher
	// snapshots has what was read of each partition of streams.
	snapshots   []*snapshot
	incarnation identifier.Incarnation
	startedAt   time.Time

	// writtenUpTo is the offset of the base version for which the origins known here were last
	// handed to the writers, and unwritten the signals of those that aren't saved yet. Both are
	// used by Run only.
	writtenUpTo identifier.LogOffset
	unwritten   []<-chan struct{}

	mutex sync.Mutex
	bases map[identifier.ServiceName]base
	// uncertain has when the store failed to answer for streams whose record may have to be
	// corrected.
	uncertain    map[identifier.StreamID]time.Time
	registration registration
	// seenHosts has the registered hosts by their addresses.
	seenHosts map[string]seenHost
	// failedAt is when this host last failed to write an origin in time.
	failedAt time.Time
	// ledgerReadAt is when the base versions were last read.
	ledgerReadAt time.Time
}

// streamRecord is the value of a stream's record.
type streamRecord struct {
	Service  identifier.ServiceName     `cbor:"1,keyasint"`
	Software identifier.SoftwareVersion `cbor:"2,keyasint,omitempty"`
	// SavedAt is the time by the clock of the writing host, in ms since 1970. It only tells
	// when the record may be deleted.
	SavedAt int64 `cbor:"3,keyasint"`
	// The others are those of messenger.StreamOrigin.
	Target   identifier.TargetName `cbor:"4,keyasint,omitempty"`
	StartID  int64                 `cbor:"5,keyasint,omitempty"`
	Unlisted bool                  `cbor:"6,keyasint,omitempty"`
	Anew     uint32                `cbor:"7,keyasint,omitempty"`
}

// New returns an Archiver that knows no base versions until Run.
func New(clock clockwork.Clock, log storer.Log, c *cataloger.Cataloger, o Options) *Archiver {
	a := &Archiver{
		clock: clock, log: log, catalog: c, options: o, bases: make(map[identifier.ServiceName]base), seenHosts: make(map[string]seenHost), uncertain: make(map[identifier.StreamID]time.Time),
		incarnation: identifier.NewIncarnation(), startedAt: clock.Now(),
	}
	for range min(streamPartitions, max(1, o.Partitions-1)) {
		a.writers = append(a.writers, batcher.New(clock, log, a.partition(len(a.writers))))
		a.snapshots = append(a.snapshots, &snapshot{reading: make(chan struct{}, 1)})
	}
	return a
}

// partition returns the partition of streams with the given number.
func (a *Archiver) partition(n int) storer.Partition {
	return storer.Partition{Topic: a.options.Topic, Number: identifier.PartitionNumber(min(n+ledgerPartition+1, a.options.Partitions-1))}
}

func (a *Archiver) numberOf(id identifier.StreamID) int {
	return int(xxhash.Sum64String(string(id)) % uint64(len(a.writers)))
}

// writerOf returns the address of the host that writes the partition of a stream.
func (a *Archiver) writerOf(n int) string {
	if ranked := subsetter.Rank(a.partition(n).String(), a.options.Members()); len(ranked) > 0 {
		return ranked[0]
	}
	return a.options.Self
}

// Save writes where a stream began unless that follows from the base version, and returns what the
// store tells of the stream. It waits a short time for the store. It has to be called with corrects
// if it was called for the stream before with another version, and after the host that keeps
// the origin knows it.
func (a *Archiver) Save(ctx context.Context, o messenger.StreamOrigin, corrects bool) arbiter.Evidence {
	if !corrects && a.evidenceWithoutRecord(o.Service, o.Software) == arbiter.Proven {
		return arbiter.Proven
	}
	written := a.write(ctx, o, corrects)
	if written == Written {
		return arbiter.Proven
	}
	a.mutex.Lock()
	a.failedAt = a.clock.Now()
	if written == NotAnswered && !corrects {
		a.uncertain[o.Stream] = a.failedAt
	}
	_, uncertain := a.uncertain[o.Stream]
	a.mutex.Unlock()
	evidence := a.evidenceWithoutRecord(o.Service, o.Software)
	if corrects && uncertain {
		return max(evidence, arbiter.Uncertain)
	}
	return evidence
}

// write writes where a stream began by way of the host that writes its partition, or else itself.
func (a *Archiver) write(ctx context.Context, o messenger.StreamOrigin, corrects bool) WriteResult {
	byPeer := Refused
	if address := a.writerOf(a.numberOf(o.Stream)); address != a.options.Self {
		r, _ := querier.AskBriefly(ctx, a.clock, a.options.Peers, address, messenger.Question{ArchiveOrigin: &o, Corrects: corrects}, peerSaveTimeout)
		switch {
		case r.Archived:
			return Written
		case !r.NotArchived:
			byPeer = NotAnswered
		}
	}
	return max(byPeer, a.SaveForPeer(ctx, o, corrects))
}

// WriteResult says what became of a record.
type WriteResult int

const (
	// Refused means that the store has refused the record so far.
	Refused WriteResult = iota
	// NotAnswered means that the store may have the record.
	NotAnswered
	// Written means that the store has the record.
	Written
)

// SaveForPeer writes where a stream of this or another host began. If the store doesn't take it, it
// is written later. A correction has a key of its own, as the store may execute the append that it
// corrects after it.
func (a *Archiver) SaveForPeer(ctx context.Context, o messenger.StreamOrigin, corrects bool) WriteResult {
	prefix := streamKey
	if corrects {
		prefix = correctionKey
	}
	record, ok := a.recordOf(prefix, o)
	if !ok {
		return Refused
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	writer := a.writers[a.numberOf(o.Stream)]
	failing := writer.Failing()
	w := writer.Write(record)
	if !failing {
		select {
		case <-w.Saved():
			return Written
		case <-w.Refused():
		case <-ctx.Done():
		}
	}
	if writer.MayExist(w) {
		return NotAnswered
	}
	return Refused
}

// recordOf returns the record of a stream under a key with the given prefix.
func (a *Archiver) recordOf(prefix string, o messenger.StreamOrigin) (storer.Record, bool) {
	value, err := serializer.Encode(streamRecord{
		Service: o.Service, Software: o.Software, SavedAt: a.clock.Now().UnixMilli(),
		Target: o.Target, StartID: o.StartID, Unlisted: o.Unlisted, Anew: o.Anew,
	})
	if err != nil {
		klog.ErrorS(err, "stream's origin can't be encoded", "stream", o.Stream)
		return storer.Record{}, false
	}
	return storer.Record{Key: keyOf(prefix, o.Stream), Value: value}, true
}

// Find returns where a stream began that no host knows: according to its record, or else at
// the base version of the service. It returns nil if that can't be told.
func (a *Archiver) Find(ctx context.Context, id identifier.StreamID, s identifier.ServiceName) *messenger.StreamOrigin {
	o, read := a.lookUp(ctx, id)
	if o != nil {
		*o = arbiter.Resolve(*o, a.catalog)
	}
	if o != nil || !read || s == "" {
		return o
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if software, ok := a.findBase(ctx, s); ok {
		return &messenger.StreamOrigin{Stream: id, Service: s, Software: software}
	}
	return nil
}

// lookUp returns the record of a stream, and false if the records couldn't be read.
func (a *Archiver) lookUp(ctx context.Context, id identifier.StreamID) (o *messenger.StreamOrigin, read bool) {
	if id == "" {
		return nil, false
	}
	if address := a.writerOf(a.numberOf(id)); address != a.options.Self {
		r, ok := querier.AskBriefly(ctx, a.clock, a.options.Peers, address, messenger.Question{FindArchived: id}, askTimeout)
		if ok && r.Archived {
			return r.Origin, true
		}
	}
	return a.FindForPeer(ctx, id)
}

// FindForPeer returns the record of a stream for this or another host, and false if the
// records couldn't be read.
func (a *Archiver) FindForPeer(ctx context.Context, id identifier.StreamID) (o *messenger.StreamOrigin, read bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	n := a.numberOf(id)
	records, err := a.snapshots[n].get(ctx, a.clock, func() (map[string][]byte, error) { return a.read(ctx, a.partition(n)) })
	if err != nil {
		klog.InfoS("origins of streams can't be read", "partition", a.partition(n).String(), "err", err)
		return nil, false
	}
	var found *messenger.StreamOrigin
	for _, prefix := range []string{correctionKey, streamKey} {
		value, ok := records[keyOf(prefix, id)]
		if !ok {
			continue
		}
		var r streamRecord
		if err := serializer.Decode(value, &r); err != nil {
			klog.ErrorS(err, "unreadable origin of a stream", "stream", id)
			return nil, false
		}
		o := r.origin(id)
		if found != nil {
			o = arbiter.Newer(*found, o)
		}
		found = &o
	}
	return found, true
}

// origin returns the origin of the stream of a record.
func (r streamRecord) origin(id identifier.StreamID) messenger.StreamOrigin {
	return messenger.StreamOrigin{
		Stream: id, Service: r.Service, Software: r.Software, Target: r.Target, StartID: r.StartID, Unlisted: r.Unlisted, Anew: r.Anew,
	}
}

// keyOf returns the key of a stream's record. Callers choose the ids, and keys have at most 255
// bytes.
func keyOf(prefix string, id identifier.StreamID) string {
	if len(id) <= maxIDBytes {
		return prefix + string(id)
	}
	return prefix + fmt.Sprintf("%x", sha256.Sum256([]byte(id)))
}

// read returns the newest records of a partition.
func (a *Archiver) read(ctx context.Context, p storer.Partition) (map[string][]byte, error) {
	list, _, err := storer.ReadPages(func(after string) (storer.SnapshotPage, error) { return a.log.Newest(ctx, p, after) })
	if err != nil {
		return nil, err
	}
	records := make(map[string][]byte, len(list))
	for _, r := range list {
		records[r.Key] = r.Value
	}
	return records, nil
}

// sweep deletes old records of the partitions that this host writes.
func (a *Archiver) sweep(ctx context.Context) {
	a.mutex.Lock()
	maps.DeleteFunc(a.uncertain, func(_ identifier.StreamID, at time.Time) bool { return a.clock.Since(at) > retention })
	a.mutex.Unlock()
	for n := range a.writers {
		if a.writerOf(n) != a.options.Self {
			continue
		}
		records, err := a.read(ctx, a.partition(n))
		if err != nil {
			continue
		}
		var old []storer.Record
		for key, value := range records {
			var r streamRecord
			isStream := strings.HasPrefix(key, streamKey) || strings.HasPrefix(key, correctionKey)
			if isStream && (serializer.Decode(value, &r) != nil || a.clock.Since(time.UnixMilli(r.SavedAt)) > retention) {
				old = append(old, storer.Record{Key: key})
			}
		}
		for batch := range slices.Chunk(old, maxDeletions) {
			if _, err := a.log.Append(ctx, a.partition(n), storer.AnyOffset, batch); err != nil {
				klog.InfoS("old origins of streams not deleted yet", "err", err)
				break
			}
		}
	}
}

// snapshot is what was last read of a partition.
type snapshot struct {
	// reading is a semaphore: one read runs at a time.
	reading chan struct{}
	records map[string][]byte
	// readAt is when the read began.
	readAt time.Time
}

// get returns the records of the partition as of a moment after the call. Calls that wait at the
// same time share a read.
func (s *snapshot) get(ctx context.Context, clock clockwork.Clock, read func() (map[string][]byte, error)) (map[string][]byte, error) {
	calledAt := clock.Now()
	select {
	case s.reading <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-s.reading }()
	if s.records != nil && s.readAt.After(calledAt) {
		return s.records, nil
	}
	at := clock.Now()
	records, err := read()
	if err == nil {
		s.records, s.readAt = records, at
	}
	return records, err
}
