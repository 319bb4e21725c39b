package scheduler

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/cataloger"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recoverer"
	"github.com/lycheeladder/lycheeladder/ladder/router"
	"github.com/lycheeladder/lycheeladder/ladder/sender"
)

// Silence and speed are compared with the usualGap values of the targets of the same
// service, because an event takes longer the more requests an engine runs
// concurrently.

func (t *task) newCall(version identifier.WeightVersion) sender.Call {
	header := make(http.Header, len(t.item.Headers))
	for name, value := range t.item.Headers {
		header.Set(name, value)
	}
	return sender.Call{
		ID: string(t.item.ID), Method: http.MethodPost, Path: t.item.Path, Host: t.job.Host,
		Header: header, Body: t.item.Body, ResumeAfter: t.lastEvent, RequiredVersion: version, Urgency: t.urgency(), Identify: true,
		Account: t.job.Account, AccountsInForce: t.scheduler.catalog.Configuration().HasAccounts(),
	}
}

// generate makes one target continue the text. It returns true if the text is
// complete, and otherwise the reason for moving to another target.
func (t *task) generate(ctx context.Context, target cataloger.Target) (done bool, err error) {
	s := t.scheduler
	defer s.router.Done(target.Name, router.Monitored)
	itemCtx := ctx
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := t.startWatchdog(target, cancel)
	defer watch.stop()
	var requiredVersion identifier.WeightVersion
	if t.route.SingleVersion {
		requiredVersion = target.Weights[t.job.Model]
	}
	start := s.clock.Now()
	answer, err := s.sender.Send(ctx, target, t.newCall(requiredVersion))
	if err != nil && itemCtx.Err() == nil && !errors.Is(err, sender.ErrLimited) {
		t.targetFailed(target, failureCooldown)
	}
	if err != nil {
		return false, sender.Cause(ctx, err)
	}
	defer answer.Body.Close()
	if load := answer.Load; load != nil {
		s.router.RecordReportedLoad(target.Name, load.Running, load.Waiting)
	}
	switch {
	case answer.NotRun:
		s.avoid(target.Name, refusalCooldown)
		return false, errors.Errorf("target refused the item with status %d", answer.Status)
	case !answer.Succeeded():
		return false, &statusError{answer.Status}
	case answer.Version > 0 && t.job.Model != "":
		s.catalog.RecordWeights(target.Name, t.job.Model, answer.Version)
		if answer.Version < t.job.MinVersion {
			return false, errors.Errorf("weight version %d of the target is older than the job allows", answer.Version)
		}
	}
	done, err = t.readEvents(ctx, answer, target, start, watch)
	if err != nil && itemCtx.Err() == nil {
		t.leaveTarget(target.Name)
		if !errors.Is(err, errMixedVersions) && !errors.Is(err, errSlowTarget) && !errors.Is(err, cataloger.ErrReplaced) {
			t.targetFailed(target, 0)
		}
	}
	return done, sender.Cause(ctx, err)
}

// leaveTarget keeps the item away from a target for returnDelay.
func (t *task) leaveTarget(name identifier.TargetName) {
	t.leftTarget, t.leftUntil = name, t.scheduler.clock.Now().Add(returnDelay)
}

func (t *task) targetFailed(target cataloger.Target, cooldown time.Duration) {
	t.leaveTarget(target.Name)
	t.scheduler.router.RecordFailure(target.Name)
	if cooldown > 0 {
		t.scheduler.avoid(target.Name, cooldown)
	}
}

// statusError says that the target ran the item and answered with an error.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("target answered with status %d", e.status)
}

// errSlowTarget says that the item is expected to finish earlier on another target.
var errSlowTarget = errors.New("target is slow")

// errTextTooLarge says that the text does not fit in a result record, as when a
// target never stops generating.
var errTextTooLarge = errors.New("text too large for a result record")

var errMixedVersions = errors.New("text would mix weight versions")

// readEvents appends events to the text until the response ends.
func (t *task) readEvents(ctx context.Context, answer *sender.Response, target cataloger.Target, lastEventAt time.Time, watch *watchdog) (done bool, err error) {
	s := t.scheduler
	events, version := sender.CheckOrder(s.sender.Events(answer), t.lastEvent, sender.Consecutive), answer.Version
	first, slowEvents := true, 0
	var confirmed <-chan bool
	for {
		e, err := events.Next()
		select {
		case ok := <-confirmed:
			t.applyConfirmation(target, ok)
		default:
		}
		if errors.Is(err, io.EOF) {
			return true, nil
		}
		if err != nil {
			return false, err
		}
		if first {
			if err := t.checkSoftware(target, answer); err != nil {
				return false, err
			}
			confirmed = t.confirmStart(ctx, answer)
		}
		now := s.clock.Now()
		usualGap := s.router.MeanChunkInterval(target.Service)
		if gap := now.Sub(lastEventAt); !first && usualGap > 0 && float64(gap) > slowGapFactor*float64(usualGap) {
			slowEvents++
		} else {
			slowEvents = 0
		}
		s.router.RecordChunk(target.Name, now.Sub(lastEventAt), first)
		lastEventAt, first = now, false
		if e.Version > 0 {
			version = e.Version
			s.catalog.RecordWeights(target.Name, t.job.Model, version)
		}
		if !t.appendEvent(e, version) {
			t.discardText()
			return false, errMixedVersions
		}
		watch.eventReceived(stallTimeoutFor(usualGap))
		if t.textBytes > s.jobs.MaxTextBytes() {
			t.discardText()
			return false, errTextTooLarge
		}
		t.saveText()
		if t.mayMove() && (slowEvents >= slowEventCount || t.atMoveCheck()) && s.hasFasterTarget(t, target) {
			t.moves++
			return false, errSlowTarget
		}
	}
}

// checkSoftware returns cataloger.ErrReplaced if the text can't go on at the target, which has begun
// to respond.
func (t *task) checkSoftware(target cataloger.Target, answer *sender.Response) error {
	c := t.scheduler.catalog
	if answer.ConfirmListedStart != nil {
		if t.lastEvent > 0 {
			return cataloger.ErrReplaced
		}
		t.software, t.unlisted = c.UnknownResponder(target).Software, cataloger.Incarnation{}
		return nil
	}
	r, err := c.Responder(target, answer.StartID)
	if err != nil {
		return err
	}
	if t.lastEvent > 0 {
		if r.Software != t.software {
			return cataloger.ErrReplaced
		}
		return nil
	}
	t.software, t.unlisted = r.Software, cataloger.Incarnation{}
	if r.Unlisted {
		t.unlisted = r.Incarnation
	}
	return nil
}

// confirmStart asks a target that has not said which start of it responds once more, in the
// background. The channel is nil if there is nothing to ask.
func (t *task) confirmStart(ctx context.Context, answer *sender.Response) <-chan bool {
	if answer.ConfirmListedStart == nil {
		return nil
	}
	confirmed := make(chan bool, 1)
	go func() {
		_ = recoverer.CatchPanic("start of an item's target", func() { confirmed <- answer.ConfirmListedStart(ctx) }) // already logged
	}()
	return confirmed
}

// applyConfirmation gives a text the version of the listed start if that was confirmed to respond.
func (t *task) applyConfirmation(target cataloger.Target, confirmed bool) {
	if r, err := t.scheduler.catalog.Responder(target, 0); confirmed && err == nil {
		t.software = r.Software
	}
}

// stallTimeoutFor returns how long a target may be silent before the item moves to
// another one.
func stallTimeoutFor(usualGap time.Duration) time.Duration {
	if usualGap == 0 {
		return defaultStallTimeout
	}
	return max(minStallTimeout, stallGapFactor*usualGap)
}

// mayMove reports whether the item is long enough to be worth a move and may be sent
// to another target.
func (t *task) mayMove() bool {
	return int(t.lastEvent) >= minEventsBeforeMove && t.moves < maxMoves && t.scheduler.hasFreshCopy(t.key.job)
}

// atMoveCheck reports whether to look for a faster target although the current one is
// not slow.
func (t *task) atMoveCheck() bool { return int(t.lastEvent)%moveCheckInterval == 0 }

// appendEvent returns false if the text would mix weight versions on a single-version
// route.
func (t *task) appendEvent(e sender.Event, version identifier.WeightVersion) bool {
	t.text = append(t.text, e.Data)
	t.textBytes += len(e.Data) + 1
	t.lastEvent = e.Number
	if version > 0 && !slices.Contains(t.versions, version) {
		t.versions = append(t.versions, version)
		slices.Sort(t.versions)
	}
	return !t.route.SingleVersion || len(t.versions) <= 1
}
