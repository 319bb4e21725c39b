package router

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// usualInterval is the time between two chunks of a fast target with one request.
const usualInterval = 60 * time.Millisecond

// newSettledEngines returns a router that knows targets a and b at the usual
// interval, and c at 1.3 times that.
func newSettledEngines() (*Router, *clockwork.FakeClock, []Candidate) {
	clock := clockwork.NewFakeClock()
	r := New(clock, NewRandom(1), BatchAware{})
	candidates := candidatesOf("a", "b", "c")
	for n := range candidates {
		candidates[n].Slots, candidates[n].Warm = 6, true
	}
	for _, c := range candidates {
		if _, ok := r.Choose([]Candidate{c}, Monitored); !ok {
			panic("no choice")
		}
	}
	for range 40 {
		clock.Advance(usualInterval)
		r.RecordChunk("a", usualInterval, false)
		r.RecordChunk("b", usualInterval, false)
		r.RecordChunk("c", usualInterval*13/10, false)
	}
	for _, c := range candidates {
		r.Done(c.Target, Monitored)
	}
	return r, clock, candidates
}

func chooseTimes(r *Router, candidates []Candidate, times int) map[identifier.TargetName]int {
	chosen := make(map[identifier.TargetName]int)
	for range times {
		name, _ := r.Choose(candidates, Monitored)
		chosen[name]++
	}
	return chosen
}

func TestBatchAware_PrefersFastTargetsUntilTheyAreLoaded(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	clock.Advance(time.Minute) // longer than the slowness of a passing fault lasts
	if chosen := chooseTimes(r, candidates, 4); chosen["c"] > 0 {
		t.Errorf("4 requests: %v, want none at the slow target c", chosen)
	}
	if chosen := chooseTimes(r, candidates, 14); chosen["a"] > 5 || chosen["b"] > 5 || chosen["c"] < 4 {
		t.Errorf("14 more requests on 18 slots: %v, want at most 5 at a and b, at least 4 at c", chosen)
	}
}

func TestBatchAware_CountsReportedLoadUntilItIsOld(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	chooseTimes(r, candidates[:1], 1)
	r.RecordReportedLoad("a", 5, 0) // four of them belong to other senders
	if chosen := chooseTimes(r, candidates[:2], 3); chosen["a"] > 0 {
		t.Errorf("chosen %v, want none at a, which has reported 5 requests", chosen)
	}
	clock.Advance(2 * loadReportMaxAge)
	if chosen := chooseTimes(r, candidates[:2], 2); chosen["a"] == 0 {
		t.Errorf("chosen %v, want some at a, whose load report is old", chosen)
	}
}

func TestBatchAware_AvoidsTargetWithPassingFault(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	chooseTimes(r, candidates[:1], 1)
	for range 8 {
		clock.Advance(4 * usualInterval)
		r.RecordChunk("a", 4*usualInterval, false)
	}
	if chosen := chooseTimes(r, candidates, 6); chosen["a"] > 0 {
		t.Errorf("chosen %v, want none at a, which is four times slower than usual", chosen)
	}
}

func TestHasFasterCandidate_ComparesSpeedAndFreeSlots(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	clock.Advance(time.Minute)
	chooseTimes(r, candidates[2:], 1)
	if !r.HasFasterCandidate("c", candidates[:2], 1.2) {
		t.Error("HasFasterCandidate is false for an idle fast target instead of a slow one")
	}
	chooseTimes(r, candidates[:1], 6)
	if r.HasFasterCandidate("c", candidates[:1], 1.2) {
		t.Error("HasFasterCandidate is true for a full target")
	}
	if r.HasFasterCandidate("b", candidates[2:], 1.2) {
		t.Error("HasFasterCandidate is true for a slow target instead of a fast one")
	}
}

func TestHasFreeSlot_ByReportOrWithoutOpenRequests(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	a := candidates[0]
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"no request and no report", func() {}, true},
		{"one own request and no report", func() { chooseTimes(r, candidates[:1], 1) }, false},
		{"5 of 6 slots reported as running", func() { r.RecordReportedLoad("a", 5, 0) }, true},
		{"5 running and 2 waiting reported", func() { r.RecordReportedLoad("a", 5, 2) }, false},
		{"the report is old", func() { clock.Advance(2 * loadReportMaxAge) }, false},
		{"the own request has ended", func() { r.Done("a", Monitored) }, true},
	}
	for _, s := range steps {
		s.do()
		if got := r.HasFreeSlot(a); got != s.want {
			t.Errorf("%s: HasFreeSlot is %v", s.name, got)
		}
	}
}

func TestReceivedWithin_TimeSinceLastChunk(t *testing.T) {
	r, clock, candidates := newSettledEngines()
	chooseTimes(r, candidates[:1], 2)
	r.RecordChunk("a", usualInterval, false)
	clock.Advance(usualInterval)
	if !r.ReceivedWithin("a", 2*usualInterval) {
		t.Error("ReceivedWithin is false right after a chunk")
	}
	clock.Advance(2 * usualInterval)
	if r.ReceivedWithin("a", 2*usualInterval) {
		t.Error("ReceivedWithin is true though the last chunk is older")
	}
	if r.ReceivedWithin("unknown", time.Hour) {
		t.Error("ReceivedWithin is true for a target without requests")
	}
}
