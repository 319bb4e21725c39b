package converger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Switches go in turns that nobody orders. From the moment a goal is
// announced, which every message that carries it tells by its age, time is cut
// into windows, none shorter than the longest switch known in the service. A
// target may begin only at the start of its wave's window, and a target that is
// late, since its weights weren't loaded or its switch failed, waits for its
// wave's next one. Weights are loaded a fixed time before the window, so that a
// whole service doesn't ask the store at once. `measurer switching` compares
// with a lease holder; docs/DESIGN.md, "New weights", tells what was tried.

const (
	// switchBudget is the time in which all targets are to have switched.
	switchBudget = 7 * time.Second
	// lead is from the announcement to the first window: a heartbeat, in case
	// the announcement was lost, and a load.
	lead = 2 * time.Second
	// windowStep is what the time of a switch is rounded up to, so that what
	// targets report of it, and with it the windows, seldom changes.
	windowStep = 20 * time.Millisecond
	// startTolerance is how late in its window a switch may begin.
	startTolerance = 40 * time.Millisecond
)

// schedule is a service's windows, as one target sees them.
type schedule struct {
	window time.Duration
	// waves is how many windows there are until the first wave's next; 0 says
	// that a target may switch at any time.
	waves int
	// wave is the target's own, from 0.
	wave int
}

func scheduleOf(m messenger.Configuration) schedule {
	if m.AwayPercent <= 0 || m.AwayPercent >= 100 || m.Peers <= 1 {
		return schedule{}
	}
	atOnce := max(1, m.Peers*m.AwayPercent/100)
	waves := (m.Peers + atOnce - 1) / atOnce
	return schedule{window: windowOf(m.SwitchTime, waves), waves: waves, wave: (m.Rank / atOnce) % waves}
}

// SwitchDelay returns how long a target waits before it may begin its switch; 0
// says that it may begin now. since is when the goal was announced.
func SwitchDelay(m messenger.Configuration, since, now time.Time) time.Duration {
	s := scheduleOf(m)
	if s.waves == 0 {
		return 0
	}
	own := time.Duration(s.wave) * s.window
	round := time.Duration(s.waves) * s.window
	passed := now.Sub(since) - lead
	if passed < 0 {
		return own - passed
	}
	into := passed % round
	switch {
	case into < own:
		return own - into
	case into <= own+startTolerance:
		return 0
	}
	return round - into + own
}

// LoadDelay returns how long a target waits before it loads the weights.
func LoadDelay(m messenger.Configuration, since, now time.Time) time.Duration {
	s := scheduleOf(m)
	return max(0, time.Duration(s.wave)*s.window-now.Sub(since))
}

// UpdateSwitchTime returns the longest switch of late, once one more has taken d. Older
// ones count for less and less. It is rounded up, so that it seldom changes.
func UpdateSwitchTime(longest, d time.Duration) time.Duration {
	return roundUp(max(d, longest*9/10))
}

func roundUp(d time.Duration) time.Duration { return (d + windowStep - 1) / windowStep * windowStep }

// windowOf returns the longest window with which all targets switch within the
// budget, or the longest switch known if that is longer: the share that may be
// away goes before the budget.
func windowOf(longest time.Duration, waves int) time.Duration {
	return max(roundUp(longest+startTolerance), (switchBudget-lead)/time.Duration(waves))
}
