// Package relayer answers for batch jobs at any entry: it asks the entry that
// works on the job, and the store where that entry doesn't answer.
package relayer

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/jobstorer"
	"github.com/lycheeladder/lycheeladder/ladder/joiner"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// The entry that works on a partition has its copy; any other would have to read
// the partition whole. Asking it keeps what an entry reads independent of how
// many entries there are. The copy in the store stays the truth: what
// needs an order is written under a condition, so that asking a former owner
// breaks nothing.

// answerTimeout is how long a peer's answer may take beyond the wait that it was
// asked for: an append to the store and a slow host.
const answerTimeout = 600 * time.Millisecond

// Books keeps the jobs; *jobstorer.Bookkeeper does.
type Books interface {
	Accept(ctx context.Context, s jobstorer.Submission) error
	End(ctx context.Context, id identifier.JobID) error
	Exists(ctx context.Context, id identifier.JobID) error
	Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (jobstorer.ResultPage, error)
	Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error)
	PartitionOf(id identifier.JobID) identifier.PartitionNumber
}

// Owners says who works on which partition; *joiner.Grouper does.
type Owners interface {
	Owns(n identifier.PartitionNumber) bool
	OwnerOf(n identifier.PartitionNumber) (joiner.Member, bool)
}

// Peers asks other entries; *consulter.Consulter does.
type Peers interface {
	Ask(ctx context.Context, address string, q messenger.Question) (messenger.Reply, error)
}

// Relayer answers for jobs through peers.
type Relayer struct {
	books  Books
	owners Owners
	self   joiner.Member
	peers  Peers
}

// New returns a Relayer for the process self.
func New(b Books, o Owners, p Peers, self joiner.Member) *Relayer {
	return &Relayer{books: b, owners: o, self: self, peers: p}
}

// errElsewhere says that a peer can't answer, and that nothing was done.
var errElsewhere = errors.New("the peer can't answer")

// ask asks the owner of the job. It returns errElsewhere where the own books
// must answer.
func (r *Relayer) ask(ctx context.Context, c messenger.JobCall) (data []byte, err error) {
	n := r.books.PartitionOf(c.Job)
	owner, ok := r.owners.OwnerOf(n)
	if !ok || r.owners.Owns(n) || owner == r.self {
		return nil, errElsewhere
	}
	bounded, cancel := context.WithTimeout(ctx, c.Wait+answerTimeout)
	defer cancel()
	reply, err := r.peers.Ask(bounded, string(owner), messenger.Question{Job: &c})
	if err != nil || reply.Job == nil {
		klog.InfoS("owner of a batch job doesn't answer, the store is asked", "job", c.Job, "verb", c.Verb, "owner", owner, "err", err)
		return nil, errElsewhere
	}
	switch reply.Job.Outcome {
	case messenger.JobDone:
		return reply.Job.Data, nil
	case messenger.JobUnknown:
		return nil, jobstorer.ErrUnknownJob
	case messenger.JobNotOwned:
	}
	return nil, errElsewhere
}

// Accept keeps a job.
func (r *Relayer) Accept(ctx context.Context, s jobstorer.Submission) error {
	return r.books.Accept(ctx, s)
}

// End ends a job. It returns jobstorer.ErrUnknownJob if the owner knows none.
func (r *Relayer) End(ctx context.Context, id identifier.JobID) error {
	_, err := r.ask(ctx, messenger.JobCall{Verb: messenger.JobExists, Job: id})
	if errors.Is(err, errElsewhere) && r.owners.Owns(r.books.PartitionOf(id)) {
		err = r.books.Exists(ctx, id)
	}
	if errors.Is(err, jobstorer.ErrUnknownJob) {
		return err
	}
	return r.books.End(ctx, id)
}

// Results returns a part of a job's results, as jobstorer.Bookkeeper does.
func (r *Relayer) Results(ctx context.Context, id identifier.JobID, after int, wait time.Duration, maxBytes int) (v jobstorer.ResultPage, err error) {
	data, err := r.ask(ctx, messenger.JobCall{Verb: messenger.JobResults, Job: id, After: after, Wait: wait, MaxBytes: maxBytes})
	if errors.Is(err, errElsewhere) {
		return r.books.Results(ctx, id, after, wait, maxBytes)
	}
	if err != nil {
		return v, err
	}
	return v, cbor.Unmarshal(data, &v)
}

// Body returns the body of an item.
func (r *Relayer) Body(ctx context.Context, id identifier.JobID, item identifier.ItemID) ([]byte, error) {
	data, err := r.ask(ctx, messenger.JobCall{Verb: messenger.JobBody, Job: id, Item: item})
	if errors.Is(err, errElsewhere) {
		return r.books.Body(ctx, id, item)
	}
	return data, err
}
