// Package joiner keeps this process in a group of the platform's store, which assigns
// the partitions of the batch jobs to its members.
package joiner

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Two processes may briefly own the same partition. That only duplicates work,
// because results are written conditionally.

// Generation numbers the changes of a group.
type Generation uint64

// Membership is the state of this member according to the store.
type Membership struct {
	Generation Generation
	Partitions []identifier.PartitionNumber
}

// Member identifies a group member by the address of its peer listener, IP:port. A
// process restarted on the same host is the same member, so that it gets its
// partitions back at once.
type Member string

// Group is the platform's group.
type Group interface {
	// Owners returns the members that own the partitions.
	Owners(ctx context.Context) (map[identifier.PartitionNumber]Member, error)
	// Join joins the group, or extends the membership by ttl.
	Join(ctx context.Context, ttl time.Duration, last Generation) (Membership, error)
	Leave(ctx context.Context) error
}

const (
	// workTTL is how long the store waits for a silent owner: three joins, one of
	// which is slow. It must be above the minimum of the users' store, 1 s.
	workTTL = 1500 * time.Millisecond
	// workInterval is the time between two joins of an owner.
	workInterval = 400 * time.Millisecond
	// presenceTTL and presenceInterval are the same for a group that only lists the
	// running processes.
	presenceTTL, presenceInterval = 10 * time.Second, 3 * time.Second
	// A process that starts joins a group of all processes earlyJoins times at
	// earlyInterval, so that processes that start together soon know each other.
	earlyJoins, earlyInterval = 6, 400 * time.Millisecond
	// joinTimeout bounds one join.
	joinTimeout = 700 * time.Millisecond
	// maxTimeWithoutStore is how long partitions are kept without an answer of the store.
	// No other process takes them over while the whole store is unavailable; a
	// process that alone is cut off does useless work for that long.
	maxTimeWithoutStore = 8 * time.Second
	// maxOwnersAge is the age above which the list of owners is read again when
	// needed.
	maxOwnersAge = 700 * time.Millisecond
	// ownersRetryDelay is the least time between two reads of the list of owners that are
	// made for requests. A store that refuses answers at once.
	ownersRetryDelay = 200 * time.Millisecond
)

// JoinPolicy tells whether a process takes on work that others could do.
type JoinPolicy bool

// The join policies.
const (
	JoinWhenNeeded JoinPolicy = true
	// JoinAsLastResort is for hosts that are too weak to work for others. They join
	// only a group without members.
	JoinAsLastResort JoinPolicy = false
)

// Random returns random numbers below n.
type Random interface{ IntN(n int) int }

// Renewal is how often a member renews its membership.
type Renewal struct {
	// TTL is how long the store waits for a silent member.
	TTL time.Duration
	// Interval is the time between two joins.
	Interval time.Duration
}

// The renewals of the two kinds of group.
var (
	WorkRenewal     = Renewal{TTL: workTTL, Interval: workInterval}
	PresenceRenewal = Renewal{TTL: presenceTTL, Interval: presenceInterval}
)

// Options are the settings of a Joiner.
type Options struct {
	Self       Member
	JoinPolicy JoinPolicy
	// WantedMembers returns how many members the group needs; if it is nil, every
	// process joins.
	WantedMembers func() int
	// Peers returns the names of the processes that may become members; nil means
	// none.
	Peers   func() []string
	Random  Random
	Renewal Renewal
}

// Joiner keeps this process in the group while the group needs it.
type Joiner struct {
	clock      clockwork.Clock
	group      Group
	self       Member
	joinPolicy JoinPolicy
	// wantedMembers returns how many members the group needs.
	wantedMembers func() int
	peers         func() []string
	random        Random
	renewal       Renewal
	// onChange is called after each change of the owned partitions.
	onChange func()

	// missingSince is when the group was first seen to lack a member, or zero. It is
	// only used by Run.
	missingSince time.Time

	mutex      sync.Mutex
	membership Membership
	// joinSentAt is when the last successful join was sent.
	joinSentAt time.Time
	// owners is the list of owners read from the store at ownersAt.
	owners   map[identifier.PartitionNumber]Member
	ownersAt time.Time
	// formerOwners holds, for each partition, the last member other than this process
	// that owned it before the one in owners.
	formerOwners map[identifier.PartitionNumber]Member
	// readingOwners is set while the list of owners is read in the background, and
	// nextOwnersRead is when that may begin again.
	readingOwners  bool
	nextOwnersRead time.Time
}

// New returns a Joiner that joins the group only when Run is called.
func New(clock clockwork.Clock, group Group, o Options, onChange func()) *Joiner {
	return &Joiner{
		clock: clock, group: group, self: o.Self, joinPolicy: o.JoinPolicy, wantedMembers: o.WantedMembers, peers: o.Peers, random: o.Random, renewal: o.Renewal, onChange: onChange,
		formerOwners: make(map[identifier.PartitionNumber]Member),
	}
}

// Run maintains the membership until ctx ends, and then leaves the group.
func (j *Joiner) Run(ctx context.Context) {
	for round := 0; ctx.Err() == nil; round++ {
		j.joinOrLeave(ctx)
		interval := j.renewal.Interval
		if j.wantedMembers == nil && round < earlyJoins {
			interval = min(interval, earlyInterval)
		}
		select {
		case <-j.clock.After(interval):
		case <-ctx.Done():
		}
	}
	j.leave(ctx)
}

// leave gives up the partitions.
func (j *Joiner) leave(ctx context.Context) {
	j.setMembership(Membership{}, time.Time{})
	timeoutCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), joinTimeout)
	defer cancel()
	if err := j.group.Leave(timeoutCtx); err != nil {
		klog.InfoS("group not left, the store will notice by itself", "err", err)
	}
}

func (j *Joiner) join(ctx context.Context) {
	timeoutCtx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	j.mutex.Lock()
	last := j.membership.Generation
	j.mutex.Unlock()
	sent := j.clock.Now()
	m, err := j.group.Join(timeoutCtx, j.renewal.TTL, last)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		klog.V(1).InfoS("group not joined", "err", err)
		return
	}
	j.setMembership(m, sent)
}

func (j *Joiner) setMembership(m Membership, sent time.Time) {
	j.mutex.Lock()
	unchanged := slices.Equal(m.Partitions, j.membership.Partitions)
	j.membership, j.joinSentAt = m, sent
	j.mutex.Unlock()
	if !unchanged {
		klog.InfoS("partitions of batch jobs dealt", "generation", m.Generation, "partitions", m.Partitions)
		j.onChange()
	}
}

// Owned returns the partitions that this process owns.
func (j *Joiner) Owned() []identifier.PartitionNumber {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	if j.clock.Since(j.joinSentAt) > maxTimeWithoutStore {
		return nil
	}
	return j.membership.Partitions
}

// Owns reports whether this process owns the partition.
func (j *Joiner) Owns(n identifier.PartitionNumber) bool { return slices.Contains(j.Owned(), n) }
