// Package joiner says which partitions of the batch jobs this process works
// on, as a group of the platform's store deals them out.
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

// Two processes may hold a partition for a moment. That costs doubled work and
// nothing else, since results are written under a condition.

// Generation numbers the changes of a group.
type Generation uint64

// Membership is what the store says of this member.
type Membership struct {
	Generation Generation
	Partitions []identifier.PartitionNumber
}

// Member names a member of the group by where its peers reach it, IP:port. A
// process that starts again on its host is the member that its predecessor was,
// and goes on with its partitions at once.
type Member string

// Group is the platform's group.
type Group interface {
	// Owners returns the members that hold the partitions.
	Owners(ctx context.Context) (map[identifier.PartitionNumber]Member, error)
	// Join joins the group or keeps the member in it for another ttl.
	Join(ctx context.Context, ttl time.Duration, last Generation) (Membership, error)
	Leave(ctx context.Context) error
}

const (
	// workTTL is how long the store waits for a silent owner: three joins, one
	// of them slow. It is above the least that the users' store takes (1 s).
	workTTL = 1500 * time.Millisecond
	// workPause is between two joins of an owner.
	workPause = 400 * time.Millisecond
	// presenceTTL and presencePause are the same for a group that only tells
	// who is there.
	presenceTTL, presencePause = 10 * time.Second, 3 * time.Second
	// joinTimeout bounds one join.
	joinTimeout = 700 * time.Millisecond
	// keepFor is how long partitions are kept without an answer of the store.
	// While the whole store is away nobody else takes them; a process that is
	// cut off alone wastes some work until then.
	keepFor = 8 * time.Second
	// ownersAge is the age from which the list of owners is read anew when it
	// is asked for.
	ownersAge = 700 * time.Millisecond
)

// JoinPolicy says whether a process seeks work that others could do.
type JoinPolicy bool

// The two kinds.
const (
	JoinWhenNeeded JoinPolicy = true
	// JoinAsLastResort processes run on hosts too weak for the work of others. They
	// take it on only where nobody else does.
	JoinAsLastResort JoinPolicy = false
)

// Random gives random numbers below n.
type Random interface{ IntN(n int) int }

// Renewal is how often a member shows that it lives.
type Renewal struct {
	// TTL is how long the store waits for a silent member.
	TTL time.Duration
	// Interval is between two joins.
	Interval time.Duration
}

// The paces of the two kinds of group.
var (
	WorkRenewal     = Renewal{TTL: workTTL, Interval: workPause}
	PresenceRenewal = Renewal{TTL: presenceTTL, Interval: presencePause}
)

// Options are a Grouper's settings.
type Options struct {
	Self       Member
	JoinPolicy JoinPolicy
	// WantedMembers says how many members the group needs; nil stands for everyone.
	WantedMembers func() int
	// Peers returns the names of the processes that could be members; nil
	// stands for none.
	Peers   func() []string
	Random  Random
	Renewal Renewal
}

// Joiner keeps this process in the group while it is needed there.
type Joiner struct {
	clock clockwork.Clock
	group Group
	self  Member
	zeal  JoinPolicy
	// wanted says how many members the group needs.
	wanted func() int
	peers  func() []string
	random Random
	pace   Renewal
	// changed is called after each change.
	changed func()

	// gapSince is since when a member is missing; zero while none is. It
	// belongs to Run.
	gapSince time.Time

	mutex      sync.Mutex
	membership Membership
	// answered is when the last successful join was sent.
	answered time.Time
	// owners is what the store said at ownersAt.
	owners   map[identifier.PartitionNumber]Member
	ownersAt time.Time
	// formerOwners has the member that held a partition before the one in
	// owners, other than this process.
	formerOwners map[identifier.PartitionNumber]Member
	// asking says that the list is being read.
	asking bool
}

// New returns a Grouper that isn't in the group until Run.
func New(clock clockwork.Clock, g Group, o Options, changed func()) *Joiner {
	return &Joiner{
		clock: clock, group: g, self: o.Self, zeal: o.JoinPolicy, wanted: o.WantedMembers, peers: o.Peers, random: o.Random, pace: o.Renewal, changed: changed,
		formerOwners: make(map[identifier.PartitionNumber]Member),
	}
}

// Run stays in the group until ctx ends, and leaves it then.
func (g *Joiner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		g.joinOrLeave(ctx)
		select {
		case <-g.clock.After(g.pace.Interval):
		case <-ctx.Done():
		}
	}
	g.leave(ctx)
}

// leave gives the partitions up.
func (g *Joiner) leave(ctx context.Context) {
	g.set(Membership{}, time.Time{})
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), joinTimeout)
	defer cancel()
	if err := g.group.Leave(bounded); err != nil {
		klog.InfoS("group not left, the store will notice by itself", "err", err)
	}
}

func (g *Joiner) join(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	g.mutex.Lock()
	last := g.membership.Generation
	g.mutex.Unlock()
	sent := g.clock.Now()
	m, err := g.group.Join(bounded, g.pace.TTL, last)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		klog.V(1).InfoS("group not joined", "err", err)
		return
	}
	g.set(m, sent)
}

func (g *Joiner) set(m Membership, sent time.Time) {
	g.mutex.Lock()
	same := slices.Equal(m.Partitions, g.membership.Partitions)
	g.membership, g.answered = m, sent
	g.mutex.Unlock()
	if !same {
		klog.InfoS("partitions of batch jobs dealt", "generation", m.Generation, "partitions", m.Partitions)
		g.changed()
	}
}

// Owned returns the partitions that this process works on.
func (g *Joiner) Owned() []identifier.PartitionNumber {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.clock.Since(g.answered) > keepFor {
		return nil
	}
	return g.membership.Partitions
}

// Owns says whether a partition is among them.
func (g *Joiner) Owns(n identifier.PartitionNumber) bool { return slices.Contains(g.Owned(), n) }
