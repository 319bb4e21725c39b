// Package claimer decides which of several senders may run a request that must
// run at most once.
package claimer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/annotator"
	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// A claim is a record appended to the platform's log. The first claim of a
// generation in log order wins, for every reader alike. It names the one
// sidecar incarnation that may run the request. The next generation may be
// claimed only after that incarnation has recorded a tombstone, which ensures
// that it never starts the request.
//
// Claims are distributed over many streams by the hash of their key. A reader
// therefore reads only a few records besides those of its key, and keeps no
// state between calls.

const (
	// streamCount is part of the log format: all entries must use the same
	// value.
	streamCount = 4096
	// pageRecords is the number of records requested per read.
	pageRecords = 512
)

// Claim is one record of a claims stream.
type Claim struct {
	// Key is unique per team.
	Key string `json:"key"`
	// ID is unique per append.
	ID string `json:"id"`
	// Generation counts from 1.
	Generation  uint32                   `json:"generation"`
	Fingerprint identifier.Fingerprint   `json:"fingerprint"`
	Request     identifier.RequestID     `json:"request"`
	Attempt     identifier.AttemptNumber `json:"attempt"`
	Target      identifier.TargetName    `json:"target"`
	Incarnation identifier.Incarnation   `json:"incarnation"`
}

// Verdict is Won, Lost or Undecided.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Won means that the caller's claim holds: it alone may start the request.
type Won struct{}

// Lost means that another claim holds.
type Lost struct{ Holder Claim }

// Undecided means that the log did not show which claim holds. The caller's
// claim may still take effect.
type Undecided struct{ Err error }

func (Won) verdict()       {}
func (Lost) verdict()      {}
func (Undecided) verdict() {}

// Claimer appends claims to a log.
type Claimer struct {
	clock clockwork.Clock
	log   appender.Log
	// maxAge is shorter than the log's retention of claims.
	maxAge time.Duration
}

// New returns a Claimer that accepts keys issued at most maxAge ago.
func New(clock clockwork.Clock, log appender.Log, maxAge time.Duration) *Claimer {
	return &Claimer{clock: clock, log: log, maxAge: maxAge}
}

var (
	// ErrInvalidKey means that a key is not a UUIDv7, or was issued in the
	// future.
	ErrInvalidKey = errors.New("idempotency key is not a UUID of version 7")
	// ErrKeyTooOld means that the log may no longer contain the claims of the
	// key.
	ErrKeyTooOld = errors.New("idempotency key is too old")
)

// maxClockAhead is how far a caller's clock may be ahead of the local one.
const maxClockAhead = time.Minute

// CheckKey returns ErrInvalidKey or ErrKeyTooOld for a key that can't be
// claimed.
func (c *Claimer) CheckKey(key identifier.IdempotencyKey) error {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return ErrInvalidKey
	}
	seconds, nanoseconds := id.Time().UnixTime()
	age := c.clock.Now().Sub(time.Unix(seconds, nanoseconds))
	if age < -maxClockAhead {
		return ErrInvalidKey
	}
	if age > c.maxAge {
		return ErrKeyTooOld
	}
	return nil
}

// ClaimKey returns the claim key for an idempotency key of a team.
func ClaimKey(team identifier.TeamName, key identifier.IdempotencyKey) string {
	return string(team) + "/" + string(key)
}

// Claim appends the claim and reads the stream back to find the claim that
// holds: the first of the highest generation.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Verdict {
	claim.ID = uuid.Must(uuid.NewV7()).String()
	holder, err := c.resolve(ctx, claim)
	switch {
	case err != nil:
		return Undecided{Err: err}
	case holder.ID == claim.ID:
		return Won{}
	default:
		return Lost{Holder: holder}
	}
}

func (c *Claimer) resolve(ctx context.Context, claim Claim) (holder Claim, err error) {
	defer annotator.Annotate(&err, "claim %s", claim.Key)
	data, err := json.Marshal(claim)
	if err != nil {
		return holder, err
	}
	stream := streamOf(claim.Key)
	// The append may have taken effect although its response was lost; the
	// records read afterwards decide.
	if _, err := c.log.Append(ctx, stream, [][]byte{data}); err != nil && !errors.Is(err, appender.ErrOutcomeUnknown) {
		return holder, err
	}
	holders, err := c.readHolders(ctx, stream, claim.Key)
	if err != nil {
		return holder, err
	}
	if len(holders) == 0 {
		return holder, errors.New("claim not found in the log after the append")
	}
	return holders[len(holders)-1], nil
}

// readHolders returns the claim that holds each generation of key, oldest
// first.
func (c *Claimer) readHolders(ctx context.Context, stream identifier.StreamName, key string) ([]Claim, error) {
	var holders []Claim
	var from identifier.LogOffset
	for {
		page, err := c.log.Read(ctx, stream, from, pageRecords)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			var claim Claim
			if json.Unmarshal(record.Data, &claim) != nil || claim.Key != key {
				continue
			}
			if int(claim.Generation) == len(holders)+1 {
				holders = append(holders, claim)
			}
		}
		if len(page.Records) == 0 || page.Records[len(page.Records)-1].Offset+1 >= page.Next {
			return holders, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}

func streamOf(key string) identifier.StreamName {
	return identifier.StreamName(fmt.Sprintf("%s-%d", appender.StreamClaims, xxhash.Sum64String(key)%streamCount))
}
