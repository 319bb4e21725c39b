package scheduler

import (
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Silence and pace are judged against what is usual among the service's targets,
// since a step takes longer the more requests run beside it.

func (t *task) call(version identifier.WeightVersion) sender.Call {
	header := make(http.Header, len(t.item.Headers))
	for name, value := range t.item.Headers {
		header.Set(name, value)
	}
	return sender.Call{
		ID: string(t.item.ID), Method: http.MethodPost, Path: t.item.Path, Host: t.job.Host,
		Header: header, Body: t.item.Body, ResumeAfter: t.last, RequiredVersion: version, Urgency: t.urgency(),
	}
}

// generate asks one target to go on with the text. It returns true when the
// text is whole or the item is given up, and why it must go on elsewhere
// otherwise.
func (t *task) generate(ctx context.Context, target cataloger.Target) (done bool, err error) {
	s := t.scheduler
	defer s.router.Done(target.Name, router.Monitored)
	wanted := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := t.startWatch(target, cancel)
	defer watch.stop()
	var only identifier.WeightVersion
	if t.route.SingleVersion {
		only = target.Weights[t.job.Model]
	}
	begun := s.clock.Now()
	answer, err := s.sender.Send(ctx, target, t.call(only))
	if err != nil && wanted.Err() == nil {
		t.fail(target, failedPause)
	}
	if err != nil {
		return false, sender.Cause(ctx, err)
	}
	defer answer.Body.Close()
	if l := answer.Load; l != nil {
		s.router.RecordReportedLoad(target.Name, l.Running, l.Waiting)
	}
	switch {
	case answer.NotRun:
		s.avoid(target.Name, refusedPause)
		return false, errors.Errorf("refused with %d", answer.Status)
	case !answer.Succeeded():
		return t.countFailure(answer.Status), errors.Errorf("failed with %d", answer.Status)
	case answer.Version > 0 && t.job.Model != "":
		s.catalog.RecordWeights(target.Name, t.job.Model, answer.Version)
		if answer.Version < t.job.MinVersion {
			return false, errors.Errorf("weights are at version %d", answer.Version)
		}
	}
	done, err = t.read(s.sender.Events(answer), answer.Version, target, begun, watch)
	if err != nil && wanted.Err() == nil {
		t.leave(target.Name)
		if !errors.Is(err, errWrongVersions) && !errors.Is(err, errSlow) {
			t.fail(target, 0)
		}
	}
	return done, sender.Cause(ctx, err)
}

// leave keeps the item from a target for a while.
func (t *task) leave(name identifier.TargetName) {
	t.left, t.leftUntil = name, t.scheduler.clock.Now().Add(leftPause)
}

func (t *task) fail(target cataloger.Target, pause time.Duration) {
	t.leave(target.Name)
	t.scheduler.router.RecordFailure(target.Name)
	if pause > 0 {
		t.scheduler.avoid(target.Name, pause)
	}
}

// errSlow says that the item would go on faster elsewhere.
var errSlow = errors.New("target is slow")

// errTextTooLarge says that no result could hold the text: the target goes on
// without end.
var errTextTooLarge = errors.New("the text is too large for a result")

var errWrongVersions = errors.New("the text would have several versions")

// read adds the events to the text until the answer ends.
func (t *task) read(events sender.Events, version identifier.WeightVersion, target cataloger.Target, before time.Time, watch *watch) (done bool, err error) {
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
		usual := s.router.MeanChunkInterval(target.Service)
		if gap := now.Sub(before); !first && usual > 0 && float64(gap) > slowGaps*float64(usual) {
			slow++
		} else {
			slow = 0
		}
		s.router.RecordChunk(target.Name, now.Sub(before), first)
		before, first = now, false
		watch.heard(stallAfter(usual))
		if e.Version > 0 {
			version = e.Version
			s.catalog.RecordWeights(target.Name, t.job.Model, version)
		}
		if e.Number != t.last+1 {
			return false, errors.Errorf("event %d came after %d", e.Number, t.last)
		}
		if !t.add(e, version) {
			t.dropText()
			return false, errWrongVersions
		}
		if t.textBytes > s.books.MaxTextBytes() {
			t.dropText()
			return false, errTextTooLarge
		}
		t.save()
		if t.mayMove() && (slow >= slowEvents || t.atMoveCheck()) && s.fasterTarget(t, target) {
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

// mayMove says whether the item is long enough for a move, and may be sent.
func (t *task) mayMove() bool {
	return int(t.last) >= moveEvents && t.moves < moveLimit && t.scheduler.knowsNews(t.key.job)
}

// atMoveCheck says whether to look for a faster target without a sign of trouble.
func (t *task) atMoveCheck() bool { return int(t.last)%moveCheckEvents == 0 }

// add returns false if the text would have several versions and must not.
func (t *task) add(e sender.Event, version identifier.WeightVersion) bool {
	t.text = append(t.text, e.Data)
	t.textBytes += len(e.Data) + 1
	t.last = e.Number
	if version > 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
		slices.Sort(t.versions)
	}
	return !t.route.SingleVersion || len(t.versions) <= 1
}
