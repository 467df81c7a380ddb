package ctl

import (
	_ "embed"
	"fmt"
	"html"
	"io"
	"math"
	"strings"
	"text/template"

	"github.com/cyclamenstile/cyclamenstile/decision/burn"
)

// Layout of the picture in pixels; burn.svg.tmpl contains the rest.
const (
	svgTop       = 150 // top of the first row
	svgRowHeight = 96
	svgBottom    = 24
	svgBarPitch  = 18
	svgBurnLeft  = 270
	svgBurnWidth = 230
	svgBarWidth  = 170 // of the columns for the budget and the reasons
	svgReasons   = 800 // left edge of the column
	// svgNameLength is the number of characters of a name that fit its column of 200 pixels.
	svgNameLength = 24
)

// The burn rate's axis is logarithmic from 0.1 to 100.
const (
	axisDecades  = 3
	axisMinLog10 = -1
)

//go:embed burn.svg.tmpl
var svgSource string

var svgTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{"xml": html.EscapeString}).Parse(svgSource))

type svgPage struct {
	Height    int
	Objective string
	Instances string
	Faults    int
	Ticks     []svgTick
	Rows      []svgRowData
}

type svgTick struct {
	X     float64
	Label string
}

type svgRowData struct {
	Y              int
	Account, Route string
	Alarm          string
	Bars           []svgBar
	Budget         float64 // width
	BudgetText     string
	Overspent      bool
	Reasons        []svgPart
	ReasonText     string
}

type svgBar struct {
	Y     int
	Label string
	Width float64
	Text  string
	Level string // CSS class
}

type svgPart struct {
	X, Width float64
	Class    string
	Title    string
}

// drawBurn writes the report as one self-contained SVG file.
func drawBurn(w io.Writer, r burnResult) error {
	page := svgPage{
		Height:    svgTop + svgRowHeight*len(r.Series) + svgBottom,
		Objective: r.Objective.String(),
		Instances: pluralize(len(r.Instances), "instance"),
		Faults:    len(r.Faults),
	}
	for _, rate := range []float64{1, burn.SlowBurnRate, burn.FastBurnRate} {
		page.Ticks = append(page.Ticks, svgTick{X: svgBurnLeft + burnAxisOffset(rate), Label: fmt.Sprint(rate)})
	}
	for i, s := range r.Series {
		page.Rows = append(page.Rows, drawSeries(svgTop+i*svgRowHeight, s))
	}
	return svgTemplate.Execute(w, page)
}

func drawSeries(y int, s burn.Series) svgRowData {
	row := svgRowData{
		Y:          y,
		Account:    truncateName(orDash(s.Account)),
		Route:      truncateName(s.Route),
		Alarm:      strings.ReplaceAll(string(s.Alarm), "_", " "),
		Budget:     svgBarWidth * min(max(s.BudgetLeft, 0), 1),
		BudgetText: fmt.Sprintf("%.1f%% left", s.BudgetLeft*100),
		Overspent:  s.BudgetLeft < 0,
	}
	if row.Overspent {
		row.BudgetText = fmt.Sprintf("overspent by %.0f%%", -s.BudgetLeft*100)
	}
	for i, w := range s.Windows {
		row.Bars = append(row.Bars, svgBar{
			Y:     y + i*svgBarPitch,
			Label: w.Window.String(),
			Width: burnAxisOffset(w.BurnRate),
			Text:  fmt.Sprintf("%.1f", w.BurnRate),
			Level: burnLevel(w.BurnRate),
		})
	}
	c := s.Windows[burn.ThirtyDays].Counts
	row.Reasons = drawReasons(c)
	row.ReasonText = fmt.Sprintf("%d bad of %d", c.Bad(), c.Total())
	return row
}

// drawReasons returns a bar segment for each class of bad statements, in the order of the legend.
func drawReasons(c burn.Counts) []svgPart {
	var parts []svgPart
	x := float64(svgReasons)
	for _, class := range burn.Classes() {
		n := c.ByClass(class)
		if class == burn.Good || class == burn.OverRate || n == 0 {
			continue
		}
		width := svgBarWidth * float64(n) / float64(c.Bad())
		parts = append(parts, svgPart{
			X: x, Width: width, Class: class.String(),
			Title: fmt.Sprintf("%s: %d", strings.ReplaceAll(class.String(), "_", " "), n),
		})
		x += width
	}
	return parts
}

// burnAxisOffset returns the position of a burn rate on its axis, in pixels from the axis's start.
func burnAxisOffset(rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	share := (math.Log10(rate) - axisMinLog10) / axisDecades
	return svgBurnWidth * min(max(share, 0), 1)
}

func burnLevel(rate float64) string {
	switch {
	case rate >= burn.FastBurnRate:
		return "fast"
	case rate >= burn.SlowBurnRate:
		return "slow"
	}
	return "calm"
}

func truncateName(name string) string {
	runes := []rune(name)
	if len(runes) <= svgNameLength {
		return name
	}
	return string(runes[:svgNameLength-1]) + "…"
}

func pluralize(n int, what string) string {
	if n == 1 {
		return "1 " + what
	}
	return fmt.Sprintf("%d %ss", n, what)
}
