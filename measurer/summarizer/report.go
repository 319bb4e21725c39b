// Package summarizer sums up what a measure gave over several seeds.
package summarizer

import (
	"fmt"
	"slices"
	"strings"
)

// Report is the result of one measure.
type Report struct {
	// Name is the verb's.
	Name  string
	Title string
	// Setup says what was run, for the reader of the page.
	Setup string
	Series   []Series
	Goals    []Goal
}

// Series is one variant's figure over the seeds.
type Series struct {
	Deployment string
	Variant    string
	Metric     string
	Unit       string
	// Values has one figure per seed, in the order of the seeds.
	Values []float64
}

// Goal is a bound and what was measured against it.
type Goal struct {
	Deployment string
	Description       string
	// Value is the median over the seeds, and is at most Bound if the aim is
	// met, or at least Bound if AtLeast is set.
	Value   float64
	Bound   float64
	AtLeast bool
}

// Met says whether the aim is met.
func (a Goal) Met() bool {
	if a.AtLeast {
		return a.Value >= a.Bound
	}
	return a.Value <= a.Bound
}

// Verdict is "met" or "MISSED".
func (a Goal) Verdict() string {
	if a.Met() {
		return "met"
	}
	return "MISSED"
}

// MustFind returns the line of a variant; it panics if there is none, since the
// measure that asks has just made it.
func (r *Report) MustFind(deployment, variant, figure string) Series {
	for _, l := range r.Series {
		if l.Deployment == deployment && l.Variant == variant && l.Metric == figure {
			return l
		}
	}
	panic(fmt.Sprintf("measurer: %s: no line %s/%s/%s", r.Name, deployment, variant, figure))
}

// MedianRatio returns the median over the seeds of a's value over b's.
func MedianRatio(a, b Series) float64 {
	ratios := make([]float64, len(a.Values))
	for n := range a.Values {
		ratios[n] = a.Values[n] / b.Values[n]
	}
	return Quantile(ratios, 0.5)
}

// Quantile returns the value below which a share of the values lies, 0 for
// none. It leaves values as they are.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Mean returns the mean, 0 for none.
func Mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Markdown returns the report as a section of a page.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n![%s](plots/%s.svg)\n\n", r.Title, r.Setup, r.Title, r.Name)
	b.WriteString("| deployment | variant | figure | unit | median | least | most |\n|---|---|---|---|---|---|---|\n")
	for _, l := range r.Series {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", l.Deployment, l.Variant, l.Metric, l.Unit,
			formatNumber(Quantile(l.Values, 0.5)), formatNumber(slices.Min(l.Values)), formatNumber(slices.Max(l.Values)))
	}
	b.WriteString("\n| deployment | aim | measured | bound | verdict |\n|---|---|---|---|---|\n")
	for _, a := range r.Goals {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", a.Deployment, a.Description, formatNumber(a.Value), formatNumber(a.Bound), a.Verdict())
	}
	return b.String()
}

func formatNumber(v float64) string {
	switch {
	case v == 0:
		return "0"
	case v < 0.1 && v > -0.1:
		return fmt.Sprintf("%.4f", v)
	case v < 10:
		return fmt.Sprintf("%.3f", v)
	}
	return fmt.Sprintf("%.1f", v)
}
