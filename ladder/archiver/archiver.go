// Package archiver keeps in the platform's store where streams began, as far as that has to
// outlive the memory of all hosts.
package archiver

import (
	"context"
	"crypto/sha256"
	"fmt"
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
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
	"github.com/lycheeladder/lycheeladder/ladder/subsetter"
)

// The store names one base version of the software for each service. Streams that begin at
// the base version are not recorded, all others are, before their first event is passed on.
// A stream that no host knows and that has no record therefore began at the base version.
// So nothing is written for a stream as long as a service has one version.
//
// The records are in a few partitions. For each of them one host, which all rank first, writes
// the records of all hosts, many at once, and looks them up. If it can't be reached, a host
// uses the store itself.

const (
	// ledgerPartition has the base versions, the streamPartitions after it the streams.
	ledgerPartition  = 0
	streamPartitions = 4
	// baseKey precedes the name of a service, streamKey and correctionKey the id of a stream.
	baseKey, streamKey, correctionKey = "base/", "stream/", "correction/"
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
}

// Archiver keeps the origins of streams in the store.
type Archiver struct {
	clock   clockwork.Clock
	log     storer.Log
	catalog *cataloger.Cataloger
	options Options
	writers []*batcher.Batcher
	// snapshots has what was read of each partition of streams.
	snapshots []*snapshot

	mutex sync.Mutex
	bases map[identifier.ServiceName]base
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
}

// New returns an Archiver that knows no base versions until Run.
func New(clock clockwork.Clock, log storer.Log, c *cataloger.Cataloger, o Options) *Archiver {
	a := &Archiver{clock: clock, log: log, catalog: c, options: o, bases: make(map[identifier.ServiceName]base)}
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

// Save writes where a stream began unless that follows from the base version. It waits a
// short time for the store and reports whether the stream can be found. It has to be called
// with corrects if it was called for the stream before with another version.
func (a *Archiver) Save(ctx context.Context, o messenger.StreamOrigin, corrects bool) bool {
	if !corrects && a.isBase(o.Service, o.Software) {
		return true
	}
	if address := a.writerOf(a.numberOf(o.Stream)); address != a.options.Self {
		r, ok := querier.AskBriefly(ctx, a.clock, a.options.Peers, address, messenger.Question{ArchiveOrigin: &o, Corrects: corrects}, peerSaveTimeout)
		if ok && r.Archived {
			return true
		}
	}
	if a.SaveForPeer(ctx, o, corrects) {
		return true
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failedAt = a.clock.Now()
	return false
}

// SaveForPeer writes where a stream of this or another host began, and reports whether the
// store has it. If the store doesn't answer, it is written later. A correction has a key of its
// own, as the store may execute the append that it corrects after it.
func (a *Archiver) SaveForPeer(ctx context.Context, o messenger.StreamOrigin, corrects bool) bool {
	value, err := serializer.Encode(streamRecord{Service: o.Service, Software: o.Software, SavedAt: a.clock.Now().UnixMilli()})
	if err != nil {
		klog.ErrorS(err, "stream's origin can't be encoded", "stream", o.Stream)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	w := a.writers[a.numberOf(o.Stream)]
	failing := w.Failing()
	prefix := streamKey
	if corrects {
		prefix = correctionKey
	}
	saved := w.Add(storer.Record{Key: keyOf(prefix, o.Stream), Value: value})
	if failing {
		return false
	}
	select {
	case <-saved:
		return true
	case <-ctx.Done():
		return false
	}
}

// Find returns where a stream began that no host knows: according to its record, or else at
// the base version of the service. It returns nil if that can't be told.
func (a *Archiver) Find(ctx context.Context, id identifier.StreamID, s identifier.ServiceName) *messenger.StreamOrigin {
	o, read := a.lookUp(ctx, id)
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
	value, ok := records[keyOf(correctionKey, id)]
	if !ok {
		value, ok = records[keyOf(streamKey, id)]
	}
	if !ok {
		return nil, true
	}
	var r streamRecord
	if err := serializer.Decode(value, &r); err != nil {
		klog.ErrorS(err, "unreadable origin of a stream", "stream", id)
		return nil, false
	}
	return &messenger.StreamOrigin{Stream: id, Service: r.Service, Software: r.Software}, true
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
			if !strings.HasPrefix(key, baseKey) && (serializer.Decode(value, &r) != nil || a.clock.Since(time.UnixMilli(r.SavedAt)) > retention) {
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
