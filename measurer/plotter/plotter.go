// Package plotter draws a report as horizontal bars in SVG.
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

// Bars draws one bar per line, its length the median, with a whisker from the
// least to the most over the seeds. Lines of one figure share a scale that is
// logarithmic, since the baselines are often many times worse.
func Bars(r *summarizer.Report) string {
	lines := slices.Clone(r.Series)
	slices.SortStableFunc(lines, func(a, b summarizer.Series) int {
		return strings.Compare(a.Deployment+a.Metric, b.Deployment+b.Metric)
	})
	height := topMargin + rowHeight*len(lines) + rowHeight
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="11">`+"\n",
		labelWidth+barsWidth+valueWidth, height)
	fmt.Fprintf(&b, `<rect width="100%%" height="100%%" fill="white"/><text x="8" y="17" font-size="13">%s (logarithmic)</text>`+"\n", html.EscapeString(r.Title))
	for n, l := range lines {
		drawBar(&b, l, metricScale(lines, l.Metric), topMargin+n*rowHeight)
	}
	b.WriteString("</svg>\n")
	return b.String()
}

// logScale is the range of a figure over all lines.
type logScale struct{ min, max float64 }

func metricScale(lines []summarizer.Series, figure string) logScale {
	s := logScale{min: math.Inf(1)}
	for _, l := range lines {
		for _, v := range l.Values {
			if l.Metric == figure && v > 0 {
				s.min, s.max = min(s.min, v), max(s.max, v)
			}
		}
	}
	return s
}

// barLength returns where a value lies on the bars' width.
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

func drawBar(b *strings.Builder, l summarizer.Series, s logScale, y int) {
	fill := "#9aa7b5"
	if strings.HasPrefix(l.Variant, "ours") {
		fill = "#b5485d"
	}
	median := summarizer.Quantile(l.Values, 0.5)
	label := fmt.Sprintf("%s, %s, %s", l.Deployment, l.Metric, l.Variant)
	fmt.Fprintf(b, `<text x="8" y="%d">%s</text>`, y+12, html.EscapeString(label))
	fmt.Fprintf(b, `<rect x="%d" y="%d" width="%.1f" height="12" fill="%s"/>`, labelWidth, y+2, s.barLength(median), fill)
	fmt.Fprintf(b, `<line x1="%.1f" x2="%.1f" y1="%d" y2="%d" stroke="black"/>`,
		labelWidth+s.barLength(slices.Min(l.Values)), labelWidth+s.barLength(slices.Max(l.Values)), y+8, y+8)
	fmt.Fprintf(b, `<text x="%d" y="%d">%.4g %s</text>`+"\n", labelWidth+barsWidth+6, y+12, median, html.EscapeString(l.Unit))
}
