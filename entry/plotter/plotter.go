// Package plotter draws small histograms as SVG.
package plotter

import (
	"fmt"
	"html/template"
	"strings"
)

// The sizes of a plot, in its own units.
const (
	barWidth  = 8
	barGap    = 1
	barHeight = 36
)

// BarChart draws one bar for each count. Its label is read out in place of the
// picture. A count above 0 is always visible.
func BarChart(counts []int64, label string) template.HTML {
	most := int64(1)
	for _, n := range counts {
		most = max(most, n)
	}
	var b strings.Builder
	fmt.Fprintf(&b, `<svg class="plot" role="img" aria-label="%s" viewBox="0 0 %d %d" preserveAspectRatio="none">`,
		template.HTMLEscapeString(label), len(counts)*(barWidth+barGap), barHeight)
	for i, n := range counts {
		if n <= 0 {
			continue
		}
		height := max(n*barHeight/most, 1)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d"/>`, i*(barWidth+barGap), barHeight-height, barWidth, height)
	}
	b.WriteString(`</svg>`)
	return template.HTML(b.String())
}
