package queuer

import (
	"math"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// lengths learns what live work usually takes, as means of logarithms, so that
// a few very long items don't make length usual.
type lengths struct {
	tokens  logMean
	runTime logMean
}

// longFactor is how many times the usual length is long.
const longFactor = 4

func (l *lengths) arrived(i Item) {
	if i.Class == identifier.ClassLive && i.ExpectedTokens > 0 {
		l.tokens.add(float64(i.ExpectedTokens))
	}
}

func (l *lengths) ran(i Item, d time.Duration) {
	if i.Class == identifier.ClassLive && d > 0 {
		l.runTime.add(d.Seconds())
	}
}

// long says whether an item is expected to be long. A rollout item of which
// nothing is expected is; a live one isn't.
func (l *lengths) long(i Item) bool {
	if i.ExpectedTokens == 0 {
		return i.Class == identifier.ClassRollout
	}
	return l.tokens.known() && float64(i.ExpectedTokens) > longFactor*l.tokens.value()
}

func (l *lengths) ranLong(d time.Duration) bool {
	return l.runTime.known() && d.Seconds() > longFactor*l.runTime.value()
}

// logMean is a moving mean of logarithms.
type logMean struct {
	count float64
	log   float64
}

// logMemory is about how many values a logMean remembers.
const logMemory = 200

func (m *logMean) add(v float64) {
	m.count = math.Min(m.count+1, logMemory)
	m.log += (math.Log(v) - m.log) / m.count
}

func (m *logMean) known() bool { return m.count > 0 }

func (m *logMean) value() float64 { return math.Exp(m.log) }
