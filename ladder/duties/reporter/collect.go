package reporter

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
	"github.com/lycheeladder/lycheeladder/ladder/querier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
)

const (
	// memberTimeout bounds the wait for one member's answer.
	memberTimeout = 500 * time.Millisecond
	// maxTries is how often a member is asked for one collection.
	maxTries = 3
	// quorumDivisor gives the part of the members whose clocks must be known for a new
	// median. With fewer, the former one is better: boot clocks keep time within
	// milliseconds a minute, while a single clock may be seconds off.
	quorumDivisor = 2
	// maxOffsetAge is how long a median of more clocks is better than a new one of fewer: when
	// one of three clocks is lost, the mean of the others may be seconds off.
	maxOffsetAge = 10 * time.Minute
)

// startKey identifies a start, whoever tells of it.
type startKey struct {
	incarnation identifier.Incarnation
	number      identifier.StartNumber
}

// collectedStart is a start at a moment of this host's boot clock.
type collectedStart struct {
	account identifier.AccountName
	at      time.Duration
}

// collection is what the members answered.
type collection struct {
	// oldestMember is when, by this host's boot clock, the oldest process that has answered
	// started.
	oldestMember time.Duration
	starts       map[startKey]collectedStart
	// silent is how many members haven't answered.
	silent int

	// members has how many were asked, this host included.
	members int
	// offsets has, for each clock that is known, true time since the start of 1970 by it less this
	// host's boot clock.
	offsets []time.Duration
}

// collect asks all members for the starts between two moments of this host's boot clock.
func (t *term) collect(ctx context.Context, from, to time.Duration, tries int) collection {
	members := slices.DeleteFunc(slices.Clone(t.options.Members()), func(m string) bool { return m == t.options.Self })
	now := t.bootClock.Elapsed()
	c := collection{starts: make(map[startKey]collectedStart), oldestMember: now, members: len(members) + 1}
	c.add(t.usage.Answer(messenger.UsageQuestion{MinAge: max(0, now-to), MaxAge: now - from}), now)
	for try := 1; ; try++ {
		members = t.askMembers(ctx, members, from, to, &c)
		if len(members) == 0 || try >= tries || !t.sleep(ctx, t.retryInterval()) {
			break
		}
	}
	c.silent = len(members)
	return c
}

// hasQuorum reports whether the clocks of enough members are known.
func (c *collection) hasQuorum() bool { return len(c.offsets)*quorumDivisor >= c.members }

// retryInterval is the time between two tries to reach a member. All of them take at most half
// of the time until the report is due.
func (t *term) retryInterval() time.Duration {
	return max(memberTimeout, (t.options.Lateness/2-collectDelay)/maxTries)
}

// memberAnswer is the answer of one member. The moments are those of this host's boot clock.
type memberAnswer struct {
	address        string
	sent, received time.Duration
	usage          *messenger.UsageAnswer
}

// askMembers adds the members' answers to c and returns those that didn't answer.
func (t *term) askMembers(ctx context.Context, members []string, from, to time.Duration, c *collection) (silent []string) {
	answers := make(chan memberAnswer, len(members))
	for _, address := range members {
		go func() {
			a := memberAnswer{address: address, sent: t.bootClock.Elapsed()}
			_ = recoverer.CatchPanic("question about usage", func() { // already logged
				// A member that answers late gives greater ages.
				q := messenger.UsageQuestion{MinAge: max(0, a.sent-to), MaxAge: a.sent - from + memberTimeout}
				r, _ := querier.AskBriefly(ctx, t.clock, t.options.Peers, address, messenger.Question{Usage: &q}, memberTimeout)
				a.received, a.usage = t.bootClock.Elapsed(), r.Usage
			})
			answers <- a
		}()
	}
	for range members {
		a := <-answers
		if a.usage == nil {
			silent = append(silent, a.address)
			continue
		}
		// Half of the round trip is the best guess of when the member answered.
		c.add(*a.usage, a.sent+(a.received-a.sent)/2)
	}
	slices.Sort(silent)
	return silent
}

// add adds an answer that was given at a moment of this host's boot clock.
func (c *collection) add(a messenger.UsageAnswer, at time.Duration) {
	c.offsets = append(c.offsets, a.TimeOfDay-at)
	c.oldestMember = min(c.oldestMember, at-max(0, a.Uptime))
	for _, s := range a.Starts {
		if s.Account < 0 || s.Account >= len(a.Accounts) || s.Host < 0 || s.Host >= len(a.Hosts) {
			continue
		}
		// The ages of copies lack the time for which these were under way.
		k, own := startKey{a.Hosts[s.Host], s.Number}, s.Host == 0
		if _, known := c.starts[k]; !known || own {
			c.starts[k] = collectedStart{a.Accounts[s.Account], at - s.Age}
		}
	}
}

// median returns the middle of the offsets, or the mean of the middle two. The list must not
// be empty.
func median(offsets []time.Duration) time.Duration {
	slices.SortFunc(offsets, cmp.Compare)
	lower, upper := offsets[(len(offsets)-1)/2], offsets[len(offsets)/2]
	return lower + (upper-lower)/2
}
