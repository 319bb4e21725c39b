package faker

import (
	"sync"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// RunNumber numbers the runs of a Ledger.
type RunNumber int

// Run is one execution at a target.
type Run struct {
	Target identifier.TargetName
	// Subject is the prompt for an Engine and the body for a Service.
	Subject string
	// At is when the run began.
	At time.Time
	// Versions has the weight version that produced each token.
	Versions []identifier.WeightVersion
}

// Ledger records what the targets executed.
type Ledger struct {
	mutex sync.Mutex
	runs  []Run
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{} }

func (l *Ledger) begin(target identifier.TargetName, subject string, at time.Time) RunNumber {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs = append(l.runs, Run{Target: target, Subject: subject, At: at})
	return RunNumber(len(l.runs) - 1)
}

func (l *Ledger) token(r RunNumber, v identifier.WeightVersion) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.runs[r].Versions = append(l.runs[r].Versions, v)
}

// Runs returns every run so far, in order of their start.
func (l *Ledger) Runs() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Run(nil), l.runs...)
}

// Count returns how many runs the subject had.
func (l *Ledger) Count(subject string) int {
	n := 0
	for _, r := range l.Runs() {
		if r.Subject == subject {
			n++
		}
	}
	return n
}
