package faultinjection

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"topazhollow/internal/artifactstore"
)

var page = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Fault injection: kills</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:54rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;padding:.2rem .8rem;text-align:left}
.bad{color:#a00}svg{max-width:100%;height:auto}</style></head><body>
<h1>Fault injection: kills</h1>
<p>Seed {{.R.Seed}}: {{len .R.Kills}} agents and {{.R.KeeperKills}} replicas were killed at random moments, {{.R.DisksLost}} replicas also lost their disk,
in {{.R.Tasks}} tasks with {{.R.Attempts}} attempts. {{.R.Lines}} lines and {{.R.Files}} files were read from three replicas.</p>
{{if .R.BrokenInTotal}}<h2 class="bad">{{.R.BrokenInTotal}} guarantees broken</h2><ul>{{range .R.Broken}}<li>{{.}}</li>{{end}}</ul>
{{else}}<p>Each line and file was found once, in order, under its own attempt; each task has one result, the same at all replicas.</p>{{end}}
<h2>Attempts of the killed agents</h2>
<table><tr><th>state</th><th>attempts</th><th>lines acknowledged</th><th>lines kept</th></tr>
{{range .States}}<tr><td>{{.State}}</td><td>{{.Count}}</td><td>{{.Acked}}</td><td>{{.Lines}}</td></tr>{{end}}</table>
<h2>Lines kept by the time of the kill</h2>{{.Plot}}
</body></html>
`))

// stateSum summarizes the killed attempts in one state.
type stateSum struct {
	State        string
	Count, Lines int
	Acked        uint64
}

// HTML writes the report as a self-contained page.
func (r *Report) HTML(w io.Writer) error {
	svg, err := r.plot()
	if err != nil {
		return err
	}
	return page.Execute(w, map[string]any{"R": r, "States": r.States(), "Plot": svg})
}

// States summarizes the killed attempts by state.
func (r *Report) States() []stateSum {
	list := []stateSum{{State: artifactstore.StateFinal}, {State: artifactstore.StateSealed}, {State: artifactstore.StatePartial}, {State: artifactstore.StateOpen}, {State: "not begun"}}
	for _, k := range r.Kills {
		state := k.State
		if state == "" {
			state = "not begun"
		}
		for i := range list {
			if list[i].State == state {
				list[i].Count++
				list[i].Lines += k.Lines
				list[i].Acked += k.Acked
			}
		}
	}
	return list
}

// plot draws each kill as a point: its time and the lines kept.
func (r *Report) plot() (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "kill, ms after the agent's start"
	p.Y.Label.Text = "lines kept"
	p.Legend.Top, p.Legend.Left = true, true
	for i, x := range []struct {
		name string
		back bool
	}{{"spool lost with its machine", false}, {"spool recovered", true}} {
		var points plotter.XYs
		for _, k := range r.Kills {
			if k.Back == x.back {
				points = append(points, plotter.XY{X: float64(k.After.Microseconds()) / 1000, Y: float64(k.Lines)})
			}
		}
		if len(points) == 0 {
			continue
		}
		s, err := plotter.NewScatter(points)
		if err != nil {
			return "", err
		}
		s.GlyphStyle = draw.GlyphStyle{Color: []color.Color{color.RGBA{190, 90, 40, 255}, color.RGBA{40, 90, 170, 255}}[i], Radius: vg.Points(2), Shape: draw.CircleGlyph{}}
		p.Add(s)
		p.Legend.Add(x.name, s)
	}
	return svg(p)
}

// svg renders a plot as an SVG element.
func svg(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(16*vg.Centimeter, 9*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	i := bytes.Index(b.Bytes(), []byte("<svg"))
	if i < 0 {
		return "", fmt.Errorf("faultinjection: the rendered plot contains no <svg element")
	}
	return template.HTML(b.Bytes()[i:]), nil
}
