package faker

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/caller"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
)

// EngineOptions configure an Engine.
type EngineOptions struct {
	Slots      int
	TokenTime  time.Duration
	LoadTime   time.Duration
	SwitchTime time.Duration
	// Version is the weight version that is active after every start.
	Version identifier.WeightVersion
	// Stamps makes each chunk carry the weight version that produced it.
	Stamps bool
	// FencingChecked rejects weight commands with an old fencing number.
	FencingChecked bool
	// FailSwitches is the number of switches that report success without switching.
	FailSwitches int
}

// Engine is a model engine. Token n of a run is the text prompt:run:n, so that its
// actual version and prompt can be looked up in the ledger.
type Engine struct {
	clock   clockwork.Clock
	options EngineOptions
	ledger  *Ledger
	name    identifier.TargetName
	slots   chan struct{}

	mutex          sync.Mutex
	boot           int
	crashed        chan struct{}
	version        identifier.WeightVersion
	loaded         []identifier.WeightVersion
	switches       uint64
	fencing        identifier.FencingToken
	failedSwitches int
	running        map[identifier.RequestID]context.CancelFunc
}

// NewEngine returns an Engine that records its runs in ledger.
func NewEngine(clock clockwork.Clock, name identifier.TargetName, ledger *Ledger, options EngineOptions) *Engine {
	e := &Engine{
		clock: clock, options: options, ledger: ledger, name: name,
		slots: make(chan struct{}, options.Slots), running: make(map[identifier.RequestID]context.CancelFunc),
	}
	e.start()
	return e
}

func (e *Engine) start() {
	e.boot++
	e.crashed = make(chan struct{})
	e.version, e.loaded, e.switches, e.fencing = e.options.Version, []identifier.WeightVersion{e.options.Version}, 0, 0
}

// Crash kills the engine's process, which restarts at once.
func (e *Engine) Crash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	close(e.crashed)
	e.start()
}

// Prompt is the body of a request to an Engine.
type Prompt struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max-tokens"`
}

// Body returns the prompt as JSON.
func (p Prompt) Body() []byte {
	data, _ := json.Marshal(p)
	return data
}

const statusOK = 200

// Do implements caller.Target.
func (e *Engine) Do(ctx context.Context, work caller.Work, sink func(caller.Chunk) error) (int, error) {
	var p Prompt
	if err := json.Unmarshal(work.Body, &p); err != nil {
		return 0, errors.WithMessage(caller.ErrRefused, err.Error())
	}
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return 0, caller.ErrIncomplete
	}
	defer func() { <-e.slots }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e.mutex.Lock()
	crashed := e.crashed
	e.running[work.Request] = cancel
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.running, work.Request)
	}()
	run := e.ledger.begin(e.name, p.Prompt, e.clock.Now())
	for n := range p.MaxTokens {
		select {
		case <-e.clock.After(e.options.TokenTime):
		case <-ctx.Done():
			return 0, caller.ErrIncomplete
		case <-crashed:
			return 0, caller.ErrIncomplete
		}
		if err := sink(e.token(p, run, n)); err != nil {
			return 0, caller.ErrIncomplete
		}
	}
	return statusOK, nil
}

func (e *Engine) token(p Prompt, run RunNumber, n int) caller.Chunk {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.ledger.token(run, e.version)
	chunk := caller.Chunk{Data: fmt.Appendf(nil, "%s:%d:%d ", p.Prompt, run, n), Tokens: 1}
	if e.options.Stamps {
		chunk.Version = e.version
	}
	return chunk
}

// Cancel implements caller.Target.
func (e *Engine) Cancel(_ context.Context, request identifier.RequestID) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if cancel, ok := e.running[request]; ok {
		cancel()
	}
	return nil
}

// State implements caller.Target.
func (e *Engine) State(ctx context.Context) (caller.State, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return caller.State{
		BootID: fmt.Sprintf("%s-%d", e.name, e.boot), Version: e.version, Loaded: slices.Clone(e.loaded),
		SwitchCount: e.switches, InFlight: len(e.running), Slots: e.options.Slots,
	}, ctx.Err()
}

// Load implements caller.Target.
func (e *Engine) Load(ctx context.Context, c caller.WeightCommand) error {
	if !e.acceptFencing(c) {
		return caller.ErrFenced
	}
	if err := e.sleep(ctx, e.options.LoadTime); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !slices.Contains(e.loaded, c.Version) {
		e.loaded = append(e.loaded, c.Version)
	}
	return nil
}

// Switch implements caller.Target.
func (e *Engine) Switch(ctx context.Context, c caller.WeightCommand) error {
	if !e.acceptFencing(c) {
		return caller.ErrFenced
	}
	if err := e.sleep(ctx, e.options.SwitchTime); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !slices.Contains(e.loaded, c.Version) {
		return errors.Errorf("version %d is not loaded", c.Version)
	}
	if e.failedSwitches < e.options.FailSwitches {
		e.failedSwitches++
		return nil
	}
	e.version = c.Version
	e.switches++
	return nil
}

func (e *Engine) sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-e.clock.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// acceptFencing returns whether the command's fencing number is acceptable, and
// records it.
func (e *Engine) acceptFencing(c caller.WeightCommand) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.options.FencingChecked && c.FencingNumber < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, c.FencingNumber)
	return true
}
