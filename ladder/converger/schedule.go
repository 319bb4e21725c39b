package converger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Targets switch in time windows that need no coordinator. Starting from the
// announcement of a goal, whose age every message with the goal carries, time is
// divided into windows at least as long as the longest known switch in the service.
// Targets are grouped into waves, each with its own recurring window. A target may
// begin only at the start of its wave's window; a target that is late, since its
// weights weren't loaded or its switch failed, waits for the wave's next window.
// Weights are loaded a fixed time before the window, so that the targets of a service
// don't all read from the weight store at once. `measurer switching` compares this with
// a lease holder; docs/DESIGN.md, "New weights", describes the alternatives.

const (
	// switchBudget is the time within which all targets should have switched.
	switchBudget = 7 * time.Second
	// leadTime is the time from the announcement to the first window: a heartbeat, in
	// case the announcement was lost, and a load.
	leadTime = 2 * time.Second
	// switchTimeStep is the unit to which switch times are rounded up, so that the
	// times that targets report, and with them the windows, seldom change.
	switchTimeStep = 20 * time.Millisecond
	// startTolerance is how late after the start of its window a switch may begin.
	startTolerance = 40 * time.Millisecond
)

// schedule has a service's windows, as computed by one target.
type schedule struct {
	window time.Duration
	// waves is the number of waves, and thus of windows in a cycle; 0 means that a
	// target may switch at any time.
	waves int
	// wave is the target's wave, counted from 0.
	wave int
}

func scheduleFor(c messenger.Configuration) schedule {
	if c.AwayPercent <= 0 || c.AwayPercent >= 100 || c.Peers <= 1 {
		return schedule{}
	}
	atOnce := max(1, c.Peers*c.AwayPercent/100)
	waves := (c.Peers + atOnce - 1) / atOnce
	return schedule{window: windowLength(c.SwitchTime, waves), waves: waves, wave: (c.Rank / atOnce) % waves}
}

// SwitchDelay returns how long a target waits before it may begin its switch; 0 means
// that it may begin now. since is the time of the goal's announcement.
func SwitchDelay(c messenger.Configuration, since, now time.Time) time.Duration {
	s := scheduleFor(c)
	if s.waves == 0 {
		return 0
	}
	windowStart := time.Duration(s.wave) * s.window
	cycle := time.Duration(s.waves) * s.window
	elapsed := now.Sub(since) - leadTime
	if elapsed < 0 {
		return windowStart - elapsed
	}
	offset := elapsed % cycle
	switch {
	case offset < windowStart:
		return windowStart - offset
	case offset <= windowStart+startTolerance:
		return 0
	}
	return cycle - offset + windowStart
}

// LoadDelay returns how long a target waits before it loads the weights.
func LoadDelay(c messenger.Configuration, since, now time.Time) time.Duration {
	s := scheduleFor(c)
	return max(0, time.Duration(s.wave)*s.window-now.Sub(since))
}

// UpdateSwitchTime returns the longest recent switch after one more that took d.
// Earlier switches decay by a tenth each time. The result is rounded up, so that it
// seldom changes.
func UpdateSwitchTime(longest, d time.Duration) time.Duration {
	return roundUp(max(d, longest*9/10))
}

func roundUp(d time.Duration) time.Duration {
	return (d + switchTimeStep - 1) / switchTimeStep * switchTimeStep
}

// windowLength returns the longest window with which all targets switch within the budget,
// or the longest known switch if that is longer: the limit on unavailable targets takes
// precedence over the budget.
func windowLength(longest time.Duration, waves int) time.Duration {
	return max(roundUp(longest+startTolerance), (switchBudget-leadTime)/time.Duration(waves))
}
