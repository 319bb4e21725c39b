// Package plotter draws small histograms as SVG.
package plotter

import (
	"fmt"
	"html/template"
	"strings"
)

// Sizes in units of the SVG view box.
const (
	barWidth     = 8
	barGap       = 1
	maxBarHeight = 36
)

// BarChart draws one bar for each count. Screen readers read the label instead of
// the chart. A count above 0 gets a bar at least 1 unit high, so that it stays
// visible.
func BarChart(counts []int64, label string) template.HTML {
	highest := int64(1)
	for _, n := range counts {
		highest = max(highest, n)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg class="plot" role="img" aria-label="%s" viewBox="0 0 %d %d" preserveAspectRatio="none">`,
		template.HTMLEscapeString(label), len(counts)*(barWidth+barGap), maxBarHeight)
	for i, n := range counts {
		if n <= 0 {
			continue
		}
		height := max(n*maxBarHeight/highest, 1)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d"/>`, i*(barWidth+barGap), maxBarHeight-height, barWidth, height)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}
