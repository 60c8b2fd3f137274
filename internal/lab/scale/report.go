package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
)

// Point holds the samples measured at one size X. X is 0 for a figure that does not depend on a size.
type Point struct {
	X       float64   `json:"x"`
	Samples []float64 `json:"samples"`
}

// Min returns the smallest sample.
func (p Point) Min() float64 { return slices.Min(p.Samples) }

// Max returns the largest sample.
func (p Point) Max() float64 { return slices.Max(p.Samples) }

// Median returns the median sample, by the nearest rank; NaN without samples.
func (p Point) Median() float64 { return quantile(slices.Sorted(slices.Values(p.Samples)), 0.5) }

// quantile returns the value of a quantile level from 0 to 1 by the nearest rank; NaN without values. The values must
// be sorted.
func quantile(sorted []float64, level float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	rank := int(math.Ceil(level*float64(len(sorted)))) - 1
	return sorted[min(max(rank, 0), len(sorted)-1)]
}

// Series is one measured quantity over a range of sizes, with the line fitted through its samples.
type Series struct {
	Experiment string  `json:"experiment"`
	Quantity   string  `json:"quantity"`
	Unit       string  `json:"unit"`
	Over       string  `json:"over"` // name of the size; empty for a single figure
	Points     []Point `json:"points"`
	Line       *Line   `json:"line,omitempty"` // nil if there are fewer than two sizes
	// Mechanism names the code that causes the quantity: files and functions.
	Mechanism string `json:"mechanism,omitempty"`
	Note      string `json:"note,omitempty"`
	Estimated bool   `json:"reckoned,omitempty"` // computed from other figures, not measured
}

// Report is the result of a run.
type Report struct {
	Command     string   `json:"command"`
	Began       string   `json:"began"`
	TookSeconds float64  `json:"took_s"`
	Short       bool     `json:"short"`
	LoadBefore  string   `json:"load_before"` // the machine's load average over one minute
	LoadAfter   string   `json:"load_after"`
	Series      []Series `json:"series"`
}

// addSeries fits a line through a series and adds it to the report. A series without points is dropped.
func (h *Harness) addSeries(s Series) {
	if len(s.Points) == 0 {
		return
	}
	var x, y []float64
	for _, p := range s.Points {
		for _, sample := range p.Samples {
			x, y = append(x, p.X), append(y, sample)
		}
	}
	if line, err := FitLine(x, y); err == nil && s.Over != "" {
		s.Line = &line
	}
	h.report.Series = append(h.report.Series, s)
	h.logf("%s", s.row())
}

// addFigure adds a quantity that is not measured over a size.
func (h *Harness) addFigure(s Series, samples ...float64) {
	s.Points = []Point{{Samples: samples}}
	h.addSeries(s)
}

// formatNumber formats a number with three or four significant digits.
func formatNumber(value float64) string {
	switch size := math.Abs(value); {
	case size >= 1e6:
		return fmt.Sprintf("%.3gM", value/1e6)
	case size >= 1e4:
		return fmt.Sprintf("%.4gk", value/1e3)
	}
	return fmt.Sprintf("%.4g", value)
}

// String formats the median and, for several samples, their range.
func (p Point) String() string {
	text := formatNumber(p.Median())
	if len(p.Samples) > 1 {
		text += fmt.Sprintf(" (%s..%s)", formatNumber(p.Min()), formatNumber(p.Max()))
	}
	return text
}

// row formats the series as a row of the table.
func (s Series) row() string {
	var cells []string
	for _, p := range s.Points {
		cell := p.String()
		if s.Over != "" {
			cell = fmt.Sprintf("%g: %s", p.X, cell)
		}
		cells = append(cells, cell)
	}
	text := fmt.Sprintf("%s | %s | %s | %s | %s", s.Experiment, s.Quantity, s.Unit, s.Over, strings.Join(cells, ", "))
	if s.Line != nil {
		text += fmt.Sprintf(" | %s + %s(+-%s) each, residual %s", formatNumber(s.Line.Intercept), formatNumber(s.Line.Slope),
			formatNumber(s.Line.SlopeError), formatNumber(s.Line.Residual))
	} else {
		text += " |"
	}
	for _, detail := range []string{s.Note, s.Mechanism} {
		text += " | " + detail
	}
	if s.Estimated {
		text += " | reckoned"
	}
	return text
}

// WriteTable prints the series as a table, one row each.
func (r *Report) WriteTable(out io.Writer) error {
	header := fmt.Sprintf("run: %s, %s, %.0f s, load %s to %s\n", r.Command, r.Began,
		r.TookSeconds, r.LoadBefore, r.LoadAfter)
	if r.Short {
		header += "short form: it shows that the lab works; its figures count for nothing\n"
	}
	header += "experiment | quantity | unit | over | measured: median (least..largest) | slope | note | mechanism\n"
	if _, err := io.WriteString(out, header); err != nil {
		return err
	}
	for _, s := range r.Series {
		if _, err := fmt.Fprintln(out, s.row()); err != nil {
			return err
		}
	}
	return nil
}

// Save writes the report to a file as JSON.
func (r *Report) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o644)
}
