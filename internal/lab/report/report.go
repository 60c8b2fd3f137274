// Package report writes the records of lab runs as one HTML page: plots of outcomes over time, of each customer's use
// against its ceiling and of latency percentiles, the faults as they were applied, and a comparison if there are
// several runs. The plots are inline SVG drawn by gonum/plot, so the page needs no network.
package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"ospreycroft/internal/lab/history"
	"ospreycroft/internal/lab/invariants"
	"ospreycroft/internal/settings"
)

// Labelled is one run with the label that the page shows for it.
type Labelled struct {
	Label   string
	Run     *history.Run
	Verdict *invariants.Verdict
}

// Series holds the figures of one run per second. Each slice has Seconds entries.
type Series struct {
	Seconds  int
	Outcomes map[history.Outcome][]float64 // requests that ended with each outcome
	Units    map[string][]float64          // by customer, units sent to servers, counted at a request's first attempt
	P50, P99 []float64                     // latency in ms of the requests that succeeded, 0 for none
}

// Bucket computes the figures of a run for each second of its clock.
func Bucket(r *history.Run) *Series {
	last := r.Length
	for _, request := range r.Requests {
		last = max(last, request.Answered)
	}
	seconds := max(1, int((last+1e9-1)/1e9))
	s := &Series{Seconds: seconds, Outcomes: map[history.Outcome][]float64{}, Units: map[string][]float64{},
		P50: make([]float64, seconds), P99: make([]float64, seconds)}
	hists := make([]*hdrhistogram.Histogram, seconds)
	requests := map[string]*history.Request{}
	for i := range r.Requests {
		request := &r.Requests[i]
		requests[request.ID] = request
		second := int(min(max(request.Answered, 0)/1e9, int64(seconds-1)))
		if s.Outcomes[request.Outcome] == nil {
			s.Outcomes[request.Outcome] = make([]float64, seconds)
		}
		s.Outcomes[request.Outcome][second]++
		if request.Outcome == history.Succeeded {
			if hists[second] == nil {
				hists[second] = hdrhistogram.New(1, 120_000_000, 3)
			}
			_ = hists[second].RecordValue(max(1, (request.Answered-request.Sent)/1000))
		}
	}
	for i, h := range hists {
		if h != nil {
			s.P50[i], s.P99[i] = float64(h.ValueAtQuantile(50))/1e3, float64(h.ValueAtQuantile(99))/1e3
		}
	}
	counted := map[string]bool{}
	attempts := append([]history.Attempt(nil), r.Attempts...)
	sort.SliceStable(attempts, func(a, b int) bool { return attempts[a].At < attempts[b].At })
	for _, attempt := range attempts {
		request := requests[attempt.ID]
		if request == nil || counted[attempt.ID] || attempt.Answer == "busy" {
			continue
		}
		counted[attempt.ID] = true
		if s.Units[request.Customer] == nil {
			s.Units[request.Customer] = make([]float64, seconds)
		}
		s.Units[request.Customer][int(min(attempt.At/1e9, int64(seconds-1)))] += request.Units
	}
	return s
}

var palette = []color.RGBA{{31, 119, 180, 255}, {214, 39, 40, 255}, {44, 160, 44, 255}, {255, 127, 14, 255},
	{148, 103, 189, 255}, {140, 86, 75, 255}, {127, 127, 127, 255}}

// points returns the values at x = 0, 1, 2 and so on.
func points(values []float64) plotter.XYs {
	out := make(plotter.XYs, len(values))
	for i, v := range values {
		out[i] = plotter.XY{X: float64(i), Y: v}
	}
	return out
}

// line is one curve of a plot.
type line struct {
	name   string
	values []float64 // one per second
	dashed bool
}

// renderPlot draws lines over seconds, with a grey vertical line at each event, and returns the SVG.
func renderPlot(title, unit string, lines []line, events []history.Event) (template.HTML, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	maxY := 1.0
	for i, l := range lines {
		plotLine, err := plotter.NewLine(points(l.values))
		if err != nil {
			return "", err
		}
		plotLine.Color = palette[i%len(palette)]
		if l.dashed {
			plotLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(plotLine)
		p.Legend.Add(l.name, plotLine)
		for _, v := range l.values {
			maxY = max(maxY, v)
		}
	}
	for _, e := range events {
		x := float64(e.At) / 1e9
		mark, err := plotter.NewLine(plotter.XYs{{X: x, Y: 0}, {X: x, Y: maxY}})
		if err != nil {
			return "", err
		}
		mark.Color, mark.Dashes = color.RGBA{170, 170, 170, 255}, []vg.Length{vg.Points(1), vg.Points(2)}
		p.Add(mark)
	}
	canvas := vgsvg.New(16*vg.Centimeter, 8*vg.Centimeter)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", err
	}
	text := b.String()
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 { // an XML declaration is not allowed inside HTML
		text = text[i:]
	}
	return template.HTML(text), nil // #nosec: generated here, not taken from a record
}

// lateTolerance is how long after its deadline an answer is still in time by the lab's rules, in nanoseconds.
const lateTolerance = 50e6

// Section is the part of the page about one run. The template uses its fields by name.
type Section struct {
	Label     string
	Line      string // summary of the verdict
	Breaches  []invariants.Breach
	Service   invariants.Service
	Late      int     // requests answered late
	Lost      int     // requests without an answer
	OutShare  float64 // share of limiters that had an outage
	OutGate   float64 // largest OutShare that passes
	Latencies []row
	Events    []history.Event
	Plots     []template.HTML
}

// row is the latency of one class's successful requests. The template uses its fields by name.
type row struct {
	Track              string
	Count              int
	P50, P90, P99, Max float64 // milliseconds
}

// latencies returns a row for each class with a successful request, in order of name.
func latencies(r *history.Run) []row {
	hists := map[string]*hdrhistogram.Histogram{}
	for _, request := range r.Requests {
		if request.Outcome == history.Succeeded {
			if hists[request.Class] == nil {
				hists[request.Class] = hdrhistogram.New(1, 120_000_000, 3)
			}
			_ = hists[request.Class].RecordValue(max(1, (request.Answered-request.Sent)/1000))
		}
	}
	out := []row{}
	for track, h := range hists {
		out = append(out, row{track, int(h.TotalCount()), float64(h.ValueAtQuantile(50)) / 1e3,
			float64(h.ValueAtQuantile(90)) / 1e3, float64(h.ValueAtQuantile(99)) / 1e3, float64(h.Max()) / 1e3})
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Track < out[b].Track })
	return out
}

// section computes the part of the page about one run.
func section(l Labelled) (Section, error) {
	s := Bucket(l.Run)
	sec := Section{Label: l.Label, Line: l.Verdict.Line(), Breaches: l.Verdict.Breaches, Latencies: latencies(l.Run),
		Events: l.Run.Events, Service: invariants.ServiceOf(l.Run, invariants.Tolerances{Late: lateTolerance}),
		OutGate: invariants.MaxOutageShare}
	sec.Late, sec.Lost = sec.Service.Missed()
	sec.OutShare = sec.Service.OutageShare()
	var outcomes []line
	for _, o := range []history.Outcome{history.Succeeded, history.Rejected, history.Failed, history.Unanswered,
		history.Late, history.ConnectionBroken, history.GaveUp, history.NotAccepted} {
		if s.Outcomes[o] != nil {
			outcomes = append(outcomes, line{name: string(o), values: s.Outcomes[o]})
		}
	}
	var usage []line
	set, err := settings.Decode(l.Run.Settings)
	if err != nil {
		return sec, fmt.Errorf("%s: settings: %w", l.Label, err)
	}
	customers := sortedKeys(s.Units)
	plans := map[string]string{}
	for _, request := range l.Run.Requests {
		plans[request.Customer] = request.Plan
	}
	for _, c := range customers {
		usage = append(usage, line{name: c, values: s.Units[c]})
		if plan := set.Plans[plans[c]]; plan != nil && plan.CeilingRate > 0 {
			ceiling := make([]float64, s.Seconds)
			for i := range ceiling {
				ceiling[i] = plan.CeilingRate
			}
			usage = append(usage, line{name: c + " ceiling", values: ceiling, dashed: true})
		}
	}
	for _, p := range []struct {
		title, unit string
		lines       []line
	}{{"answers a second by outcome", "jobs", outcomes}, {"units a second that reached servers", "units", usage},
		{"answer time of done jobs", "ms", []line{{name: "p50", values: s.P50}, {name: "p99", values: s.P99}}}} {
		text, err := renderPlot(l.Label+": "+p.title, p.unit, p.lines, l.Run.Events)
		if err != nil {
			return sec, err
		}
		sec.Plots = append(sec.Plots, text)
	}
	return sec, nil
}

func sortedKeys(m map[string][]float64) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// comparison plots the successful requests and the p99 latency per second of all runs together.
func comparison(runs []Labelled) ([]template.HTML, error) {
	var done, p99 []line
	for _, l := range runs {
		s := Bucket(l.Run)
		done = append(done, line{name: l.Label, values: s.Outcomes[history.Succeeded]})
		p99 = append(p99, line{name: l.Label, values: s.P99})
	}
	a, err := renderPlot("done a second, side by side", "jobs", done, nil)
	if err != nil {
		return nil, err
	}
	b, err := renderPlot("p99 answer time, side by side", "ms", p99, nil)
	return []template.HTML{a, b}, err
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"seconds": func(ns int64) string { return fmt.Sprintf("%.3f", float64(ns)/1e9) },
}).Parse(`<!doctype html>
<html><head><meta charset="utf-8"><title>lab report</title>
<style>body{font-family:sans-serif;max-width:70em;margin:1em auto}table{border-collapse:collapse}
td,th{border:1px solid #ccc;padding:2px 6px;text-align:right}.fail{color:#b00}</style></head><body>
<h1>Lab report</h1>
{{if .Compare}}<h2>Side by side</h2>
<table><tr><th>run</th><th>verdict</th></tr>{{range .Sections}}<tr><td>{{.Label}}</td><td>{{.Line}}</td></tr>{{end}}</table>
{{range .Compare}}{{.}}{{end}}{{end}}
{{range .Sections}}<h2>{{.Label}}</h2><p>{{.Line}}</p>
{{if .Breaches}}<h3 class="fail">Broken rules</h3><table><tr><th>rule</th><th>at s</th><th>what</th><th>detail</th></tr>
{{range .Breaches}}<tr><td>{{.Rule}}</td><td>{{seconds .At}}</td><td>{{.What}}</td><td>{{.Detail}}</td></tr>{{end}}</table>{{end}}
<h3>Requests without an answer when their time was up</h3><p>{{.Late}} late, {{.Lost}} lost</p>
{{if .Service.Unanswered}}<table><tr><th>limiter</th><th>cause</th><th>late</th><th>lost</th></tr>
{{range .Service.Unanswered}}<tr><td>{{.Limiter}}</td><td>{{.Cause}}</td><td>{{.Late}}</td><td>{{.Lost}}</td></tr>{{end}}</table>{{end}}
<h3>Processes that served nobody</h3><p{{if gt .OutShare .OutGate}} class="fail"{{end}}>{{.Service.LimitersOut}} of {{.Service.Limiters}} limiters, a share of {{printf "%.3f" .OutShare}}; the gate on calm days and in rolling restarts is {{printf "%.3f" .OutGate}}</p>
{{if .Service.Outages}}<table><tr><th>limiter</th><th>life</th><th>kind</th><th>from s</th><th>until s</th><th>requests</th></tr>
{{range .Service.Outages}}<tr><td>{{.Limiter}}</td><td>{{.Life}}</td><td>{{.Kind}}</td><td>{{seconds .From}}</td><td>{{seconds .Until}}</td><td>{{.Requests}}</td></tr>{{end}}</table>{{end}}
<h3>Answer times of done jobs (ms)</h3><table><tr><th>track</th><th>done</th><th>p50</th><th>p90</th><th>p99</th><th>max</th></tr>
{{range .Latencies}}<tr><td>{{.Track}}</td><td>{{.Count}}</td><td>{{printf "%.1f" .P50}}</td><td>{{printf "%.1f" .P90}}</td><td>{{printf "%.1f" .P99}}</td><td>{{printf "%.1f" .Max}}</td></tr>{{end}}</table>
{{range .Plots}}{{.}}{{end}}
<h3>Faults and changes as played</h3><table><tr><th>at s</th><th>kind</th><th>target</th><th></th></tr>
{{range .Events}}<tr><td>{{seconds .At}}</td><td>{{.Kind}}</td><td>{{.Target}}</td><td>{{.Detail}}</td></tr>{{end}}</table>
{{end}}</body></html>
`))

// Write writes the page for the given runs. With two or more it includes plots that compare them.
func Write(w io.Writer, runs []Labelled) error {
	var data struct {
		Sections []Section
		Compare  []template.HTML
	}
	for _, l := range runs {
		sec, err := section(l)
		if err != nil {
			return err
		}
		data.Sections = append(data.Sections, sec)
	}
	if len(runs) > 1 {
		var err error
		data.Compare, err = comparison(runs)
		if err != nil {
			return err
		}
	}
	return page.Execute(w, data)
}
