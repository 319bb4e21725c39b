// Package arbiter decides which software version of a target began a stream. It judges by what is
// certain only, and needs no network.
package arbiter

import (
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// Evidence says what the store tells of a stream's software version once all hosts have lost
// their memory.
type Evidence int

const (
	// Proven is the version, by the stream's record or because it has none.
	Proven Evidence = iota
	// Unproven is nothing. The stream can't be taken up then.
	Unproven
	// Uncertain is the version, or the one of a run of the stream that was given up before its first
	// event was passed on.
	Uncertain
	// Misleading is possibly another version than the one that began the stream.
	Misleading
)

// Preference says at which software version streams should begin.
type Preference struct {
	Software identifier.SoftwareVersion
	// Only is set if streams can't begin at other versions.
	Only bool
}

// Base is what the store says of the streams of a service that have no record.
type Base struct {
	// Software is the base version. All streams without a record began at it, unless Successor is
	// set.
	Software identifier.SoftwareVersion
	// Successor is set while the base version is being replaced: until all hosts have recorded
	// the streams that began without a record, a missing record proves nothing.
	Successor *identifier.SoftwareVersion
}

// Unrecorded returns the version at which a stream without a record began, and false if that is
// unknown.
func (b Base) Unrecorded() (identifier.SoftwareVersion, bool) {
	return b.Software, b.Successor == nil
}

// Admitted returns the version at which streams may begin without a record.
func (b Base) Admitted() identifier.SoftwareVersion {
	if b.Successor != nil {
		return *b.Successor
	}
	return b.Software
}

// EvidenceWithoutRecord returns what a stream's missing record tells if the stream began at the
// given version.
func (b Base) EvidenceWithoutRecord(began identifier.SoftwareVersion) Evidence {
	switch {
	case began != b.Admitted():
		return Misleading
	case b.Successor != nil:
		return Unproven
	}
	return Proven
}

// replacementFactor is how many times as many targets as the admitted version another one needs to
// replace it. It keeps the base version from changing back and forth during a rollout.
const replacementFactor = 2

// Next returns what follows b, and false if nothing does. ready has the number of ready targets of
// each version, and recorded says that all streams which began without a record at other versions
// than the successor have got one.
func (b Base) Next(ready map[identifier.SoftwareVersion]int, recorded bool) (next Base, changed bool) {
	most, _ := cataloger.MostFrequent(ready)
	switch {
	case most != b.Admitted() && ready[most] > 0 && ready[most] >= replacementFactor*ready[b.Admitted()]:
		return Base{Software: b.Software, Successor: &most}, true
	case b.Successor != nil && recorded:
		return Base{Software: *b.Successor}, true
	}
	return b, false
}
