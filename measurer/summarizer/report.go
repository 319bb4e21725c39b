// Package summarizer summarizes the results of a benchmark over several seeds.
package summarizer

import (
	"fmt"
	"slices"
	"strings"
)

// Report is the result of one benchmark.
type Report struct {
	// Name is the command of the benchmark.
	Name  string
	Title string
	// Setup describes the simulated load to the reader of the page.
	Setup  string
	Series []Series
	Goals  []Goal
}

// Series holds one metric of one variant over the seeds.
type Series struct {
	Deployment string
	Variant    string
	Metric     string
	Unit       string
	// Values has one value per seed, in the order of the seeds.
	Values []float64
}

// Goal is a bound and the measured value that is compared with it.
type Goal struct {
	Deployment  string
	Description string
	// Value is the median over the seeds, or the worst result if Description
	// says so. The goal is met if Value is at most Bound, or at least Bound if
	// AtLeast is set.
	Value   float64
	Bound   float64
	AtLeast bool
}

// Met reports whether the goal is met.
func (a Goal) Met() bool {
	if a.AtLeast {
		return a.Value >= a.Bound
	}
	return a.Value <= a.Bound
}

// Verdict returns "met" or "MISSED".
func (a Goal) Verdict() string {
	if a.Met() {
		return "met"
	}
	return "MISSED"
}

// MustFind returns the series of a metric of a variant. It panics if there is
// none, which is a programming error, since the benchmark that asks has just
// added the series.
func (r *Report) MustFind(deployment, variant, metric string) Series {
	for _, s := range r.Series {
		if s.Deployment == deployment && s.Variant == variant && s.Metric == metric {
			return s
		}
	}
	panic(fmt.Sprintf("measurer: %s: no series %s/%s/%s", r.Name, deployment, variant, metric))
}

// MedianRatio returns the median over the seeds of the ratio of a to b.
func MedianRatio(a, b Series) float64 {
	ratios := make([]float64, len(a.Values))
	for n := range a.Values {
		ratios[n] = a.Values[n] / b.Values[n]
	}
	return Quantile(ratios, 0.5)
}

// Quantile returns the value at the given fraction of the sorted values, or 0
// if there are none. It does not modify values.
func Quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}

// Mean returns the arithmetic mean, or 0 if there are no values.
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

// Markdown returns the report as a section of the page.
func (r *Report) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "## %s\n\n%s\n\n![%s](plots/%s.svg)\n\n", r.Title, r.Setup, r.Title, r.Name)
	b.WriteString("| deployment | variant | figure | unit | median | least | most |\n|---|---|---|---|---|---|---|\n")
	for _, s := range r.Series {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", s.Deployment, s.Variant, s.Metric, s.Unit,
			formatNumber(Quantile(s.Values, 0.5)), formatNumber(slices.Min(s.Values)), formatNumber(slices.Max(s.Values)))
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
