package prover

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/cespare/xxhash/v2"

	"github.com/lycheeladder/lycheeladder/ladder/appender"
	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/claimer"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/messenger"
)

// Each case disables, at a port, the mechanism that one promise depends on. The
// checks must report a violation of that promise. With the mechanism enabled the
// same case has no violation.
func TestChecks_DetectDisabledMechanism(t *testing.T) {
	failingSwitch := weightSwitch()
	failingSwitch.Options = trainingOptions(true, true)
	for n := range failingSwitch.Options.Engines {
		failingSwitch.Options.Engines[n].FailSwitches = 1000
	}
	oneTarget := unkeyedCall()
	oneTarget.Options.PlainTargets = 1
	unacknowledged := Scenario{Name: "trainer-keeps-no-books", Options: trainingOptions(true, true), script: fetchWithoutAcknowledging}
	tests := []struct {
		name, promise string
		scenario      Scenario
		faults        string
		hooks         Hooks
	}{
		{"label taken from the switch command", promiseLabels, weightSwitchUnstamped(), "", Hooks{Target: reportCommandedVersion}},
		{"bound not checked", promiseStaleness, failingSwitch, "", Hooks{StalenessBound: 1000}},
		{"samples not acknowledged by the trainer", promiseOnce, unacknowledged, "", Hooks{}},
		{
			"interrupted stream reported as complete", promiseWhole, liveStream(),
			"sidecar-engine-1.target.do.1=target-crashed+sidecar-engine-2.target.do.1=target-crashed",
			Hooks{Link: markStreamsComplete},
		},
		{
			"interrupted work reported as never started", promiseNotRun, oneTarget, "sidecar-plain-1.target.do.1=target-crashed", Hooks{Link: reportNeverStarted},
		},
		{"claim not read back", promiseAtMostOnce, keyedCall(), "", Hooks{Log: hideOthersClaims}},
		{
			"tombstone not kept", promiseAtMostOnce, keyedCall(),
			"entry-1.link-sidecar-plain-1.send-start.1=paused-briefly+entry-1.link-sidecar-plain-2.send-start.1=paused-briefly",
			Hooks{Link: resumeWithoutTombstones},
		},
		{"host list does not show leaving", promiseLeaving, targetLeaves(), "", Hooks{HideLeaving: true}},
		{"stop without a drain", promiseStops, sidecarStops(), "", Hooks{SkipDrain: true}},
		{"stop of an entry without a drain", promiseStops, entryStops(), "", Hooks{SkipDrain: true}},
		{"record hidden from one reader", promiseConfiguration, operatorsRace(), "", Hooks{Log: hideChangeFromEntry2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := Case{Scenario: tt.scenario}
			if tt.faults != "" {
				plan, err := ParseFaults(tt.faults)
				if err != nil {
					t.Fatal(err)
				}
				c.Plan = plan
			}
			r := run(t, c, tt.hooks)
			if !slices.ContainsFunc(r.Violations, func(v Violation) bool { return v.Promise == tt.promise }) {
				t.Errorf("no violation of %s seen, only %v", tt.promise, r.Violations)
			}
		})
	}
}

// commandedVersionTarget reports the version of the last switch command if it is
// above the engine's actual version.
type commandedVersionTarget struct {
	caller.Target
	mutex     sync.Mutex
	commanded identifier.WeightVersion
}

func reportCommandedVersion(_ string, t caller.Target) caller.Target {
	return &commandedVersionTarget{Target: t}
}

func (t *commandedVersionTarget) Switch(ctx context.Context, command caller.WeightCommand) error {
	err := t.Target.Switch(ctx, command)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.commanded = command.Version
	return err
}

func (t *commandedVersionTarget) State(ctx context.Context) (caller.State, error) {
	s, err := t.Target.State(ctx)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s.Version = max(s.Version, t.commanded)
	return s, err
}

// fetchWithoutAcknowledging fetches twice without acknowledging the samples of the
// first fetch.
func fetchWithoutAcknowledging(sim *Simulation) {
	e := &trainerEntry{sim: sim, name: "entry-1"}
	g := groupOf("hanging-chain", 2, 10)
	_ = e.Open(sim.ctx, deliverer.OpenRequest{Model: model, Session: 1})
	_ = e.Submit(sim.ctx, deliverer.SubmitRequest{Model: model, Session: 1, Groups: []deliverer.Group{g}})
	sim.samplesRequested = g.Samples
	for range 2 {
		sim.sleep(settleTime)
		b, _ := e.Fetch(sim.ctx, deliverer.FetchRequest{Model: model, Session: 1, Version: 1, Limit: 8})
		for _, sample := range b.Samples {
			sim.takenSamples = append(sim.takenSamples, TakenSample{sample: sample, version: 1, tokens: 10})
		}
	}
}

// messageRewriter passes every received message through rewrite, and drops it if the
// result is nil.
type messageRewriter struct {
	messenger.Link
	rewrite func(m messenger.Message) messenger.Message
}

func (r *messageRewriter) Receive(ctx context.Context) (messenger.Message, error) {
	for {
		m, err := r.Link.Receive(ctx)
		if err != nil {
			return nil, err
		}
		if m = r.rewrite(m); m != nil {
			return m, nil
		}
	}
}

func markStreamsComplete(process string, l messenger.Link) messenger.Link {
	if strings.HasPrefix(process, "sidecar") {
		return l
	}
	data := make(map[identifier.RequestID][]byte)
	return &messageRewriter{Link: l, rewrite: func(m messenger.Message) messenger.Message {
		if c, ok := m.(messenger.Chunk); ok {
			data[c.Request] = append(data[c.Request], c.Data...)
		}
		if e, ok := m.(messenger.End); ok {
			e.Reason, e.Length, e.Checksum = messenger.EndComplete, uint64(len(data[e.Request])), xxhash.Sum64(data[e.Request])
			return e
		}
		return m
	}}
}

func reportNeverStarted(process string, l messenger.Link) messenger.Link {
	return &messageRewriter{Link: l, rewrite: func(m messenger.Message) messenger.Message {
		if e, ok := m.(messenger.End); ok && e.Reason != messenger.EndComplete {
			return messenger.Refused{
				Request: e.Request, Attempt: e.Attempt, Incarnation: e.Incarnation, Reason: messenger.RefusedNeverStarted,
			}
		}
		return m
	}}
}

// resumeWithoutTombstones answers a Resume in place of the sidecar, without keeping a
// tombstone that would stop a late Start.
func resumeWithoutTombstones(process string, l messenger.Link) messenger.Link {
	if !strings.HasPrefix(process, "sidecar") {
		return l
	}
	recorder := &incarnationRecorder{Link: l}
	return &messageRewriter{Link: recorder, rewrite: func(m messenger.Message) messenger.Message {
		if r, ok := m.(messenger.Resume); ok {
			_ = l.Send(context.Background(), messenger.Refused{
				Request: r.Request, Attempt: r.Attempt, Incarnation: recorder.incarnation, Reason: messenger.RefusedNeverStarted,
			})
			return nil
		}
		return m
	}}
}

// incarnationRecorder records the sidecar's incarnation from its Hello.
type incarnationRecorder struct {
	messenger.Link
	incarnation identifier.Incarnation
}

func (r *incarnationRecorder) Send(ctx context.Context, m messenger.Message) error {
	if h, ok := m.(messenger.Hello); ok {
		r.incarnation = h.Incarnation
	}
	return r.Link.Send(ctx, m)
}

// recordFilter replaces the records that keep rejects by empty ones.
type recordFilter struct {
	appender.Log
	mutex sync.Mutex
	own   map[string]bool
	keep  func(f *recordFilter, stream identifier.StreamName, data []byte) bool
}

func (f *recordFilter) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	f.mutex.Lock()
	for _, data := range records {
		f.own[string(data)] = true
	}
	f.mutex.Unlock()
	return f.Log.Append(ctx, stream, records)
}

func (f *recordFilter) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
	page, err := f.Log.Read(ctx, stream, from, limit)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for n, record := range page.Records {
		if !f.keep(f, stream, record.Data) {
			page.Records[n].Data = []byte("{}")
		}
	}
	return page, err
}

func hideOthersClaims(_ string, l appender.Log) appender.Log {
	return &recordFilter{Log: l, own: make(map[string]bool), keep: func(f *recordFilter, stream identifier.StreamName, data []byte) bool {
		var c claimer.Claim
		isClaim := strings.HasPrefix(string(stream), string(appender.StreamClaims)) && json.Unmarshal(data, &c) == nil
		return !isClaim || f.own[string(data)]
	}}
}

func hideChangeFromEntry2(process string, l appender.Log) appender.Log {
	return &recordFilter{Log: l, own: make(map[string]bool), keep: func(_ *recordFilter, _ identifier.StreamName, data []byte) bool {
		return process != "entry-2" || !strings.Contains(string(data), "change-a")
	}}
}
