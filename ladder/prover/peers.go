package prover

import (
	"context"

	"github.com/lycheeladder/lycheeladder/ladder/accepter"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// peers are the other entries, as one entry asks them what is in force.
type peers struct {
	world   *Simulation
	process *injector.Process
}

// State implements accepter.Peers.
func (p *peers) State(ctx context.Context) (newest accepter.State, err error) {
	c := injector.Call{Port: "peers", Name: "state", Kinds: injector.ProcessKinds(), RefusedError: errNoEntry, LostError: errAnswerLost}
	states := make(chan accepter.State, len(entryNames))
	err = p.process.Do(ctx, c, func(ctx context.Context) error {
		for _, name := range entryNames {
			if name == p.process.Name() {
				continue
			}
			err := p.world.enter(ctx, name, func(_ context.Context, e *entry) error {
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
		return newest, errNoEntry
	}
	return newest, nil
}
