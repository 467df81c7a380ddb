package openload

import (
	_ "embed"
	"fmt"
	"html"
	"io"
	"math"
	"strings"
	"text/template"
)

// EventMark marks an injected event in the chart.
type EventMark struct {
	Second float64 `json:"second"`
	Name   string  `json:"name"`
}

// Layout of the chart in pixels; report.svg.tmpl has the rest.
const (
	plotLeft   = 80
	plotWidth  = 880
	plotHeight = 140
	panelPitch = 200
	panelTop   = 110 // of the first panel
	tickCount  = 4   // intervals on a vertical axis
)

//go:embed report.svg.tmpl
var reportSource string

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"xml": html.EscapeString}).Parse(reportSource))

type page struct {
	Title  string
	Height int
	Panels []panel
	Events []eventLine
}

type panel struct {
	Top, Bottom int
	Title       string
	Ticks       []tick
	Lines       []line
	Bars        []bar
}

type tick struct {
	Y     float64
	Label string
}

type line struct {
	Class  string
	Points string
}

type bar struct {
	Class               string
	X, Y, Width, Height float64
	Title               string
}

type eventLine struct {
	X    float64
	Name string
}

// Draw writes a self-contained SVG chart of the run: latencies, outcomes and the write gap over time.
func Draw(w io.Writer, r *Result, events []EventMark) error {
	p := page{
		Title: fmt.Sprintf("%s, %.0f s", r.Sheet, r.Seconds),
		Panels: []panel{
			linePanel(0, "latency of served operations in ms, by the second in which they were due", r.Series,
				series{"p50", func(s Second) float64 { return s.P50 }}, series{"p99", func(s Second) float64 { return s.P99 }}),
			outcomePanel(1, r.Series),
			linePanel(2, "longest time without an acknowledged write of some database, in ms", r.Series,
				series{"gap", func(s Second) float64 { return s.WriteGap }}),
		},
	}
	p.Height = panelTop + len(p.Panels)*panelPitch
	length := max(r.Seconds, 1)
	for _, e := range events {
		p.Events = append(p.Events, eventLine{X: plotLeft + plotWidth*e.Second/length, Name: e.Name})
	}
	return reportTemplate.Execute(w, p)
}

// series is one line of a panel.
type series struct {
	class string
	value func(Second) float64
}

func newPanel(index int, title string, highest float64) (panel, float64) {
	top := panelTop + index*panelPitch
	p := panel{Top: top, Bottom: top + plotHeight, Title: title}
	scale := roundUp(highest)
	for i := range tickCount + 1 {
		value := scale * float64(i) / tickCount
		p.Ticks = append(p.Ticks, tick{Y: float64(p.Bottom) - plotHeight*value/scale, Label: fmt.Sprintf("%g", value)})
	}
	return p, scale
}

// roundUp returns the smallest number not below v that is 1, 2, 4 or 8 times a power of ten, or 1 if v is not positive.
func roundUp(v float64) float64 {
	if v <= 0 {
		return 1
	}
	power := math.Pow(10, math.Floor(math.Log10(v)))
	for _, factor := range []float64{1, 2, 4, 8} {
		if v <= factor*power {
			return factor * power
		}
	}
	return 10 * power
}

func linePanel(index int, title string, seconds []Second, lines ...series) panel {
	highest := 0.0
	for _, l := range lines {
		for _, s := range seconds {
			highest = max(highest, l.value(s))
		}
	}
	p, scale := newPanel(index, title, highest)
	step := plotWidth / float64(max(len(seconds), 1))
	for _, l := range lines {
		var points []string
		for i, s := range seconds {
			x := plotLeft + step*(float64(i)+0.5)
			y := float64(p.Bottom) - plotHeight*l.value(s)/scale
			points = append(points, fmt.Sprintf("%.1f,%.1f", x, y))
		}
		p.Lines = append(p.Lines, line{Class: l.class, Points: strings.Join(points, " ")})
	}
	return p
}

// outcomePanel returns a stacked bar chart of the outcomes of each second.
func outcomePanel(index int, seconds []Second) panel {
	highest := 0
	for _, s := range seconds {
		highest = max(highest, s.Due)
	}
	p, scale := newPanel(index, "operations by the second in which they were due", float64(highest))
	step := plotWidth / float64(max(len(seconds), 1))
	for i, s := range seconds {
		y := float64(p.Bottom)
		for _, part := range []struct {
			class string
			n     int
		}{{"intime", s.InTime}, {"late", s.Late}, {"refused", s.Refused + s.NotOffered}, {"unknown", s.Unknown}} {
			height := plotHeight * float64(part.n) / scale
			y -= height
			if part.n > 0 {
				p.Bars = append(p.Bars, bar{
					Class: part.class, X: plotLeft + step*float64(i), Y: y, Width: step * 0.9, Height: height,
					Title: fmt.Sprintf("second %d, %s: %d", i, part.class, part.n),
				})
			}
		}
	}
	return p
}
