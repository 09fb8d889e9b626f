package loadtest

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Axis is what several runs differ in.
type Axis string

// The axes.
const (
	Agents     Axis = "workers"
	Starts      Axis = "starts"
	Teams       Axis = "teams"
	Controllers Axis = "controllers"
	Tasks       Axis = "tasks"
)

// of is a run's place on the axis.
func (a Axis) of(r *Result) float64 {
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

// figure is one thing that a run measured.
type figure struct {
	name, unit string
	of         func(*Result) float64
}

func cores(u Usage) float64    { return u.Cores }
func memory(u Usage) float64   { return u.Memory }
func files(u Usage) float64    { return float64(u.Files) }
func traffics(u Usage) float64 { return (u.In + u.Out) / 1024 }

func count(t Traffic) int64 { return t.Messages }
func size(t Traffic) int64  { return t.Bytes + t.Answers }

func perController(r *Result, kind string) float64 {
	return r.messages("peers", kind, size) / 1024 / float64(r.Config.Controllers)
}

// figures are what slopes are told of.
var figures = []figure{
	{"controller: processor, mean", "cores", func(r *Result) float64 { return mean(r.Controllers, cores) }},
	{"controller: processor, most", "cores", func(r *Result) float64 { return most(r.Controllers, cores) }},
	{"controller: memory, most", "MB", func(r *Result) float64 { return most(r.Controllers, memory) }},
	{"controller: open files, most", "", func(r *Result) float64 { return most(r.Controllers, files) }},
	{"controller: read and written", "KB/s", func(r *Result) float64 { return mean(r.Controllers, traffics) }},
	{"peers: lines from one controller", "/s", func(r *Result) float64 { return r.messages("peers", "", count) / float64(r.Config.Controllers) }},
	{"peers: bytes from one controller", "KB/s", func(r *Result) float64 { return perController(r, "") }},
	{"peers: of it statuses", "KB/s", func(r *Result) float64 { return perController(r, "status") }},
	{"peers: of it views", "KB/s", func(r *Result) float64 { return perController(r, "views") }},
	{"peers: of it deltas", "KB/s", func(r *Result) float64 { return perController(r, "deltas") }},
	{"store: requests", "/s", func(r *Result) float64 { return r.messages("store", "", count) }},
	{"store: transactions", "/s", func(r *Result) float64 { return r.messages("store", "write", count) }},
	{"store: bytes", "KB/s", func(r *Result) float64 { return r.messages("store", "", size) / 1024 }},
	{"reports", "/s", func(r *Result) float64 { return r.Heartbeats }},
	{"starts", "/s", func(r *Result) float64 { return r.Starts }},
	{"report to answer, p99", "ms", func(r *Result) float64 { return float64(r.HeartbeatLatency.P99) / 1000 }},
	{"urgent start, p50", "ms", func(r *Result) float64 { return float64(r.UrgentWait.P50) }},
	{"urgent start, p99", "ms", func(r *Result) float64 { return float64(r.UrgentWait.P99) }},
	{"usual start, p99", "ms", func(r *Result) float64 { return float64(r.UsualWait.P99) }},
	{"one worker: bodies", "KB/s", func(r *Result) float64 { return r.BytesPerAgent / 1024 }},
	{"one worker: processor", "% of a core", func(r *Result) float64 {
		return 100 * mean(r.AgentProcesses, cores) * float64(len(r.AgentProcesses)) / float64(r.Config.Agents)
	}},
	{"one worker: memory", "MB", func(r *Result) float64 {
		return mean(r.AgentProcesses, memory) * float64(len(r.AgentProcesses)) / float64(r.Config.Agents)
	}},
	{"stand-ins and users: processor", "cores", func(r *Result) float64 { return r.StandIns.Cores }},
	{"workers' processes: processor", "cores", func(r *Result) float64 { return mean(r.AgentProcesses, cores) * float64(len(r.AgentProcesses)) }},
	{"other programs on the machine", "cores", func(r *Result) float64 { return r.OthersBusy }},
}

// Point is one run's figure.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Line is a fitted line.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// At is the line's value.
func (l Line) At(x float64) float64 { return l.Intercept + l.Slope*x }

// Slope is how one figure grows along an axis.
type Slope struct {
	Figure   string  `json:"figure"`
	Unit     string  `json:"unit"`
	Points   []Point `json:"points"`
	Line     Line    `json:"line"`
	Residual float64 `json:"worst_residual"` // as a part of the greatest value
	Spread   float64 `json:"worst_spread"`   // between runs of one size, as a part of their mean
	Bend     float64 `json:"bend"`           // slope of the upper half of the sizes over that of the lower half; 0: not told
}

// fit is the least-squares line through points; level if they share one place.
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
			s.Points = append(s.Points, Point{over.of(r), f.of(r)})
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

// residual is the greatest distance from the line, as a part of the greatest value.
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

// sameSize is within what part of each other two places count as one size.
const sameSize = 0.03

// spread is how far runs of one size lie apart.
func spread(points []Point) float64 {
	worst := 0.0
	for i := 0; i < len(points); {
		lo, hi, sum, k := points[i].Y, points[i].Y, 0.0, i
		for ; k < len(points) && points[k].X <= points[i].X*(1+sameSize); k++ {
			lo, hi, sum = min(lo, points[k].Y), max(hi, points[k].Y), sum+points[k].Y
		}
		if mean := sum / float64(k-i); mean > 0 {
			worst = max(worst, (hi-lo)/mean)
		}
		i = k
	}
	return worst
}

// bend compares the slopes of both halves of the sizes. The size in the middle belongs to both.
func bend(points []Point) float64 {
	var sizes []float64
	for _, p := range points {
		if len(sizes) == 0 || p.X > sizes[len(sizes)-1]*(1+sameSize) {
			sizes = append(sizes, p.X)
		}
	}
	if len(sizes) < 4 {
		return 0
	}
	middle := sizes[len(sizes)/2]
	var lower, upper []Point
	for _, p := range points {
		if p.X <= middle*(1+sameSize) {
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

// SlopesText is slopes as a table.
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

// Summary is a result in a few lines.
func (r *Result) Summary() string {
	state := "settled"
	if !r.Settled {
		state = "NOT settled"
	}
	return fmt.Sprintf(`%d workers, %d controllers, %d teams: %s in %.0f s, measured %.0f s
  %.0f reports/s, %.1f starts/s asked, %.1f got, %d tasks run; urgent starts p99 %d ms, others p99 %d ms; report to answer p99 %.1f ms
  a controller: %.2f cores (most %.2f), %.0f MB, %.0f KB/s read and written, %.0f KB/s to peers
  store %.0f requests/s, %.1f transactions/s, %d refused; a worker: %.2f KB/s; stand-ins %.2f cores, workers' processes %.2f, other programs %.2f
  rules broken: %d`,
		r.Config.Agents, r.Config.Controllers, r.Config.Teams, state, r.SettledIn, r.Measured,
		r.Heartbeats, r.Config.StartsPerSecond, r.Starts, r.Running, r.UrgentWait.P99, r.UsualWait.P99, float64(r.HeartbeatLatency.P99)/1000,
		mean(r.Controllers, cores), most(r.Controllers, cores), most(r.Controllers, memory), mean(r.Controllers, traffics), perController(r, ""),
		r.messages("store", "", count), r.messages("store", "write", count), r.StoreRefused, r.BytesPerAgent/1024,
		r.StandIns.Cores, mean(r.AgentProcesses, cores)*float64(len(r.AgentProcesses)), r.OthersBusy, r.BrokenCount)
}
