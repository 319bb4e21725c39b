package prover

import (
	"context"
	"testing"
	"time"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/injector"
)

// lateLog answers no read for a while, as it is for a process that stands still
// before its first one.
type lateLog struct {
	appender.Log
	until time.Time
}

func (l *lateLog) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	select {
	case <-time.After(time.Until(l.until)):
	case <-ctx.Done():
		return appender.Page{}, ctx.Err()
	}
	return l.Log.Read(ctx, stream, from, limit)
}

// forgotten plays a case in which entry-1 stands still before its first read, and
// entry-2, which alone knows what is in force, is killed while the log is away.
func forgotten(t *testing.T, retention time.Duration) Result {
	t.Helper()
	s := logOutage()
	s.Options.Retention = retention
	plan := []injector.Injection{
		{Step: "entry-1.link-sidecar-plain-1.receive-heartbeat.1", Kind: injector.Paused},
		{Step: "entry-2.link-sidecar-plain-1.send-release.1", Kind: injector.KilledAfter},
	}
	return run(t, Case{Scenario: s, Plan: plan}, Hooks{Log: func(process string, l appender.Log) appender.Log {
		if process != "entry-1" {
			return l
		}
		return &lateLog{Log: l, until: time.Now().Add(2 * time.Second)}
	}})
}

// Nothing can be served, and that is said truthfully.
func TestLogOutage_NobodyIsLeftWhoKnows(t *testing.T) {
	r := forgotten(t, shortRetention)
	for _, v := range r.Violations {
		t.Error(v)
	}
	if r.Excused == 0 {
		t.Error("nothing was excused: the case wasn't met")
	}
}

// The same is a violation while the log still tells what is in force: the step
// that the outage has held up for too long is seen.
func TestLogOutage_NothingIsExcusedThatTheLogStillTells(t *testing.T) {
	r := forgotten(t, time.Hour)
	if r.Excused != 0 || len(r.Violations) == 0 {
		t.Errorf("%d excused, violations %v; want none and some", r.Excused, r.Violations)
	}
}
