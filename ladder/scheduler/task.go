package scheduler

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"k8s.io/klog/v2"

	"github.com/lycheeladder/lycheeladder/ladder/bookkeeper"
	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/forwarder"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

const (
	// stallTimeout is the silence after which an item goes on elsewhere while
	// the usual pace isn't known.
	stallTimeout = 700 * time.Millisecond
	// leastStall and stallGaps bound the same where the pace is known: more
	// than the 2.5 times that a busy neighbour makes of it, less than the 0.9 s
	// of a load of weights.
	leastStall, stallGaps = 200 * time.Millisecond, 5
	// slowGaps is from how many times the usual gap on an event counts as slow,
	// and slowEvents after how many in a row an item looks for another target.
	slowGaps, slowEvents = 1.6, 2
	// moveEvents is how many events an item must have before it is moved. Of
	// items that are so long most have as many again before them; a move costs
	// about as much time as one or two, and a connection.
	moveEvents = 16
	// firstBackoff and longestBackoff bound the pause of an item that has got
	// nowhere in its last attempt; it doubles.
	firstBackoff, longestBackoff = 20 * time.Millisecond, time.Second
	// leftPause is how long an item doesn't go back to a target that it has
	// left: about a load of weights.
	leftPause = time.Second
	// moveLimit bounds the moves of one item for the sake of speed.
	moveLimit = 16
	// firstTimeout is the same before the first event, where a full engine
	// lets the item wait for a slot.
	firstTimeout = 1500 * time.Millisecond
	// scoreTimeout bounds one call of a scorer; the users' scorers aim at
	// 400 ms.
	scoreTimeout = 2 * time.Second
	// scorePause is between two calls of a scorer that has failed.
	scorePause = 100 * time.Millisecond
)

type taskKey struct {
	job  identifier.JobID
	item identifier.ItemID
}

// task is one item on its way to a result.
type task struct {
	scheduler *Scheduler
	key       taskKey
	job       *job
	item      *bookkeeper.Item
	// order is the item's place in its job.
	order int
	route cataloger.Route

	// wanted falls once: the item is listed, or is others' work. Guarded, as
	// busy, texted and cancel, by the scheduler's mutex.
	wanted bool
	// busy says that run is under way.
	busy bool
	// texted says that the text is whole.
	texted bool
	cancel context.CancelFunc
	// waiting is since when it has waited for a target.
	waiting time.Time
	// notBefore is when it may be placed again; backoff grows while it gets
	// nowhere.
	notBefore time.Time
	backoff   time.Duration

	// What follows belongs to run, and to the scheduler while it isn't busy.

	// text has the data of the events up to last.
	text [][]byte
	last identifier.EventNumber
	// versions are all that made an event of text, in rising order.
	versions []identifier.WeightVersion
	// failures counts the target's answers of failure.
	failures int
	// left is the target that the item has gone away from, and leftUntil when
	// it may go back: it may be the only one with the right weights.
	left      identifier.TargetName
	leftUntil time.Time
	// moves counts the times that it left a slow target.
	moves int
}

// end says that the item isn't wanted any more. The caller holds the
// scheduler's mutex.
func (t *task) end() {
	t.wanted = false
	if t.cancel != nil {
		t.cancel()
	}
}

// run generates as much of the text as one target gives, and scores it when it
// is whole.
func (t *task) run(ctx context.Context, target cataloger.Target) {
	s := t.scheduler
	before := t.last
	done, err := t.generate(ctx, target)
	s.router.Done(target.Name, router.Followed)
	s.Wake()
	switch {
	case ctx.Err() != nil:
	case done:
		s.mutex.Lock()
		t.texted = true
		s.mutex.Unlock()
		t.score(ctx)
	case err != nil:
		klog.InfoS("item goes on elsewhere", "job", t.key.job, "item", t.key.item, "target", target.Name, "after", t.last, "cause", err)
	}
	s.mutex.Lock()
	t.busy, t.waiting = false, s.clock.Now()
	t.backOff(err != nil && t.last <= before)
	t.cancel()
	s.mutex.Unlock()
	s.Wake()
}

// backOff lets an item wait that got nowhere. The caller holds the scheduler's
// mutex.
func (t *task) backOff(nowhere bool) {
	if !nowhere {
		t.backoff = 0
		return
	}
	t.backoff = min(max(firstBackoff, 2*t.backoff), longestBackoff)
	t.notBefore = t.waiting.Add(t.backoff)
}

func (t *task) call(version identifier.WeightVersion) sender.Call {
	header := make(http.Header, len(t.item.Headers))
	for name, value := range t.item.Headers {
		header.Set(name, value)
	}
	return sender.Call{
		ID: string(t.item.ID), Method: http.MethodPost, Path: t.item.Path, Host: t.job.Host,
		Header: header, Body: t.item.Body, ResumeAfter: t.last, OnlyVersion: version,
	}
}

// errStalled says that a target has been silent for too long.
var errStalled = errors.New("target is silent")

// generate asks one target to go on with the text. It returns true when the
// text is whole or the item is given up, and why it must go on elsewhere
// otherwise.
func (t *task) generate(ctx context.Context, target cataloger.Target) (done bool, err error) {
	s := t.scheduler
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := s.clock.AfterFunc(firstTimeout, func() { cancel(errStalled) })
	defer watch.Stop()
	var only identifier.WeightVersion
	if t.route.SingleVersion {
		only = target.Weights[t.job.Model]
	}
	begun := s.clock.Now()
	answer, err := s.sender.Send(ctx, target, t.call(only))
	if err != nil {
		t.fail(target, failedPause)
		return false, cause(ctx, err)
	}
	defer answer.Body.Close()
	switch {
	case answer.NotRun:
		s.avoid(target.Name, refusedPause)
		return false, errors.Errorf("refused with %d", answer.Status)
	case !answer.Succeeded():
		return t.countFailure(answer.Status), errors.Errorf("failed with %d", answer.Status)
	case answer.Version > 0 && t.job.Model != "":
		s.catalog.LearnWeights(target.Name, t.job.Model, answer.Version)
		if answer.Version < t.job.OldestVersion {
			return false, errors.Errorf("weights are at version %d", answer.Version)
		}
	}
	done, err = t.read(s.sender.Events(answer), answer.Version, target, begun, watch)
	if err != nil {
		t.leave(target.Name)
		if !errors.Is(err, errWrongVersions) && !errors.Is(err, errSlow) {
			t.fail(target, 0)
		}
	}
	return done, cause(ctx, err)
}

func cause(ctx context.Context, err error) error {
	if err != nil && errors.Is(context.Cause(ctx), errStalled) {
		return errStalled
	}
	return err
}

// leave keeps the item from a target for a while.
func (t *task) leave(name identifier.TargetName) {
	t.left, t.leftUntil = name, t.scheduler.clock.Now().Add(leftPause)
}

func (t *task) fail(target cataloger.Target, pause time.Duration) {
	t.leave(target.Name)
	t.scheduler.router.Failed(target.Name)
	if pause > 0 {
		t.scheduler.avoid(target.Name, pause)
	}
}

// errSlow says that the item would go on faster elsewhere.
var errSlow = errors.New("target is slow")

var errWrongVersions = errors.New("the text would have several versions")

// resetter is the watch's timer.
type resetter interface{ Reset(d time.Duration) bool }

// read adds the events to the text until the answer ends.
func (t *task) read(events sender.Events, version identifier.WeightVersion, target cataloger.Target, before time.Time, watch resetter) (done bool, err error) {
	s := t.scheduler
	first, slow := true, 0
	for {
		e, err := events.Next()
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		now := s.clock.Now()
		usual := s.router.UsualGap(target.Service)
		if gap := now.Sub(before); !first && usual > 0 && float64(gap) > slowGaps*float64(usual) {
			slow++
		} else {
			slow = 0
		}
		s.router.Heard(target.Name, now.Sub(before), first)
		before, first = now, false
		watch.Reset(stallAfter(usual))
		if e.Version > 0 {
			version = e.Version
			s.catalog.LearnWeights(target.Name, t.job.Model, version)
		}
		if e.Number != t.last+1 {
			return false, errors.Errorf("event %d came after %d", e.Number, t.last)
		}
		if !t.add(e, version) {
			t.text, t.last, t.versions = nil, 0, nil
			return false, errWrongVersions
		}
		if slow >= slowEvents && t.shouldMove() {
			t.moves++
			return false, errSlow
		}
	}
}

// stallAfter is the silence after which an item goes on elsewhere.
func stallAfter(usual time.Duration) time.Duration {
	if usual == 0 {
		return stallTimeout
	}
	return max(leastStall, stallGaps*usual)
}

// shouldMove says whether the item is long enough for a move, and has a faster
// target to go to.
func (t *task) shouldMove() bool {
	return int(t.last) >= moveEvents && t.moves < moveLimit && t.scheduler.fasterTarget(t)
}

// add returns false if the text would have several versions and must not.
func (t *task) add(e sender.Event, version identifier.WeightVersion) bool {
	t.text = append(t.text, e.Data)
	t.last = e.Number
	if version > 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
		slices.Sort(t.versions)
	}
	return !t.route.SingleVersion || len(t.versions) <= 1
}

// countFailure returns true if the item is given up.
func (t *task) countFailure(status int) bool {
	t.failures++
	if status == http.StatusUnprocessableEntity {
		t.failures = max(t.failures, t.maxAttempts())
	}
	if t.failures < t.maxAttempts() {
		return false
	}
	klog.InfoS("item given up", "job", t.key.job, "item", t.key.item, "status", status, "failures", t.failures)
	t.list(bookkeeper.Result{Item: t.key.item, State: bookkeeper.ResultFailed})
	t.text = nil
	return true
}

func (t *task) maxAttempts() int { return max(1, t.route.MaxAttempts) }

func (t *task) list(r bookkeeper.Result) {
	t.scheduler.books.List(bookkeeper.Outcome{Job: t.key.job, Result: r})
}

// score has the whole text scored and lists the result.
func (t *task) score(ctx context.Context) {
	if t.failures >= t.maxAttempts() {
		return
	}
	r := bookkeeper.Result{
		Item: t.key.item, State: bookkeeper.ResultCompleted,
		Text: bytes.Join(t.text, []byte("\n")), Versions: t.versions,
	}
	if t.item.Scorer != nil {
		signature, ok := t.callScorer(ctx)
		if ctx.Err() != nil {
			return
		}
		if !ok {
			r = bookkeeper.Result{Item: t.key.item, State: bookkeeper.ResultFailed}
		}
		r.Score = signature
	}
	klog.InfoS("item done", "job", t.key.job, "item", t.key.item, "state", r.State, "events", t.last, "expected-tokens", t.item.ExpectedTokens,
		"versions", t.versions, "job-age", t.scheduler.clock.Since(t.job.accepted))
	t.list(r)
}

// callScorer asks until the scorer succeeds, or has failed as often as its route
// allows.
func (t *task) callScorer(ctx context.Context) (signature string, ok bool) {
	s, scorer := t.scheduler, t.item.Scorer
	for failures := 0; ctx.Err() == nil; {
		configuration := s.catalog.Configuration()
		route, routed := configuration.Match(scorer.Host, scorer.Path)
		if routed {
			o := s.forwarder.Forward(ctx, route, forwarder.Request{
				ID: scorer.ID, Method: http.MethodPost, Path: scorer.Path, Host: scorer.Host,
				Header: http.Header{}, Body: scorer.Body, TimeLeft: scoreTimeout,
			})
			if w, whole := o.(forwarder.Whole); whole {
				if w.Status >= 200 && w.Status < 300 && w.Signature != "" {
					return w.Signature, true
				}
				// A whole answer of failure ends a forwarding only after as many
				// attempts as the route allows, or where none may follow.
				failures++
				klog.InfoS("scorer failed", "job", t.key.job, "item", t.key.item, "scorer", scorer.ID, "status", w.Status, "failures", failures)
				if failures >= max(1, route.MaxAttempts) {
					return "", false
				}
			}
		}
		select {
		case <-s.clock.After(scorePause):
		case <-ctx.Done():
		}
	}
	return "", false
}
