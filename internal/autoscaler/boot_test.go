package autoscaler

import (
	"fmt"
	"testing"
	"time"

	"topazhollow/internal/protocol"
)

// delivery is a plain cloud that rents out what is asked for; boots says after how
// many seconds a machine is up, 0 for never.
type delivery struct {
	f        *Autoscaler
	types    []protocol.MachineType
	now      time.Time
	machines []Machine
	up       map[string]time.Time
	rented   int
	returned int
	late     bool // a place was ever found late
}

func (d *delivery) play(until time.Time, boots func(number int, zone string) float64, demand func(now time.Time) []Demand) {
	for ; d.now.Before(until); d.now = d.now.Add(500 * time.Millisecond) {
		for i := range d.machines {
			m := &d.machines[i]
			if at := d.up[m.Name]; !at.IsZero() && !d.now.Before(at) {
				m.LastHeartbeat, m.ListedState = d.now, protocol.HostRunning
				m.Tasks = []RunningTask{{CPUs: 8, SecondsLeft: 1000}}
			}
		}
		plan := d.f.Decide(d.types, d.machines, demand(d.now), nil, d.now, d.now.Add(-time.Hour))
		d.late = d.late || len(plan.SlowBootLocations) > 0
		for _, name := range plan.ScaleIn {
			for i := range d.machines {
				if d.machines[i].Name == name {
					d.machines = append(d.machines[:i], d.machines[i+1:]...)
					d.returned++
					break
				}
			}
		}
		for _, r := range plan.ScaleOut {
			for range r.Count {
				d.rented++
				name := fmt.Sprintf("n-%03d", d.rented)
				d.machines = append(d.machines, Machine{Name: name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, AcquiredAt: d.now, ListedState: protocol.HostBooting})
				if s := boots(d.rented, r.Zone); s > 0 {
					d.up[name] = d.now.Add(time.Duration(s * float64(time.Second)))
				}
			}
			d.f.RecordScaleOut(r, r.Count, d.now, false)
		}
	}
}

func (d *delivery) running() (n int) {
	for _, m := range d.machines {
		if !m.LastHeartbeat.IsZero() {
			n++
		}
	}
	return n
}

// TestSlowBoots: tasks for eight machines wait. Machines that are all late are not
// rented twice over; those that never come while others do are replaced well
// before they are given up; where one zone delivers nothing, the other does.
func TestSlowBoots(t *testing.T) {
	for _, c := range []struct {
		name         string
		boots        func(number int, zone string) float64
		most, within int // machines rented, seconds until eight are up
		late         bool
	}{
		{"as the catalog says", func(int, string) float64 { return 10 }, 8, 15, false},
		{"all late", func(int, string) float64 { return 40 }, 8, 45, true},
		{"at once", func(int, string) float64 { return 0.5 }, 8, 5, false},
		{"half never", func(n int, _ string) float64 { return []float64{0, 10, 10, 0}[n%4] }, 20, 70, true},
		{"one zone never", func(_ int, zone string) float64 {
			if zone == "a" {
				return 0
			}
			return 10
		}, 20, 70, true},
	} {
		f, types, now := setup()
		d := &delivery{f: f, types: types, now: now, up: map[string]time.Time{}}
		spec := &protocol.Submission{CPUs: 8, EstimateSeconds: 10, Spot: true}
		served := time.Duration(0)
		d.play(now.Add(2*time.Minute), c.boots, func(at time.Time) []Demand {
			left := 8 - d.running()
			if left <= 0 && served == 0 {
				served = at.Sub(now)
			}
			return []Demand{{Spec: spec, Count: max(0, left), Due: now}}
		})
		if d.late != c.late {
			t.Errorf("%s: a place found late: %v", c.name, d.late)
		}
		if d.rented > c.most || served == 0 || served > time.Duration(c.within)*time.Second {
			t.Errorf("%s: %d rented, at most %d wanted; eight up after %v, %d s wanted", c.name, d.rented, c.most, served, c.within)
		}
	}
}
