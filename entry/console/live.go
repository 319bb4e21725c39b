package console

import (
	"fmt"
	"html/template"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/lycheeladder/lycheeladder/entry/plotter"
	"github.com/lycheeladder/lycheeladder/ladder/coordinator"
	"github.com/lycheeladder/lycheeladder/ladder/deliverer"
	"github.com/lycheeladder/lycheeladder/ladder/differ"
	"github.com/lycheeladder/lycheeladder/ladder/dispatcher"
	"github.com/lycheeladder/lycheeladder/ladder/explainer"
	"github.com/lycheeladder/lycheeladder/ladder/historian"
	"github.com/lycheeladder/lycheeladder/ladder/identifier"
	"github.com/lycheeladder/lycheeladder/ladder/recorder"
)

// templateFunctions are the functions available in the templates.
var templateFunctions = template.FuncMap{
	"plot": func(s recorder.Summary) template.HTML {
		return plotter.BarChart(s.Buckets, fmt.Sprintf("%s %s %s: %d requests, median %.1f ms, 99th percentile %.1f ms",
			s.Team, s.Class, s.Measure, s.Count, s.Median, s.P99))
	},
	"milliseconds": func(f float64) string { return strconv.FormatFloat(f, 'f', 1, 64) },
	"round":        func(d time.Duration) string { return d.Round(time.Millisecond).String() },
	"when":         func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 MST") },
	"brief":        truncate,
	"section":      sectionOf,
}

// maxValueBytes is the length at which a value in a table is cut off.
const maxValueBytes = 60

func truncate(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxValueBytes], "") + "…"
}

// liveContent is the content of the page with the live state.
type liveContent struct {
	Status coordinator.Status
	// Lowest and Highest are the range of the revisions in force at this entry and
	// at the sidecars linked to it.
	Lowest, Highest identifier.Revision
	// Goals are the weights that the engines of each model should run.
	Goals map[identifier.ModelName]identifier.WeightVersion
	// Asked is the id of the request to explain, or "". Found is nil if this entry
	// does not know the request.
	Asked   string
	Found   *explainer.Decision
	Meaning explainer.Meaning
}

func (c *Console) live(x fiber.Ctx) error {
	content := liveContent{Status: c.coordinator.Status(), Asked: strings.TrimSpace(x.Query("request"))}
	content.Goals = make(map[identifier.ModelName]identifier.WeightVersion, len(content.Status.Goals))
	for _, g := range content.Status.Goals {
		content.Goals[g.Model] = g.Version
	}
	content.Lowest, content.Highest = content.Status.Revision, content.Status.Revision
	for _, t := range content.Status.Targets {
		content.Lowest, content.Highest = min(content.Lowest, t.Revision), max(content.Highest, t.Revision)
	}
	slices.SortFunc(content.Status.Targets, func(a, b dispatcher.TargetStatus) int {
		return strings.Compare(string(a.Service+" "+identifier.ServiceName(a.Target)), string(b.Service+" "+identifier.ServiceName(b.Target)))
	})
	slices.SortFunc(content.Status.Sessions, func(a, b deliverer.SessionStatus) int { return strings.Compare(string(a.Model), string(b.Model)) })
	if d, ok := c.coordinator.Explainer().Find(identifier.RequestID(content.Asked)); ok {
		content.Found, content.Meaning = &d, explainer.MeaningByCode(d.Code)
	}
	return c.render(x, "live.html", "Live", "live", content)
}

// historyContent is the content of the history page.
type historyContent struct {
	Entries []historian.ProposalSummary
	// Failure is why the history could not be read, or "".
	Failure string
}

func (c *Console) history(x fiber.Ctx) error {
	entries, err := c.historian.Proposals(x.Context())
	content := historyContent{Entries: entries}
	if err != nil {
		content.Failure = err.Error()
	}
	return c.render(x, "history.html", "History", "history", content)
}

// revisionContent is the content of the page of one revision.
type revisionContent struct {
	Revision identifier.Revision
	// Known is set if this revision and the one before it could be found.
	Known   bool
	Changes []differ.Change
	// Failure is why the revision could not be read, or "".
	Failure string
}

// revision shows the changes of one revision.
func (c *Console) revision(x fiber.Ctx) error {
	n, err := strconv.ParseUint(x.Params("revision"), 10, 64)
	if err != nil || n == 0 {
		return fiber.ErrNotFound
	}
	content := revisionContent{Revision: identifier.Revision(n)}
	d, err := c.historian.At(x.Context(), content.Revision)
	if err == nil && d != nil {
		before, _ := c.historian.At(x.Context(), content.Revision-1)
		content.Known = before != nil || content.Revision == 1
		content.Changes, err = differ.Diff(before, d)
	}
	if err != nil {
		content.Failure = err.Error()
	}
	return c.render(x, "revision.html", "Revision "+x.Params("revision"), "history", content)
}
