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

// logModel is a log with concurrent operators, entries that write checkpoints
// late, expiring records, and readers. Its oracle has applied every record
// from the first one on.
type logModel struct {
	t   *rapid.T
	log *sliceLog
	// oracle holds the state before each offset.
	oracle  []State
	readers []*modelReader
	ids     int
}

type modelReader struct {
	follower *Follower
	// revision is the highest revision that has been in force.
	revision identifier.Revision
}

func (m *logModel) append(data []byte) {
	_, _ = m.log.Append(context.Background(), "", [][]byte{data})
	now := m.oracle[len(m.oracle)-1]
	next, _ := now.Apply(m.log.records[len(m.log.records)-1])
	m.oracle = append(m.oracle, next)
}

// earlierState draws a state from at most lag records ago, as known to an
// operator or entry that was paused.
func (m *logModel) earlierState(lag int) State {
	n := len(m.oracle) - 1
	return m.oracle[max(0, n-rapid.IntRange(0, lag).Draw(m.t, "lag"))]
}

func (m *logModel) newDocument(base State) validator.Document {
	m.ids++
	return newDocument(fmt.Sprintf("document-%d", m.ids), base.Revision, 2+m.ids%3, 2, 3)
}

func (m *logModel) propose(*rapid.T) {
	base := m.earlierState(3)
	m.append(mustEncodeProposal(m.t, base.Document, m.newDocument(base)))
}

// proposeAgain appends a document that was accepted before, either unchanged
// or with different content under the same id.
func (m *logModel) proposeAgain(t *rapid.T) {
	base := m.earlierState(6)
	if base.Document == nil {
		m.propose(t) // No document accepted yet.
		return
	}
	d := *base.Document
	if rapid.Bool().Draw(t, "changed") {
		d = newDocument(string(d.ID), base.Revision, 5, 1, 2)
	}
	m.append(mustEncodeProposal(t, base.Document, d))
}

func (m *logModel) proposeInvalid(t *rapid.T) {
	base := m.earlierState(0)
	d := m.newDocument(base)
	d.Grants[0].Approval.Expires = epoch
	data := mustEncodeProposal(t, base.Document, d)
	if rapid.Bool().Draw(t, "corrupted") {
		data[len(data)/2] ^= 0x55
	}
	m.append(data)
}

func (m *logModel) appendCheckpoint(t *rapid.T) {
	c, err := m.earlierState(12).Checkpoint()
	if err != nil {
		m.propose(t) // No document accepted yet.
		return
	}
	m.append(mustEncode(t, c))
}

func (m *logModel) expireRecords(t *rapid.T) {
	m.log.first = identifier.LogOffset(rapid.IntRange(int(m.log.first), len(m.log.records)).Draw(t, "first-kept"))
}

func (m *logModel) addReader(*rapid.T) {
	if len(m.readers) > 5 {
		m.readers = m.readers[1:]
	}
	r := &modelReader{}
	peers := peersFunc(func() (State, error) {
		for _, other := range m.readers {
			if s, ok := other.follower.State(); ok && s.Document != nil && other != r {
				return s, nil
			}
		}
		return State{}, errNoPeer
	})
	r.follower = NewFollower(clockwork.NewFakeClock(), m.log, peers, nil, Options{})
	m.readers = append(m.readers, r)
}

func (m *logModel) read(t *rapid.T) {
	r := rapid.SampledFrom(m.readers).Draw(t, "reader")
	for range rapid.IntRange(1, 12).Draw(t, "pages") {
		_ = r.follower.readPage(context.Background())
	}
}

// check runs after every action. The state of each reader must equal that of
// the oracle, no matter when the reader has joined.
func (m *logModel) check(t *rapid.T) {
	for _, r := range m.readers {
		s, inForce := r.follower.State()
		if s.Revision < r.revision {
			t.Fatalf("revision went back from %d to %d", r.revision, s.Revision)
		}
		r.revision = s.Revision
		if !inForce {
			continue
		}
		if diff := cmp.Diff(m.oracle[s.NextOffset], s); diff != "" {
			t.Fatalf("state in force before offset %d (-want +got):\n%s", s.NextOffset, diff)
		}
	}
}

func TestFollower_AllReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &logModel{t: t, log: &sliceLog{}, oracle: make([]State, 1)}
		m.addReader(t)
		t.Repeat(map[string]func(*rapid.T){
			"propose": m.propose, "propose again": m.proposeAgain, "propose invalid": m.proposeInvalid,
			"checkpoint": m.appendCheckpoint, "expire records": m.expireRecords, "join": m.addReader, "read": m.read, "": m.check,
		})
	})
}
