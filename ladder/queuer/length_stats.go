package queuer

import (
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// lengthStats estimates the usual length of live work as means of logarithms, so
// that a few very long items hardly change the estimate.
type lengthStats struct {
	tokens  logMean
	runTime logMean
}

// longFactor is how many times the usual length counts as long.
const longFactor = 4

func (l *lengthStats) recordArrival(i Item) {
	if i.Class == identifier.ClassLive && i.ExpectedTokens > 0 {
		l.tokens.add(float64(i.ExpectedTokens))
	}
}

func (l *lengthStats) recordRun(i Item, d time.Duration) {
	if i.Class == identifier.ClassLive && d > 0 {
		l.runTime.add(d.Seconds())
	}
}

// isLong reports whether an item is expected to be long. An item without an
// expected length counts as long if it is rollout work, and as short if it is live.
func (l *lengthStats) isLong(i Item) bool {
	if i.ExpectedTokens == 0 {
		return i.Class == identifier.ClassRollout
	}
	return l.tokens.known() && float64(i.ExpectedTokens) > longFactor*l.tokens.value()
}

func (l *lengthStats) isLongRun(d time.Duration) bool {
	return l.runTime.known() && d.Seconds() > longFactor*l.runTime.value()
}

// logMean is a moving mean of logarithms.
type logMean struct {
	count float64
	log   float64
}

// logMemory is about how many values a logMean covers.
const logMemory = 200

func (m *logMean) add(v float64) {
	m.count = math.Min(m.count+1, logMemory)
	m.log += (math.Log(v) - m.log) / m.count
}

func (m *logMean) known() bool { return m.count > 0 }

func (m *logMean) value() float64 { return math.Exp(m.log) }
