package router

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// usualGap is between two pieces of a fast target alone.
const usualGap = 60 * time.Millisecond

// newEngines has a router that has heard targets a and b at the usual pace, and c
// at 1.3 times that.
func newEngines() (*Router, *clockwork.FakeClock, []Candidate) {
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
		clock.Advance(usualGap)
		r.RecordChunk("a", usualGap, false)
		r.RecordChunk("b", usualGap, false)
		r.RecordChunk("c", usualGap*13/10, false)
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

func TestBatched_FastTargetsFirstAndAllUnderLoad(t *testing.T) {
	r, clock, candidates := newEngines()
	clock.Advance(time.Minute) // it is known for longer than a passing trouble
	if chosen := chooseTimes(r, candidates, 4); chosen["c"] > 0 {
		t.Errorf("4 requests: %v, the slow one got some", chosen)
	}
	if chosen := chooseTimes(r, candidates, 14); chosen["a"] > 5 || chosen["b"] > 5 || chosen["c"] < 4 {
		t.Errorf("14 more requests, 18 slots: %v", chosen)
	}
}

func TestBatched_WhatOthersSendCountsForAWhile(t *testing.T) {
	r, clock, candidates := newEngines()
	chooseTimes(r, candidates[:1], 1)
	r.RecordReportedLoad("a", 5, 0) // four of them are others'
	if chosen := chooseTimes(r, candidates[:2], 3); chosen["a"] > 0 {
		t.Errorf("%v, a was busy", chosen)
	}
	clock.Advance(2 * reportAge)
	if chosen := chooseTimes(r, candidates[:2], 2); chosen["a"] == 0 {
		t.Errorf("%v, the word on a's load is old", chosen)
	}
}

func TestBatched_ATargetInTroubleIsLeftAlone(t *testing.T) {
	r, clock, candidates := newEngines()
	chooseTimes(r, candidates[:1], 1)
	for range 8 {
		clock.Advance(4 * usualGap)
		r.RecordChunk("a", 4*usualGap, false)
	}
	if chosen := chooseTimes(r, candidates, 6); chosen["a"] > 0 {
		t.Errorf("%v, a is four times slower than usual", chosen)
	}
}

func TestFaster_OnlyWhatIsWorthAMove(t *testing.T) {
	r, clock, candidates := newEngines()
	clock.Advance(time.Minute)
	chooseTimes(r, candidates[2:], 1)
	if !r.HasFasterCandidate("c", candidates[:2], 1.2) {
		t.Error("from a slow target to an idle fast one: not worth a move")
	}
	chooseTimes(r, candidates[:1], 6)
	if r.HasFasterCandidate("c", candidates[:1], 1.2) {
		t.Error("to a full target: worth a move")
	}
	if r.HasFasterCandidate("b", candidates[2:], 1.2) {
		t.Error("from a fast target to a slow one: worth a move")
	}
}

// A target has room if it says so, or if nothing is known and nothing is there.
func TestHasRoom_ByTheTargetsWordOrAsNothingIsThere(t *testing.T) {
	r, clock, candidates := newEngines()
	a := candidates[0]
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"nothing is known", func() {}, true},
		{"one of ours, of others nothing is known", func() { chooseTimes(r, candidates[:1], 1) }, false},
		{"it says that there are 5 of 6", func() { r.RecordReportedLoad("a", 5, 0) }, true},
		{"it says that 2 wait beside them", func() { r.RecordReportedLoad("a", 5, 2) }, false},
		{"its word is old", func() { clock.Advance(2 * reportAge) }, false},
		{"ours has ended", func() { r.Done("a", Monitored) }, true},
	}
	for _, s := range steps {
		s.do()
		if got := r.HasFreeSlot(a); got != s.want {
			t.Errorf("%s: has room: %v", s.name, got)
		}
	}
}

func TestFlows_WithinATimeOfAPiece(t *testing.T) {
	r, clock, candidates := newEngines()
	chooseTimes(r, candidates[:1], 2)
	r.RecordChunk("a", usualGap, false)
	clock.Advance(usualGap)
	if !r.ReceivedWithin("a", 2*usualGap) {
		t.Error("a piece has come just now")
	}
	clock.Advance(2 * usualGap)
	if r.ReceivedWithin("a", 2*usualGap) {
		t.Error("no piece has come for longer")
	}
	if r.ReceivedWithin("unknown", time.Hour) {
		t.Error("nothing was ever sent there")
	}
}
