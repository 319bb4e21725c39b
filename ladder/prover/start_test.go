package prover

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// An entry may ask its peer before the peer's process has started, where the log
// is away: that is a refused connection.
func TestEnter_AnEntryThatHasNotStarted(t *testing.T) {
	w := &Simulation{entries: make(map[string]*entry)}
	w.injector = injector.New(clockwork.NewRealClock(), injector.DefaultOptions(), nil, nil)
	p := &peers{world: w, process: w.injector.Start("entry-1")}
	s, err := p.State(t.Context())
	if !errors.Is(err, errNoEntry) || s.Document != nil {
		t.Errorf("state %+v, err %v, want %v", s, err, errNoEntry)
	}
}
