package accepter

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/validator"
)

// world is one log with operators that race, entries that carry forward late,
// retention, and readers. Its oracle has read every record from the first on.
type world struct {
	t   *rapid.T
	log *sliceLog
	// oracle has the state before each offset.
	oracle  []State
	readers []*reader
	ids     int
}

type reader struct {
	follower *Follower
	// revision is the highest seen in force.
	revision identifier.Revision
}

func (w *world) append(data []byte) {
	_, _ = w.log.Append(context.Background(), "", [][]byte{data})
	now := w.oracle[len(w.oracle)-1]
	next, _ := now.Apply(w.log.records[len(w.log.records)-1])
	w.oracle = append(w.oracle, next)
}

// past draws the state that some operator or entry knew before it was paused.
func (w *world) past(lag int) State {
	n := len(w.oracle) - 1
	return w.oracle[max(0, n-rapid.IntRange(0, lag).Draw(w.t, "lag"))]
}

func (w *world) document(base State) validator.Document {
	w.ids++
	return newDocument(fmt.Sprintf("document-%d", w.ids), base.Revision, 2+w.ids%3, 2, 3)
}

func (w *world) propose(*rapid.T) {
	base := w.past(3)
	w.append(proposal(w.t, base.Document, w.document(base)))
}

// proposeAgain appends a document that was accepted before, as it was or
// rewritten under the same id.
func (w *world) proposeAgain(t *rapid.T) {
	base := w.past(6)
	if base.Document == nil {
		w.propose(t) // Nothing was accepted yet.
		return
	}
	d := *base.Document
	if rapid.Bool().Draw(t, "rewritten") {
		d = newDocument(string(d.ID), base.Revision, 5, 1, 2)
	}
	w.append(proposal(t, base.Document, d))
}

func (w *world) proposeInvalid(t *rapid.T) {
	base := w.past(0)
	d := w.document(base)
	d.Grants[0].Approval.Expires = epoch
	data := proposal(t, base.Document, d)
	if rapid.Bool().Draw(t, "garbled") {
		data[len(data)/2] ^= 0x55
	}
	w.append(data)
}

func (w *world) carryForward(t *rapid.T) {
	c, err := w.past(12).Checkpoint()
	if err != nil {
		w.propose(t) // Nothing was accepted yet.
		return
	}
	w.append(encoded(t, c))
}

func (w *world) cut(t *rapid.T) {
	w.log.first = identifier.LogOffset(rapid.IntRange(int(w.log.first), len(w.log.records)).Draw(t, "first-kept"))
}

func (w *world) join(*rapid.T) {
	if len(w.readers) > 5 {
		w.readers = w.readers[1:]
	}
	r := &reader{}
	peers := peersFunc(func() (State, error) {
		for _, other := range w.readers {
			if s, ok := other.follower.State(); ok && s.Document != nil && other != r {
				return s, nil
			}
		}
		return State{}, errNoPeer
	})
	r.follower = NewFollower(clockwork.NewFakeClock(), w.log, peers, nil, Options{})
	w.readers = append(w.readers, r)
}

func (w *world) read(t *rapid.T) {
	r := rapid.SampledFrom(w.readers).Draw(t, "reader")
	for range rapid.IntRange(1, 12).Draw(t, "pages") {
		_ = r.follower.step(context.Background())
	}
}

// check holds after every action, for every reader, however late it came.
func (w *world) check(t *rapid.T) {
	for _, r := range w.readers {
		s, inForce := r.follower.State()
		if s.Revision < r.revision {
			t.Fatalf("revision went back from %d to %d", r.revision, s.Revision)
		}
		r.revision = s.Revision
		if !inForce {
			continue
		}
		if diff := cmp.Diff(w.oracle[s.NextOffset], s); diff != "" {
			t.Fatalf("state in force before offset %d (-want +got):\n%s", s.NextOffset, diff)
		}
	}
}

func TestFollower_OneVerdictWhoeverReadsWhenever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, log: &sliceLog{}, oracle: make([]State, 1)}
		w.join(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": w.propose, "propose again": w.proposeAgain, "propose invalid": w.proposeInvalid,
			"carry forward": w.carryForward, "cut": w.cut, "join": w.join, "read": w.read, "": w.check,
		})
	})
}
