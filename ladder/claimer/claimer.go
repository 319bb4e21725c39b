// Package claimer decides which of several senders may run a request that
// must run at most once.
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

// A claim is an append to the platform's log. The first claim of a generation
// in log order wins, whoever reads it. It names the one sidecar incarnation
// that may run the request; the next generation may be claimed only after
// that incarnation has left a tombstone.
//
// Claims are spread over many streams by their key's hash, so that a reader
// reads only the few records beside its own and keeps nothing between calls.

const (
	// streamCount is part of the format: all entries must agree on it.
	streamCount = 4096
	// pageRecords is how many records one read asks for.
	pageRecords = 512
)

// Claim is one record of a claims stream.
type Claim struct {
	// Key is unique per team.
	Key string `json:"key"`
	// ID is fresh for every append.
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

// Won says that the caller's claim holds: it alone may start the request.
type Won struct{}

// Lost names the claim that holds instead.
type Lost struct{ Holder Claim }

// Undecided says that the log didn't tell. The claim may still take effect.
type Undecided struct{ Err error }

func (Won) verdict()       {}
func (Lost) verdict()      {}
func (Undecided) verdict() {}

// Claimer makes claims.
type Claimer struct {
	clock clockwork.Clock
	log   appender.Log
	// maxAge is shorter than the log keeps claims.
	maxAge time.Duration
}

// New returns a Claimer that takes keys issued at most maxAge ago.
func New(clock clockwork.Clock, log appender.Log, maxAge time.Duration) *Claimer {
	return &Claimer{clock: clock, log: log, maxAge: maxAge}
}

var (
	// ErrInvalidKey says that a key is not a UUIDv7.
	ErrInvalidKey = errors.New("idempotency key is not a UUID of version 7")
	// ErrKeyTooOld says that claims on the key may have left the log.
	ErrKeyTooOld = errors.New("idempotency key is too old")
)

// maxAhead is how far a caller's clock may be ahead of ours.
const maxAhead = time.Minute

// CheckKey returns ErrInvalid or ErrTooOld for a key that can't be claimed.
func (c *Claimer) CheckKey(key identifier.IdempotencyKey) error {
	id, err := uuid.Parse(string(key))
	if err != nil || id.Version() != 7 {
		return ErrInvalidKey
	}
	seconds, nanoseconds := id.Time().UnixTime()
	age := c.clock.Now().Sub(time.Unix(seconds, nanoseconds))
	if age < -maxAhead {
		return ErrInvalidKey
	}
	if age > c.maxAge {
		return ErrKeyTooOld
	}
	return nil
}

// ClaimKey returns the claim key of a team's idempotency key.
func ClaimKey(team identifier.TeamName, key identifier.IdempotencyKey) string {
	return string(team) + "/" + string(key)
}

// Claim appends the claim, and reads the stream back until it can tell which
// claim holds: the first of the highest generation.
func (c *Claimer) Claim(ctx context.Context, claim Claim) Verdict {
	claim.ID = uuid.Must(uuid.NewV7()).String()
	holder, err := c.settle(ctx, claim)
	switch {
	case err != nil:
		return Undecided{Err: err}
	case holder.ID == claim.ID:
		return Won{}
	default:
		return Lost{Holder: holder}
	}
}

func (c *Claimer) settle(ctx context.Context, claim Claim) (holder Claim, err error) {
	defer annotator.Annotate(&err, "claim %s", claim.Key)
	data, err := json.Marshal(claim)
	if err != nil {
		return holder, err
	}
	s := streamOf(claim.Key)
	// A lost answer is no failure: what the log says afterwards counts.
	if _, err := c.log.Append(ctx, s, [][]byte{data}); err != nil && !errors.Is(err, appender.ErrOutcomeUnknown) {
		return holder, err
	}
	chain, err := c.read(ctx, s, claim.Key)
	if err != nil {
		return holder, err
	}
	if len(chain) == 0 {
		return holder, errors.New("own claim not in the log")
	}
	return chain[len(chain)-1], nil
}

// read returns the holder of each generation of key, oldest first.
func (c *Claimer) read(ctx context.Context, s identifier.StreamName, key string) ([]Claim, error) {
	var chain []Claim
	var from identifier.LogOffset
	for {
		page, err := c.log.Read(ctx, s, from, pageRecords)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			var claim Claim
			if json.Unmarshal(record.Data, &claim) != nil || claim.Key != key {
				continue
			}
			if int(claim.Generation) == len(chain)+1 {
				chain = append(chain, claim)
			}
		}
		if len(page.Records) == 0 || page.Records[len(page.Records)-1].Offset+1 >= page.Next {
			return chain, nil
		}
		from = page.Records[len(page.Records)-1].Offset + 1
	}
}

func streamOf(key string) identifier.StreamName {
	return identifier.StreamName(fmt.Sprintf("%s-%d", appender.StreamClaims, xxhash.Sum64String(key)%streamCount))
}
