package converger

import (
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Switches go in turns that nobody orders. From the moment a goal is learnt,
// time is cut into windows, each as long as the longest switch among the
// service's targets; a target of rank r may begin only at the start of every
// waves-th window. One that is late, since its weights weren't loaded yet or
// its switch failed, waits for its next window, so that it is never away
// together with another wave. A delay counted from each target's own load was
// tried first: loads end at different times, and the waves overlapped.

const (
	// firstWindow holds until the time of a switch is known.
	firstWindow = time.Second
	// windowStep is what windows are rounded up to, so that a service's targets
	// agree on it although each hears of the newest switch at another moment.
	windowStep = 250 * time.Millisecond
	// windowMargin is for the spread of a goal over the links.
	windowMargin = 100 * time.Millisecond
	// startTolerance is how late in its window a switch may begin.
	startTolerance = 50 * time.Millisecond
)

// Turn returns how long a target waits before it may begin its switch; 0 says
// that it may begin now. since is when it has learnt the goal.
func Turn(m messenger.Configuration, since, now time.Time) time.Duration {
	if m.AwayPercent <= 0 || m.AwayPercent >= 100 || m.Peers <= 1 {
		return 0
	}
	atOnce := max(1, m.Peers*m.AwayPercent/100)
	waves := (m.Peers + atOnce - 1) / atOnce
	wave := (m.Rank / atOnce) % waves
	window := windowOf(m.SwitchTime)
	passed := max(0, now.Sub(since))
	round := time.Duration(waves) * window
	own := time.Duration(wave) * window
	into := passed % round
	switch {
	case into < own:
		return own - into
	case into <= own+startTolerance:
		return 0
	}
	return round - into + own
}

// Learn returns the longest switch of late, once one more has taken d. Older
// ones count for less and less. It is rounded up, so that it seldom changes.
func Learn(longest, d time.Duration) time.Duration {
	const step = 50 * time.Millisecond
	longest = max(d, longest*9/10)
	return (longest + step - 1) / step * step
}

// windowOf returns the window for the longest switch known, 0 if none is.
func windowOf(longest time.Duration) time.Duration {
	if longest <= 0 {
		return firstWindow
	}
	steps := (longest + windowMargin + windowStep - 1) / windowStep
	return steps * windowStep
}
