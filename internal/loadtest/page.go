package loadtest

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
)

var page = template.Must(template.New("page").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Load test</title>
<style>body{font:15px/1.5 system-ui,sans-serif;max-width:64rem;margin:2rem auto;padding:0 1rem;color:#222}
table{border-collapse:collapse}td,th{border-bottom:1px solid #ddd;padding:.2rem .8rem;text-align:left}
.bad{color:#a00}svg{max-width:100%;height:auto}pre{white-space:pre-wrap}</style></head><body>
<h1>Load test</h1>
<p>Real controllers on one machine, with simulated agents, state service, cloud and users.</p>
{{range .Results}}<h2>{{.Config.Agents}} agents, {{.Config.Controllers}} controllers, {{.Config.Teams}} teams</h2>
{{if .Stopped}}<p class="bad">The run was aborted: {{.Stopped}}</p>{{end}}
{{if .BrokenCount}}<p class="bad">{{.BrokenCount}} rules broken: {{range .Broken}}{{.}}; {{end}}</p>{{else}}<p>No rule was broken.</p>{{end}}
<pre>{{.Summary}}</pre>
<table><tr><th>process</th><th>cores</th><th>MB</th><th>open files</th><th>bytes/s read</th><th>bytes/s written</th></tr>
{{range .Controllers}}{{template "use" .}}{{end}}{{range .AgentProcesses}}{{template "use" .}}{{end}}{{template "use" .StandIns}}</table>
<table><tr><th>between</th><th>kind</th><th>messages</th><th>bytes</th><th>bytes of answers</th></tr>
{{range .Traffic}}<tr><td>{{.Between}}</td><td>{{.Kind}}</td><td>{{.Messages}}</td><td>{{.Bytes}}</td><td>{{.Answers}}</td></tr>{{end}}</table>
{{end}}
{{range .Slopes}}<h3>{{.Slope.Figure}}{{with .Slope.Unit}}, {{.}}{{end}}</h3>
<p>{{printf "%.3g + %.3g x" .Slope.Line.Intercept .Slope.Line.Slope}}; worst residual {{printf "%.2g" .Slope.Residual}} of the greatest value,
spread between runs of one size {{printf "%.2g" .Slope.Spread}}, bend {{printf "%.2g" .Slope.Bend}}</p>{{.Plot}}{{end}}
</body></html>
{{define "use"}}<tr><td>{{.Name}}</td><td>{{printf "%.3f" .Cores}}</td><td>{{printf "%.0f" .Memory}}</td><td>{{.Files}}</td><td>{{printf "%.0f" .In}}</td><td>{{printf "%.0f" .Out}}</td></tr>{{end}}
`))

// plottedSlope is a slope with its plot.
type plottedSlope struct {
	Slope Slope
	Plot  template.HTML
}

// WritePage writes results as a self-contained HTML page, with slopes if there are several results.
func WritePage(w io.Writer, results []*Result, over Axis) error {
	var slopes []plottedSlope
	if len(results) > 1 {
		for _, s := range Slopes(results, over) {
			svg, err := s.plot(over)
			if err != nil {
				return err
			}
			slopes = append(slopes, plottedSlope{s, svg})
		}
	}
	return page.Execute(w, map[string]any{"Results": results, "Slopes": slopes})
}

// plot draws a slope's points and fitted line as SVG.
func (s *Slope) plot(over Axis) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = string(over), s.Unit
	p.X.Min, p.Y.Min = 0, 0
	points := make(plotter.XYs, len(s.Points))
	for i, x := range s.Points {
		points[i] = plotter.XY{X: x.X, Y: x.Y}
	}
	dots, err := plotter.NewScatter(points)
	if err != nil {
		return "", err
	}
	dots.GlyphStyle = draw.GlyphStyle{Color: color.RGBA{40, 90, 170, 255}, Radius: vg.Points(2.5), Shape: draw.CircleGlyph{}}
	last := points[len(points)-1].X
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: s.Line.At(0)}, {X: last, Y: s.Line.At(last)}})
	if err != nil {
		return "", err
	}
	p.Add(dots, line)
	c := vgsvg.New(16*vg.Centimeter, 7*vg.Centimeter)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return "", err
	}
	at := bytes.Index(b.Bytes(), []byte("<svg"))
	if at < 0 {
		return "", fmt.Errorf("loadtest: the rendered plot contains no <svg element")
	}
	return template.HTML(b.Bytes()[at:]), nil
}
