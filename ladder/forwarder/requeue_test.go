package forwarder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/faker"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// admitsAll is an admitter that is in force and has room.
type admitsAll struct{ unrestricted }

func (admitsAll) InForce(identifier.ServiceName) bool { return true }

// unreachable are targets to which no connection can be opened.
type unreachable struct {
	*faker.Rooms
	err   error
	sends atomic.Int32
}

// Send implements sender.Sender.
func (u *unreachable) Send(context.Context, cataloger.Target, sender.Call) (*sender.Response, error) {
	u.sends.Add(1)
	time.Sleep(100 * time.Microsecond)
	return nil, u.err
}

// Guards against requests that are sent again without a pause while admission is in force and all
// targets refuse connections, or all connections to them are in use.
func TestForward_UnsentRequestsArePausedWhileAdmissionIsInForce(t *testing.T) {
	for _, err := range []error{sender.ErrNotSent, errors.Wrap(sender.ErrLimited, "no more connections")} {
		synctest.Test(t, func(t *testing.T) {
			y, rooms := newPlayer(play{hosts: 1})
			targets := &unreachable{Rooms: rooms, err: err}
			f := New(clockwork.NewRealClock(), y.forwarders[0].catalog, &targetList{}, targets, &countingBlocklist{}, knownOrigins{}, router.NewSharedRandom(1), WithAdmitter(admitsAll{}))
			o := f.Forward(context.Background(), liveRoute, Request{ID: "r", Method: "POST", Path: "/p", TimeLeft: time.Second})
			if _, ok := o.(NotRun); !ok || targets.sends.Load() > 50 {
				t.Errorf("%v: %s after %d sends within a second", err, describe(o), targets.sends.Load())
			}
		})
	}
}
