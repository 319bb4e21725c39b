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

// Each case switches off the mechanism of one promise, at a port, and the
// checks must see that the promise is broken. Without the switch-off the same
// case keeps it.
func TestChecks_SeeAMechanismSwitchedOff(t *testing.T) {
	stuck := weightSwitch()
	stuck.Options = trainingOptions(true, true)
	for n := range stuck.Options.Engines {
		stuck.Options.Engines[n].FailSwitches = 1000
	}
	alone := unkeyedCall()
	alone.Options.PlainTargets = 1
	forgetful := Scenario{Name: "trainer-keeps-no-books", Options: trainingOptions(true, true), act: takeWithoutBooks}
	tests := []struct {
		name, promise string
		scenario      Scenario
		faults        string
		hooks         Hooks
	}{
		{"label taken from the order", promiseLabels, weightSwitchUnstamped(), "", Hooks{Target: trustOrders}},
		{"bound not checked", promiseStaleness, stuck, "", Hooks{StalenessBound: 1000}},
		{"books not kept by the trainer", promiseOnce, forgetful, "", Hooks{}},
		{
			"end marker not needed", promiseWhole, liveStream(),
			"sidecar-engine-1.target.do.1=target-crashed+sidecar-engine-2.target.do.1=target-crashed",
			Hooks{Link: callWhole},
		},
		{
			"broken work called never started", promiseNotRun, alone, "sidecar-plain-1.target.do.1=target-crashed", Hooks{Link: callNeverStarted},
		},
		{"claim not read back", promiseAtMostOnce, keyedCall(), "", Hooks{Log: hideOthersClaims}},
		{
			"tombstone forgotten", promiseAtMostOnce, keyedCall(),
			"entry-1.link-sidecar-plain-1.send-start.1=paused-briefly+entry-1.link-sidecar-plain-2.send-start.1=paused-briefly",
			Hooks{Link: forgetTombstones},
		},
		{"leaving forgotten", promiseLeaving, targetLeaves(), "", Hooks{HideLeaving: true}},
		{"stop without a drain", promiseStops, sidecarStops(), "", Hooks{SkipDrain: true}},
		{"stop of an entry without a drain", promiseStops, entryStops(), "", Hooks{SkipDrain: true}},
		{"a record passed over by one reader", promiseConfiguration, operatorsRace(), "", Hooks{Log: passOver}},
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

// orderTruster takes an engine's version from what it was ordered.
type orderTruster struct {
	caller.Target
	mutex   sync.Mutex
	ordered identifier.WeightVersion
}

func trustOrders(_ string, t caller.Target) caller.Target { return &orderTruster{Target: t} }

func (o *orderTruster) Switch(ctx context.Context, order caller.WeightCommand) error {
	err := o.Target.Switch(ctx, order)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.ordered = order.Version
	return err
}

func (o *orderTruster) State(ctx context.Context) (caller.State, error) {
	s, err := o.Target.State(ctx)
	o.mutex.Lock()
	defer o.mutex.Unlock()
	s.Version = max(s.Version, o.ordered)
	return s, err
}

// takeWithoutBooks fetches twice without saying what it has.
func takeWithoutBooks(w *Simulation) {
	e := &trainerEntry{world: w, name: "entry-1"}
	g := groupOf("hanging-chain", 2, 10)
	_ = e.Open(w.ctx, deliverer.OpenRequest{Model: model, Session: 1})
	_ = e.Submit(w.ctx, deliverer.SubmitRequest{Model: model, Session: 1, Groups: []deliverer.Group{g}})
	w.wanted = g.Samples
	for range 2 {
		w.sleep(settleTime)
		b, _ := e.Fetch(w.ctx, deliverer.FetchRequest{Model: model, Session: 1, Version: 1, Limit: 8})
		for _, sample := range b.Samples {
			w.taken = append(w.taken, TakenSample{sample: sample, version: 1, tokens: 10})
		}
	}
}

// rewriter changes what a process receives; nil swallows a message.
type rewriter struct {
	messenger.Link
	rewrite func(m messenger.Message) messenger.Message
}

func (r *rewriter) Receive(ctx context.Context) (messenger.Message, error) {
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

func callWhole(process string, l messenger.Link) messenger.Link {
	if strings.HasPrefix(process, "sidecar") {
		return l
	}
	data := make(map[identifier.RequestID][]byte)
	return &rewriter{Link: l, rewrite: func(m messenger.Message) messenger.Message {
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

func callNeverStarted(process string, l messenger.Link) messenger.Link {
	return &rewriter{Link: l, rewrite: func(m messenger.Message) messenger.Message {
		if e, ok := m.(messenger.End); ok && e.Reason != messenger.EndComplete {
			return messenger.Refused{
				Request: e.Request, Attempt: e.Attempt, Incarnation: e.Incarnation, Reason: messenger.RefusedNeverStarted,
			}
		}
		return m
	}}
}

// forgetTombstones answers a Resume as the sidecar does, and keeps nothing.
func forgetTombstones(process string, l messenger.Link) messenger.Link {
	if !strings.HasPrefix(process, "sidecar") {
		return l
	}
	f := &forgetter{Link: l}
	return &rewriter{Link: f, rewrite: func(m messenger.Message) messenger.Message {
		if r, ok := m.(messenger.Resume); ok {
			_ = l.Send(context.Background(), messenger.Refused{
				Request: r.Request, Attempt: r.Attempt, Incarnation: f.incarnation, Reason: messenger.RefusedNeverStarted,
			})
			return nil
		}
		return m
	}}
}

// forgetter learns the sidecar's incarnation from its hello.
type forgetter struct {
	messenger.Link
	incarnation identifier.Incarnation
}

func (f *forgetter) Send(ctx context.Context, m messenger.Message) error {
	if h, ok := m.(messenger.Hello); ok {
		f.incarnation = h.Incarnation
	}
	return f.Link.Send(ctx, m)
}

// filter hides records from a reader.
type filter struct {
	appender.Log
	mutex sync.Mutex
	own   map[string]bool
	keep  func(f *filter, stream identifier.StreamName, data []byte) bool
}

func (f *filter) Append(ctx context.Context, stream identifier.StreamName, records [][]byte) (identifier.LogOffset, error) {
	f.mutex.Lock()
	for _, data := range records {
		f.own[string(data)] = true
	}
	f.mutex.Unlock()
	return f.Log.Append(ctx, stream, records)
}

func (f *filter) Read(ctx context.Context, stream identifier.StreamName, from identifier.LogOffset, limit int) (appender.Page, error) {
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
	return &filter{Log: l, own: make(map[string]bool), keep: func(f *filter, stream identifier.StreamName, data []byte) bool {
		var c claimer.Claim
		isClaim := strings.HasPrefix(string(stream), string(appender.StreamClaims)) && json.Unmarshal(data, &c) == nil
		return !isClaim || f.own[string(data)]
	}}
}

func passOver(process string, l appender.Log) appender.Log {
	return &filter{Log: l, own: make(map[string]bool), keep: func(_ *filter, _ identifier.StreamName, data []byte) bool {
		return process != "entry-2" || !strings.Contains(string(data), "change-a")
	}}
}
