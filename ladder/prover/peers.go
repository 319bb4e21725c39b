package prover

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// peers lets an entry ask the other entries for the configuration in force.
type peers struct {
	sim     *Simulation
	process *injector.Process
}

// State implements accepter.Peers.
func (p *peers) State(ctx context.Context) (newest accepter.State, err error) {
	c := injector.Call{Port: "peers", Name: "state", Kinds: injector.ProcessKinds(), RefusedError: errEntryUnreachable, LostError: errAnswerLost}
	states := make(chan accepter.State, len(entryNames))
	err = p.process.Do(ctx, c, func(ctx context.Context) error {
		for _, name := range entryNames {
			if name == p.process.Name() {
				continue
			}
			err := p.sim.withEntry(ctx, name, func(_ context.Context, e *entry) error {
				s, _ := e.coordinator.Follower().State()
				states <- s
				return nil
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return newest, err
	}
	if newest = <-states; newest.Document == nil {
		return newest, errEntryUnreachable
	}
	return newest, nil
}
