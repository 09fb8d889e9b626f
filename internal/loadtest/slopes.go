package loadtest

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Axis is the parameter in which several runs differ.
type Axis string

// The axes.
const (
	Agents      Axis = "workers"
	Starts      Axis = "starts"
	Teams       Axis = "teams"
	Controllers Axis = "controllers"
	Tasks       Axis = "tasks"
)

// value returns a run's value on the axis.
func (a Axis) value(r *Result) float64 {
	switch a {
	case Starts:
		return r.Starts
	case Teams:
		return float64(r.Config.Teams)
	case Controllers:
		return float64(r.Config.Controllers)
	case Tasks:
		return r.Config.TasksPerAgent
	}
	return float64(r.Config.Agents)
}

// figure is one measured quantity of a run.
type figure struct {
	name, unit string
	value      func(*Result) float64
}

func cores(u Usage) float64     { return u.Cores }
func memory(u Usage) float64    { return u.Memory }
func files(u Usage) float64     { return float64(u.Files) }
func trafficKB(u Usage) float64 { return (u.In + u.Out) / 1024 }

func messageCount(t Traffic) int64 { return t.Messages }
func messageBytes(t Traffic) int64 { return t.Bytes + t.Answers }

func kbPerController(r *Result, kind string) float64 {
	return r.messageRate("peers", kind, messageBytes) / 1024 / float64(r.Config.Controllers)
}

// figures are the quantities for which slopes are fitted.
var figures = []figure{
	{"controller: processor, mean", "cores", func(r *Result) float64 { return meanOf(r.Controllers, cores) }},
	{"controller: processor, most", "cores", func(r *Result) float64 { return maxOf(r.Controllers, cores) }},
	{"controller: memory, most", "MB", func(r *Result) float64 { return maxOf(r.Controllers, memory) }},
	{"controller: open files, most", "", func(r *Result) float64 { return maxOf(r.Controllers, files) }},
	{"controller: read and written", "KB/s", func(r *Result) float64 { return meanOf(r.Controllers, trafficKB) }},
	{"peers: lines from one controller", "/s", func(r *Result) float64 {
		return r.messageRate("peers", "", messageCount) / float64(r.Config.Controllers)
	}},
	{"peers: bytes from one controller", "KB/s", func(r *Result) float64 { return kbPerController(r, "") }},
	{"peers: of it statuses", "KB/s", func(r *Result) float64 { return kbPerController(r, "status") }},
	{"peers: of it views", "KB/s", func(r *Result) float64 { return kbPerController(r, "views") }},
	{"peers: of it deltas", "KB/s", func(r *Result) float64 { return kbPerController(r, "deltas") }},
	{"store: requests", "/s", func(r *Result) float64 { return r.messageRate("store", "", messageCount) }},
	{"store: transactions", "/s", func(r *Result) float64 { return r.messageRate("store", "write", messageCount) }},
	{"store: bytes", "KB/s", func(r *Result) float64 { return r.messageRate("store", "", messageBytes) / 1024 }},
	{"reports", "/s", func(r *Result) float64 { return r.Heartbeats }},
	{"starts", "/s", func(r *Result) float64 { return r.Starts }},
	{"report to answer, p99", "ms", func(r *Result) float64 { return float64(r.HeartbeatLatency.P99) / 1000 }},
	{"urgent start, p50", "ms", func(r *Result) float64 { return float64(r.UrgentWait.P50) }},
	{"urgent start, p99", "ms", func(r *Result) float64 { return float64(r.UrgentWait.P99) }},
	{"usual start, p99", "ms", func(r *Result) float64 { return float64(r.UsualWait.P99) }},
	{"one worker: bodies", "KB/s", func(r *Result) float64 { return r.BytesPerAgent / 1024 }},
	{"one worker: processor", "% of a core", func(r *Result) float64 {
		return 100 * meanOf(r.AgentProcesses, cores) * float64(len(r.AgentProcesses)) / float64(r.Config.Agents)
	}},
	{"one worker: memory", "MB", func(r *Result) float64 {
		return meanOf(r.AgentProcesses, memory) * float64(len(r.AgentProcesses)) / float64(r.Config.Agents)
	}},
	{"stand-ins and users: processor", "cores", func(r *Result) float64 { return r.StandIns.Cores }},
	{"workers' processes: processor", "cores", func(r *Result) float64 { return meanOf(r.AgentProcesses, cores) * float64(len(r.AgentProcesses)) }},
	{"other programs on the machine", "cores", func(r *Result) float64 { return r.OthersBusy }},
}

// Point is a figure of one run (Y) at the run's value on the axis (X).
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a fitted line.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// At returns the line's value at x.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Slope describes how one figure grows along an axis.
type Slope struct {
	Figure   string  `json:"figure"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	Line     Line    `json:"line"`
	Residual float64 `json:"worst_residual"` // relative to the greatest value
	Spread   float64 `json:"worst_spread"`   // between runs of one size, relative to their mean
	Bend     float64 `json:"bend"`           // slope of the upper half of the sizes over that of the lower half; 0: undefined
}

// fit returns the least-squares line through points. It is horizontal if all points share one X.
func fit(points []Point) Line {
	n, sx, sy := float64(len(points)), 0.0, 0.0
	for _, p := range points {
		sx, sy = sx+p.X, sy+p.Y
	}
	mx, my := sx/n, sy/n
	sxx, sxy := 0.0, 0.0
	for _, p := range points {
		sxx, sxy = sxx+(p.X-mx)*(p.X-mx), sxy+(p.X-mx)*(p.Y-my)
	}
	if sxx == 0 {
		return Line{0, my}
	}
	return Line{sxy / sxx, my - sxy/sxx*mx}
}

// Slopes fits every figure of several results along an axis.
func Slopes(results []*Result, over Axis) []Slope {
	var all []Slope
	for _, f := range figures {
		s := Slope{Figure: f.name, Unit: f.unit}
		for _, r := range results {
			s.Points = append(s.Points, Point{over.value(r), f.value(r)})
		}
		if len(s.Points) == 0 {
			continue
		}
		slices.SortFunc(s.Points, func(a, b Point) int {
			if a.X != b.X {
				return int(math.Copysign(1, a.X-b.X))
			}
			return 0
		})
		s.Line = fit(s.Points)
		s.Residual, s.Spread, s.Bend = residual(s.Points, s.Line), spread(s.Points), bend(s.Points)
		all = append(all, s)
	}
	return all
}

// residual returns the greatest vertical distance of a point from the line, relative to the greatest value.
func residual(points []Point, l Line) float64 {
	worst, top := 0.0, 0.0
	for _, p := range points {
		worst, top = max(worst, math.Abs(p.Y-l.At(p.X))), max(top, math.Abs(p.Y))
	}
	if top == 0 {
		return 0
	}
	return worst / top
}

// sizeTolerance is the relative difference within which two X values count as one size.
const sizeTolerance = 0.03

// spread returns the greatest relative difference between runs of one size.
func spread(points []Point) float64 {
	worst := 0.0
	for i := 0; i < len(points); {
		lo, hi, sum, k := points[i].Y, points[i].Y, 0.0, i
		for ; k < len(points) && points[k].X <= points[i].X*(1+sizeTolerance); k++ {
			lo, hi, sum = min(lo, points[k].Y), max(hi, points[k].Y), sum+points[k].Y
		}
		if mean := sum / float64(k-i); mean > 0 {
			worst = max(worst, (hi-lo)/mean)
		}
		i = k
	}
	return worst
}

// bend returns the ratio of the slopes of the upper and the lower half of the sizes. The middle size belongs to both.
// It returns 0 for fewer than four sizes.
func bend(points []Point) float64 {
	var sizes []float64
	for _, p := range points {
		if len(sizes) == 0 || p.X > sizes[len(sizes)-1]*(1+sizeTolerance) {
			sizes = append(sizes, p.X)
		}
	}
	if len(sizes) < 4 {
		return 0
	}
	middle := sizes[len(sizes)/2]
	var lower, upper []Point
	for _, p := range points {
		if p.X <= middle*(1+sizeTolerance) {
			lower = append(lower, p)
		}
		if p.X >= middle {
			upper = append(upper, p)
		}
	}
	if l := fit(lower).Slope; l != 0 {
		return fit(upper).Slope / l
	}
	return 0
}

// SlopesText formats slopes as a Markdown table.
func SlopesText(slopes []Slope, over Axis) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| figure | values by %s | line | worst residual | spread | bend |\n|---|---|---|---|---|---|\n", over)
	for _, s := range slopes {
		var values []string
		for _, p := range s.Points {
			values = append(values, fmt.Sprintf("%.4g: %.3g", p.X, p.Y))
		}
		fmt.Fprintf(&b, "| %s, %s | %s | %.3g + %.3g x | %.0f%% | %.0f%% | %.2g |\n", s.Figure, s.Unit, strings.Join(values, ", "), s.Line.Intercept, s.Line.Slope, 100*s.Residual, 100*s.Spread, s.Bend)
	}
	return b.String()
}

// Summary formats a result in a few lines.
func (r *Result) Summary() string {
	state := "settled"
	if !r.Settled {
		state = "NOT settled"
	}
	return fmt.Sprintf(`%d agents, %d controllers, %d teams: %s in %.0f s, measured %.0f s
  %.0f heartbeats/s, %.1f starts/s requested, %.1f measured, %d tasks running; urgent starts p99 %d ms, others p99 %d ms; heartbeat to answer p99 %.1f ms
  per controller: %.2f cores (max %.2f), %.0f MB, %.0f KB/s read and written, %.0f KB/s to peers
  store %.0f requests/s, %.1f transactions/s, %d refused; per agent: %.2f KB/s; simulations %.2f cores, agent processes %.2f, other programs %.2f
  rules broken: %d`,
		r.Config.Agents, r.Config.Controllers, r.Config.Teams, state, r.SettledIn, r.Measured,
		r.Heartbeats, r.Config.StartsPerSecond, r.Starts, r.Running, r.UrgentWait.P99, r.UsualWait.P99, float64(r.HeartbeatLatency.P99)/1000,
		meanOf(r.Controllers, cores), maxOf(r.Controllers, cores), maxOf(r.Controllers, memory), meanOf(r.Controllers, trafficKB), kbPerController(r, ""),
		r.messageRate("store", "", messageCount), r.messageRate("store", "write", messageCount), r.StoreRefused, r.BytesPerAgent/1024,
		r.StandIns.Cores, meanOf(r.AgentProcesses, cores)*float64(len(r.AgentProcesses)), r.OthersBusy, r.BrokenCount)
}
