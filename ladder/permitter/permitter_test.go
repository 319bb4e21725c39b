package permitter

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// The fixed seed gives the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "1") }

var start = time.Unix(1_700_000_000, 0)

// limitChange is the limit that is in force from a time on.
type limitChange struct {
	from  time.Duration
	limit identifier.RequestRate
}

// allowedBetween returns how many requests the limits allow.
func allowedBetween(changes []limitChange, from, to time.Duration) (count float64) {
	for n, c := range changes {
		end := to
		if n+1 < len(changes) {
			end = min(end, changes[n+1].from)
		}
		if begin := max(from, c.from); end > begin {
			count += (end - begin).Seconds() * float64(c.limit)
		}
	}
	return count
}

// checkUses fails if more permits are used in any period than the limits allow.
func checkUses(t interface{ Fatalf(string, ...any) }, uses []time.Duration, changes []limitChange) {
	slices.Sort(uses)
	for n, end := range uses {
		begin := end - faker.LimitPeriod
		count := 0
		for _, at := range uses[:n+1] {
			if at > begin {
				count++
			}
		}
		if allowed := faker.MaxLimited(allowedBetween(changes, begin, end)); float64(count) > allowed {
			t.Fatalf("%d permits used in the %s to %s, at most %.1f are allowed", count, faker.LimitPeriod, end, allowed)
		}
	}
}

// One host of each standing grants permits to hosts that ask without end, with pauses in
// which nobody asks, and the permits are used as late as possible or at once.
func TestGrant_WithinTheLimitWhateverTheStandings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Uniform draws make pauses and large changes of the limit likely.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		buckets := make(map[Standing]*Bucket)
		for s := range termsByStanding {
			buckets[s] = &Bucket{}
		}
		var changes []limitChange
		var uses []time.Duration
		now := time.Duration(0)
		for range 60 {
			if len(changes) == 0 || random.IntN(8) == 0 {
				scale := [...]float64{0, 0.5, 5, 50}[random.IntN(4)]
				changes = append(changes, limitChange{now, identifier.RequestRate(scale * random.Float64())})
			}
			now += time.Duration(random.IntN(200)) * time.Millisecond
			if random.IntN(8) == 0 {
				now += time.Duration(random.IntN(10)) * time.Second
			}
			for s, b := range buckets {
				for granted := true; granted; {
					if _, granted = b.Grant(start.Add(now), changes[len(changes)-1].limit, s); granted {
						uses = append(uses, now+time.Duration(random.IntN(2))*PermitLifetime)
					}
				}
			}
		}
		checkUses(t, uses, changes)
	})
}

func TestGrant_UsesTheWholeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := identifier.RequestRate(rapid.Float64Range(0.5, 40).Draw(t, "limit"))
		var b Bucket
		granted := 0
		for now := time.Duration(0); now < time.Minute; now += 20 * time.Millisecond {
			if _, ok := b.Grant(start.Add(now), limit, Settled); ok {
				granted++
			}
		}
		if want := 0.95*float64(limit)*60 - 1; float64(granted) < want {
			t.Fatalf("%d permits granted in a minute, want at least %.0f", granted, want)
		}
	})
}

func TestGrant_WaitIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b Bucket
		now := start
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause in ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "charge") {
				b.Charge(now, 1, Settled)
			}
			wait, granted := b.Grant(now, identifier.RequestRate(rapid.Float64Range(0, 5).Draw(t, "limit")), Settled)
			if granted && wait != 0 || !granted && (wait < minWait || wait > maxWait) {
				t.Fatalf("granted %t, wait %s", granted, wait)
			}
		}
	})
}

// rosterHost is one host that reads the list of members every 3 s.
type rosterHost struct {
	name   string
	roster *Roster
	// nextRead is when the host reads the list again.
	nextRead time.Duration
}

// Members come and go at any time, hosts restart, and any read may fail.
func TestStanding_AtMostOneHostGrantsTheWholeLimit(t *testing.T) {
	const readInterval, readTimeout = 3 * time.Second, 700 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*rosterHost, rapid.IntRange(1, 9).Draw(t, "hosts"))
		var members []string
		for n := range hosts {
			name := fmt.Sprintf("10.0.0.%d:7080", n)
			hosts[n] = &rosterHost{name: name, roster: NewRoster(name), nextRead: time.Duration(rapid.IntRange(0, 3000).Draw(t, "first read in ms")) * time.Millisecond}
			members = append(members, name)
		}
		for now := time.Duration(0); now < 40*time.Second; now += 100 * time.Millisecond {
			if rapid.IntRange(0, 30).Draw(t, "change") == 0 {
				name := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "member")].name
				if n := slices.Index(members, name); n >= 0 {
					members = slices.Delete(slices.Clone(members), n, n+1)
				} else {
					members = append(slices.Clone(members), name)
				}
			}
			if rapid.IntRange(0, 60).Draw(t, "restart") == 0 {
				h := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "restarted")]
				h.roster = NewRoster(h.name)
			}
			settled := 0
			for _, h := range hosts {
				if h.nextRead <= now {
					h.nextRead = now + readInterval
					if rapid.IntRange(0, 4).Draw(t, "read fails") == 0 {
						h.nextRead += readTimeout
					} else {
						h.roster.Update(start.Add(now), members, start.Add(now))
					}
				}
				if h.roster.Standing(start.Add(now), "target") == Settled {
					settled++
				}
			}
			if settled > 1 {
				t.Fatalf("%d hosts grant the whole limit at %s", settled, now)
			}
		}
	})
}

func TestStanding_OfASettledHost(t *testing.T) {
	r := NewRoster("a")
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for s := 0.0; s <= 30; s += 3 {
		r.Update(at(s), []string{"a"}, at(s))
	}
	for s, want := range map[float64]Standing{31: Settled, 36.9: Settled, 37.1: Unsettled} {
		if got := r.Standing(at(s), "target"); got != want {
			t.Errorf("at %.1f s: standing %d, want %d", s, got, want)
		}
	}
	r.Update(at(38), nil, at(38))
	if got := r.Granters("target"); !slices.Equal(got, []string{"a"}) {
		t.Errorf("after an empty list the granters are %q", got)
	}
}

func TestGranters_AreTheSameOnAllHosts(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	r, other := NewRoster("a"), NewRoster("b")
	r.Update(start, members, start)
	slices.Reverse(members)
	other.Update(start, members, start)
	for n := range 20 {
		name := identifier.TargetName(fmt.Sprint(n))
		if a, b := r.Granters(name), other.Granters(name); !slices.Equal(a, b) || len(a) != granterCount || a[0] == a[1] {
			t.Errorf("%s: %q and %q", name, a, b)
		}
	}
}
