// Package plotter draws a report as a horizontal bar chart in SVG.
package plotter

import (
	"fmt"
	"html"
	"math"
	"slices"
	"strings"

	"github.com/lycheeladder/lycheeladder/measurer/summarizer"
)

// Sizes are in SVG user units.
const (
	labelWidth = 360
	barsWidth  = 420
	valueWidth = 110
	rowHeight  = 18
	topMargin  = 28
)

// Bars draws one bar per series. Its length is the median; a whisker spans the
// minimum and the maximum over the seeds. The series of one metric share a
// logarithmic scale, since the baselines are often many times worse.
func Bars(r *summarizer.Report) string {
	series := slices.Clone(r.Series)
	slices.SortStableFunc(series, func(a, b summarizer.Series) int {
		return strings.Compare(a.Deployment+a.Metric, b.Deployment+b.Metric)
	})
	height := topMargin + rowHeight*len(series) + rowHeight
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		labelWidth+barsWidth+valueWidth, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="8" y="17" font-size="13">%s (logarithmic)</text>`+"\n", html.EscapeString(r.Title))
	for n, item := range series {
		drawBar(&b, item, metricScale(series, item.Metric), topMargin+n*rowHeight)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// logScale is the range of the positive values of a metric over all series.
type logScale struct{ min, max float64 }

func metricScale(series []summarizer.Series, metric string) logScale {
	s := logScale{min: math.Inf(1)}
	for _, item := range series {
		for _, v := range item.Values {
			if item.Metric == metric && v > 0 {
				s.min, s.max = min(s.min, v), max(s.max, v)
			}
		}
	}
	return s
}

// barLength returns the length of the bar for v.
func (s logScale) barLength(v float64) float64 {
	const shortest = 20.0
	if v <= 0 || s.max <= 0 {
		return 0
	}
	if s.max == s.min {
		return barsWidth
	}
	return shortest + (barsWidth-shortest)*math.Log(v/s.min)/math.Log(s.max/s.min)
}

func drawBar(b *strings.Builder, item summarizer.Series, s logScale, y int) {
	fill := "#9aa7b5"
	if strings.HasPrefix(item.Variant, "ours") {
		fill = "#b5485d"
	}
	median := summarizer.Quantile(item.Values, 0.5)
	label := fmt.Sprintf("%s, %s, %s", item.Deployment, item.Metric, item.Variant)
	fmt.Fprintf(b, `<text x="8" y="%d">%s</text>`, y+12, html.EscapeString(label))
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%.1f" height="12" fill="%s"/>`, labelWidth, y+2, s.barLength(median), fill)
	fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="black"/>`,
		labelWidth+s.barLength(slices.Min(item.Values)), labelWidth+s.barLength(slices.Max(item.Values)), y+8, y+8)
	fmt.Fprintf(b, `<text x="%d" y="%d">%.4g %s</text>`+"\n", labelWidth+barsWidth+6, y+12, median, html.EscapeString(item.Unit))
}
