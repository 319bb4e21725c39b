package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/fetcher"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/labeler"
	"github.com/lycheeladder/lycheeladder/ladder/starter"
)

// trainer simulates a trainer. It uses the fetcher package, as a real trainer
// does, and prints a trainerReport as JSON after its last step.
type trainer struct {
	Entry     []starter.Address        `help:"An entry, IP:port. May be given often." required:""`
	Key       string                   `help:"The trainer team's key." required:""`
	Model     identifier.ModelName     `help:"The model." required:""`
	Steps     int                      `help:"Steps to take." default:"3"`
	Groups    int                      `help:"Groups a step." default:"4"`
	Samples   int                      `help:"Samples a group." default:"4"`
	Tokens    int                      `help:"Tokens of a usual sample." default:"20"`
	Straggler int                      `help:"How many times longer the last group of a step is." default:"5"`
	TrainFor  time.Duration            `help:"Time to train on a step's samples." default:"200ms"`
	First     identifier.WeightVersion `help:"Weight version at the start." default:"1"`
}

// trainerReport counts the samples that the trainer requested and received.
type trainerReport struct {
	Steps         int     `json:"steps"`
	Requested     int     `json:"wanted"`
	Delivered     int     `json:"delivered"`
	Duplicates    int     `json:"duplicates"`
	Stale         int     `json:"stale"`
	Truncated     int     `json:"cut-short"`
	WithoutSpans  int     `json:"without-spans"`
	Unscored      int     `json:"unscored"`
	Spans         int     `json:"spans"`
	MeanStaleness float64 `json:"mean-staleness"`
	MaxStaleness  int     `json:"most-staleness"`
	IdleSeconds   float64 `json:"idle-seconds"`
	TotalSeconds  float64 `json:"total-seconds"`
}

func (t *trainer) run(ctx context.Context, stdout io.Writer) error {
	entries := make([]fetcher.Entry, 0, len(t.Entry))
	for _, address := range t.Entry {
		entries = append(entries, fetcher.NewHTTPEntry(string(address), t.Key))
	}
	f := fetcher.New(clockwork.NewRealClock(), entries, fetcher.Options{
		Model: t.Model, BatchLimit: 64, RetryDelay: 200 * time.Millisecond,
	})
	r := &trainerReport{}
	start := time.Now()
	version := t.First
	for step := range t.Steps {
		if err := t.runStep(ctx, f, step, version, r); err != nil {
			return errors.WithMessagef(err, "step %d", step)
		}
		time.Sleep(t.TrainFor)
		version++
		if err := f.Announce(ctx, version); err != nil {
			return err
		}
	}
	r.TotalSeconds = time.Since(start).Seconds()
	r.MeanStaleness /= float64(max(1, r.Delivered))
	r.Duplicates, r.Stale = f.Discarded()
	return json.NewEncoder(stdout).Encode(r)
}

func (t *trainer) runStep(ctx context.Context, f *fetcher.Fetcher, step int, version identifier.WeightVersion, r *trainerReport) error {
	bodies := make(map[identifier.GroupID]generationBody, t.Groups)
	groups := make([]deliverer.Group, 0, t.Groups)
	for g := range t.Groups {
		p := generationBody{Prompt: fmt.Sprintf("s%dg%d", step, g), MaxTokens: t.Tokens}
		if g == t.Groups-1 {
			p.MaxTokens *= t.Straggler
		}
		body, err := json.Marshal(p)
		if err != nil {
			return err
		}
		id := identifier.GroupID(fmt.Sprintf("%s-step-%d-group-%d", t.Model, step, g))
		bodies[id] = p
		groups = append(groups, deliverer.Group{ID: id, Body: body, Samples: t.Samples, ExpectedTokens: identifier.TokenCount(p.MaxTokens)})
	}
	if err := f.Submit(ctx, groups); err != nil {
		return err
	}
	r.Steps++
	r.Requested += t.Groups * t.Samples
	for range t.Groups * t.Samples {
		waitStart := time.Now()
		s, err := f.Next(ctx, version)
		if err != nil {
			return err
		}
		r.IdleSeconds += time.Since(waitStart).Seconds()
		r.addSample(s, bodies[s.Group], version)
	}
	return nil
}

// addSample checks a sample against the request body of its group and counts it.
func (r *trainerReport) addSample(s deliverer.Sample, p generationBody, version identifier.WeightVersion) {
	r.Delivered++
	r.Spans += len(s.Spans)
	if len(s.Spans) == 0 || int(s.Spans[len(s.Spans)-1].To) != p.MaxTokens {
		r.WithoutSpans++
	}
	if strings.Count(s.Text, p.Prompt+"-") != p.MaxTokens {
		r.Truncated++
	}
	if s.Reward == nil {
		r.Unscored++
	}
	if oldest := labeler.OldestVersion(s.Spans); oldest < version {
		staleness := int(version - oldest)
		r.MeanStaleness += float64(staleness)
		r.MaxStaleness = max(r.MaxStaleness, staleness)
	}
}
