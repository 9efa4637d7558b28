package report

import (
	"fmt"
	"io"
	"strings"

	"github.com/rotisserie/eris"
)

// Sizes of a plot, in pixels.
const (
	plotWidth        = 720
	plotHeight       = 360
	plotMargin       = 48
	legendLineHeight = 16
)

// lineColors are the colors of the lines, used in turn.
var lineColors = []string{"#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910", "#555555"}

// WritePlot writes an SVG plot of the share of requests answered on time in
// each second, with one line for each row.
func WritePlot(w io.Writer, rows []*Row) error {
	height := plotHeight + legendLineHeight*len(rows)
	var b strings.Builder
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", plotWidth, height)
	fmt.Fprintf(&b, `<rect width="%d" height="%d" fill="white"/>`+"\n", plotWidth, height)
	for i := range 5 {
		share := float64(i) / 4
		y := shareToY(share)
		fmt.Fprintf(&b, `<line x1="%d" y1="%.1f" x2="%d" y2="%.1f" stroke="#ddd"/><text x="8" y="%.1f">%.2f</text>`+"\n",
			plotMargin, y, plotWidth-plotMargin, y, y+4, share)
	}
	for i, r := range rows {
		color := lineColors[i%len(lineColors)]
		fmt.Fprintf(&b, `<polyline fill="none" stroke="%s" stroke-width="1.5" points="%s"/>`+"\n", color, polylinePoints(r.onTimeShares()))
		y := plotHeight + legendLineHeight*i
		fmt.Fprintf(&b, `<text x="%d" y="%d" fill="%s">%s, %d balancers, %s</text>`+"\n", plotMargin, y, color, r.Load, r.Balancers, r.Policy)
	}
	fmt.Fprintf(&b, `<text x="%d" y="%d">share of requests answered in aim, by the second in which they began</text>`+"\n</svg>\n", plotMargin, plotMargin/2)
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "write plot")
}

// shareToY returns the vertical position of a share in the plot, in pixels.
func shareToY(share float64) float64 {
	return plotMargin + (1-share)*(plotHeight-2*plotMargin)
}

// polylinePoints returns the points attribute of a line through shares.
func polylinePoints(shares []float64) string {
	p := make([]string, 0, len(shares))
	for i, s := range shares {
		x := plotMargin + float64(i)/float64(max(len(shares)-1, 1))*(plotWidth-2*plotMargin)
		p = append(p, fmt.Sprintf("%.1f,%.1f", x, shareToY(s)))
	}
	return strings.Join(p, " ")
}
