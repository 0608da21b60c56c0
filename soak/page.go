package soak

import (
	"cmp"
	"html/template"
	"io"
	"slices"
	"time"

	"figbank"
)

// Sizes on the page, in pixels.
const (
	laneHeight      = 18
	labelWidth      = 110
	pixelsPerSecond = 24
	minBarWidth     = 3
)

type (
	pageBar struct {
		X, Y, Width int
		Text        string
		Broken      bool
	}

	pageLane struct {
		Y    int
		Name string
	}

	pageView struct {
		Report        *Report
		Width, Height int
		Lanes         []pageLane
		Bars          []pageBar
	}
)

var page = template.Must(template.New("soak").Parse(`<!DOCTYPE html>
<html><head><meta charset="utf-8"><title>Soak, seed {{.Report.Seed}}</title>
<style>body{font:13px sans-serif} text{font-size:11px} rect{fill:#4a7fb5} rect.broken{fill:#c0392b}</style></head><body>
<h1>Soak, seed {{.Report.Seed}}</h1>
<p>{{.Report.Faults}} faults in {{.Report.Length}}; outcomes: {{range $outcome, $count := .Report.Outcomes}}{{$outcome}}: {{$count}}; {{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}">
{{range .Lanes}}<text x="0" y="{{.Y}}">{{.Name}}</text>
{{end}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="12"{{if .Broken}} class="broken"{{end}}><title>{{.Text}}</title></rect>
{{end}}</svg>
<ul>{{range .Report.Broken}}<li>{{.At}} <b>{{.Promise}}</b> {{.Detail}}</li>{{end}}</ul>
</body></html>
`))

// WritePage writes a self-contained HTML page that shows the timeline of a run.
func (r *Report) WritePage(w io.Writer) error {
	marks := slices.Clone(r.Marks)
	for _, broken := range r.Broken {
		marks = append(marks, Mark{At: broken.At, Lane: brokenLane, Text: broken.Promise + ": " + broken.Detail})
	}
	slices.SortStableFunc(marks, func(a, b Mark) int { return cmp.Compare(a.Lane, b.Lane) })
	view := pageView{Report: r}
	for _, mark := range marks {
		if len(view.Lanes) == 0 || view.Lanes[len(view.Lanes)-1].Name != mark.Lane {
			view.Lanes = append(view.Lanes, pageLane{Name: mark.Lane, Y: (len(view.Lanes) + 1) * laneHeight})
		}
		bar := pageBar{
			X: labelWidth + pixels(mark.At), Y: view.Lanes[len(view.Lanes)-1].Y - laneHeight/2,
			Width: max(minBarWidth, pixels(mark.Duration)), Text: mark.At.Round(time.Millisecond).String() + " " + mark.Text, Broken: mark.Lane == brokenLane,
		}
		view.Bars = append(view.Bars, bar)
		view.Width = max(view.Width, bar.X+bar.Width)
	}
	view.Height = (len(view.Lanes) + 1) * laneHeight
	return figbank.WrapError("soak", "Page", page.Execute(w, view))
}

// brokenLane is the name of the lane that shows the broken promises.
const brokenLane = "broken"

func pixels(d time.Duration) int { return int(d.Seconds() * pixelsPerSecond) }
