package jobstorer

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/storage/serializer"
	"github.com/lycheeladder/lycheeladder/ladder/storer"
)

// A submission may need several records and several appends, and the same submission may
// be written by several processes at once, each of which may stop at any append. The
// encoding is canonical, and the keys of the pieces contain a digest of the whole, so that
// pieces under one digest always belong together.

// piece is a part of an encoded submission.
type piece struct {
	data []byte
	// readAt is when the local copy got it.
	readAt time.Time
}

// jobRecord is the value of a job's record. It is the only part of a job that differs
// between processes which accept the same submission.
type jobRecord struct {
	// Digest is part of the keys of the pieces; it is empty in records of builds that did
	// not write one.
	Digest string `cbor:"1,keyasint"`
	// Pieces is the number of pieces.
	Pieces int `cbor:"2,keyasint"`
	// AcceptedAt is in milliseconds since 1970, by the clock of the accepting host.
	AcceptedAt int64 `cbor:"3,keyasint"`
}

// submissionRecords returns the records of a job in the order in which they must be
// stored, in pieces of pieceBytes.
func submissionRecords(s Submission, pieceBytes int) (records []storer.Record, err error) {
	record := jobRecord{AcceptedAt: s.AcceptedAt}
	s.AcceptedAt = 0
	data, err := serializer.Encode(s)
	if err != nil {
		return nil, err
	}
	record.Digest = digestOf(data, pieceBytes)
	for ; len(data) > 0; record.Pieces++ {
		size := min(pieceBytes, len(data))
		records = append(records, storer.Record{Key: prefixPiece + pieceKey(s.ID, record.Digest, record.Pieces), Value: data[:size]})
		data = data[size:]
	}
	value, err := serializer.Encode(record)
	return append(records, storer.Record{Key: prefixJob + string(s.ID), Value: value}), err
}

// digestOf returns the digest of an encoded submission that is split into pieces of
// pieceBytes.
func digestOf(data []byte, pieceBytes int) string {
	digest := xxhash.New()
	_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, uint64(pieceBytes))) // never fails
	_, _ = digest.Write(data)
	return fmt.Sprintf("%016x", digest.Sum64())
}

func pieceKey(id identifier.JobID, digest string, n int) string {
	if digest == "" {
		return indexedKey(id, n)
	}
	return string(id) + "/" + digest + "/" + strconv.Itoa(n)
}

// jobsOfPiece returns the jobs that a piece may belong to: with a digest in its key, and
// without.
func jobsOfPiece(key string) (list [2]identifier.JobID) {
	withoutNumber := key[:max(0, strings.LastIndexByte(key, '/'))]
	withoutDigest := withoutNumber[:max(0, strings.LastIndexByte(withoutNumber, '/'))]
	return [2]identifier.JobID{identifier.JobID(withoutDigest), identifier.JobID(withoutNumber)}
}

// parseJobRecord reads the value of a job's record. Builds that wrote no digest wrote the
// number of pieces in decimal.
func parseJobRecord(value []byte) (r jobRecord, err error) {
	if r.Pieces, err = strconv.Atoi(string(value)); err == nil {
		return r, nil
	}
	return r, serializer.Decode(value, &r)
}

// applyPiece keeps a piece until its job record is read. The caller must hold the mutex.
func (t *jobTable) applyPiece(key string, data []byte) {
	if len(data) == 0 {
		delete(t.pieces, key)
		return
	}
	for _, id := range jobsOfPiece(key) {
		if state, known := t.jobs[id]; known && state.pieceKeys[key] {
			return
		}
	}
	t.pieces[key] = piece{data: data, readAt: t.clock.Now()}
}

// assemble is decode, drops the pieces, and returns the bytes that they had. The caller must hold
// the mutex.
func (t *jobTable) assemble(id identifier.JobID, value []byte) (s Submission, keys map[string]bool, size int64, err error) {
	if s, keys, err = t.decode(id, value); err != nil {
		return s, nil, 0, err
	}
	for key := range keys {
		size += int64(len(t.pieces[key].data))
		delete(t.pieces, key)
	}
	return s, keys, size, nil
}

// decode returns the submission that a job record stands for, and the keys of its
// pieces. The caller must hold the mutex.
func (t *jobTable) decode(id identifier.JobID, value []byte) (s Submission, keys map[string]bool, err error) {
	record, err := parseJobRecord(value)
	if err != nil {
		return s, nil, err
	}
	if record.Pieces < 1 || record.Pieces > len(t.pieces) {
		return s, nil, errors.Errorf("job record claims %d pieces, at most %d exist", record.Pieces, len(t.pieces))
	}
	var data []byte
	keys = make(map[string]bool, record.Pieces)
	for n := range record.Pieces {
		key := pieceKey(id, record.Digest, n)
		p, ok := t.pieces[key]
		if !ok {
			return s, nil, errors.Errorf("piece %d of %d is missing", n, record.Pieces)
		}
		data = append(data, p.data...)
		keys[key] = true
	}
	if err := serializer.Decode(data, &s); err != nil {
		return s, nil, err
	}
	if record.AcceptedAt > 0 {
		s.AcceptedAt = record.AcceptedAt
	}
	return s, keys, nil
}

// dropPieces drops the pieces of a known job that was submitted again in another encoding.
// They are deleted with the job. The caller must hold the mutex.
func (t *jobTable) dropPieces(id identifier.JobID, state *jobState, value []byte) {
	record, err := parseJobRecord(value)
	if err != nil {
		return
	}
	for n := range min(record.Pieces, len(t.pieces)) {
		key := pieceKey(id, record.Digest, n)
		if _, ok := t.pieces[key]; ok {
			state.pieceKeys[key] = true
			delete(t.pieces, key)
		}
	}
}

// addUnreadable keeps a job from being taken for unknown, and its pieces from being deleted. The
// caller must hold the mutex.
func (t *jobTable) addUnreadable(id identifier.JobID) {
	job, known := t.unreadable[id]
	if !known {
		job = &unreadableJob{pieceKeys: make(map[string]bool), readAt: t.clock.Now()}
		t.unreadable[id] = job
	}
	for key := range t.pieces {
		if list := jobsOfPiece(key); list[0] == id || list[1] == id {
			job.pieceKeys[key] = true
		}
	}
}

// unreadableDeletions returns the records that delete jobs that can't be read, have ended and are
// past their retention. The caller must hold the mutex.
func (t *jobTable) unreadableDeletions(retention time.Duration) (records []storer.Record) {
	for id, job := range t.unreadable {
		if !job.ended || t.clock.Since(job.readAt) < retention {
			continue
		}
		for key := range job.pieceKeys {
			records = append(records, storer.Record{Key: prefixPiece + key})
		}
		records = append(records, storer.Record{Key: prefixEnd + string(id)}, storer.Record{Key: prefixJob + string(id)})
	}
	return records
}

// belongsToUnreadable reports whether a piece may be that of a job that can't be read. The caller
// must hold the mutex.
func (t *jobTable) belongsToUnreadable(key string) bool {
	for _, id := range jobsOfPiece(key) {
		if job, ok := t.unreadable[id]; ok && job.pieceKeys[key] {
			return true
		}
	}
	return false
}

// orphanDeletions returns the records that delete pieces which have had no job record for
// the retention, as when the caller left before its job was accepted. No process still
// writes such a submission. The caller must hold the mutex.
func (t *jobTable) orphanDeletions(retention time.Duration) (records []storer.Record) {
	for key, p := range t.pieces {
		if t.clock.Since(p.readAt) < retention || t.belongsToUnreadable(key) {
			continue
		}
		if records = append(records, storer.Record{Key: prefixPiece + key}); len(records) > maxDeletionRecords {
			break
		}
	}
	return records
}
