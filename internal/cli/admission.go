package cli

import (
	"fmt"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"topazhollow/internal/admission"
	"topazhollow/internal/faultinjection"
)

type admissionCmd struct {
	Show admissionShowCmd `cmd:"" help:"Show for each team and class how much work was done in time, the CPUs it uses, its floor, and why tasks wait."`
}

type admissionShowCmd struct {
	Controllers []string `arg:"" name:"host:port" help:"Public addresses of the controllers."`
}

// admissionOverview is the part of a controller's overview about admission.
type admissionOverview struct {
	Node   string           `json:"node"`
	Status admission.Status `json:"admission"`
}

// Run prints one table for all controllers, the worst served teams and classes first.
func (c *admissionShowCmd) Run(r *commandContext) error {
	var all []admissionOverview
	failed := 0
	for _, addr := range c.Controllers {
		var a admissionOverview
		if err := fetchOverview(r.ctx, addr, &a); err != nil {
			failed++
			fmt.Fprintf(r.err, programName+": %s: %v\n", addr, err)
			continue
		}
		all = append(all, a)
	}
	if r.json {
		for _, a := range all {
			r.print(a, "")
		}
	} else if err := r.printAdmission(all); err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d controllers did not answer", failed, len(c.Controllers))
	}
	return nil
}

// printAdmission prints a line for each controller and a table of teams and classes, each as reported by its owner.
func (r *commandContext) printAdmission(all []admissionOverview) error {
	var keys []admission.KeyStatus
	for _, a := range all {
		fmt.Fprintf(r.out, "%s: plan %d of term %d, machines reserved %v; acceptances wait %.1f s, %d refused submissions may be retried\n",
			a.Node, a.Status.Plan.Number, a.Status.Plan.SinceTerm, a.Status.Reserved, a.Status.AcceptanceWaitSeconds, a.Status.Refused)
		for _, k := range a.Status.Keys {
			if k.InTime+k.Late+k.Waiting+k.Done > 0 || k.UsedCPUs > 0 { // only the owner reports counts
				keys = append(keys, k)
			}
		}
	}
	slices.SortStableFunc(keys, compareByShare)
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "team\tclass\tin time\tdone\tlate\trefused\tCPUs\tfloor\twaiting\toldest\twhy")
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%.0f s\t%s\n",
			k.Team, k.Class, 100*k.Share, k.Done, k.Late, k.Refused, k.UsedCPUs, k.Floor, k.Waiting, k.OldestWaitSeconds, waitReason(&k))
	}
	return w.Flush()
}

// compareByShare orders teams and classes by the share served in time, smallest first, then by name.
func compareByShare(a, b admission.KeyStatus) int {
	switch {
	case a.Share < b.Share:
		return -1
	case a.Share > b.Share:
		return 1
	}
	return a.Compare(b.Key)
}

// waitReason returns a short text on why tasks of a team and class wait, "" if none wait and it has no floor.
func waitReason(k *admission.KeyStatus) string {
	switch {
	case k.Floor > 0 && k.UsedCPUs < k.Floor:
		return "below its floor: scheduled first until it reaches it"
	case k.Floor > 0:
		return "at its floor; the rest waits for capacity"
	case k.Waiting > 0 && k.UsedCPUs == 0:
		return "nothing runs, for lack of quota, machines or capacity; see the controller's log"
	case k.Waiting > 0:
		return "waits for capacity"
	}
	return ""
}

type simulateOverloadCmd struct {
	Trials  int           `default:"5" help:"Number of load bursts, each with a different fault."`
	Seed    uint64        `default:"1" help:"Seed of the random trials."`
	AtOnce  int           `default:"2" help:"Number of deployments, of three controller processes each, to run in parallel."`
	Floor   float64       `default:"0.5" help:"The controllers' class_floor; 0 disables it for comparison."`
	Report  string        `help:"Write an HTML report to this file."`
	Timeout time.Duration `name:"most" default:"1h" help:"Give up after this time."`
}

// Run simulates overload; a violated rule, or a class that starves, makes the exit code 1.
func (c *simulateOverloadCmd) Run(r *commandContext) error {
	ctx, cancel, program, dir, err := r.simulation("overload", c.Timeout)
	if err != nil {
		return err
	}
	defer cancel()
	trials, err := faultinjection.Overloads(ctx, faultinjection.OverloadOptions{Floor: c.Floor,
		TrialOptions: faultinjection.TrialOptions{Program: program, Dir: dir, Seed: c.Seed, Trials: c.Trials, AtOnce: c.AtOnce, Out: r.err}})
	if err != nil {
		return err
	}
	if c.Report != "" {
		f, err := os.Create(c.Report)
		if err != nil {
			return err
		}
		if err := faultinjection.OverloadReport(f, trials); err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	}
	return reportTrials(r, "load bursts", dir, trials, func(t faultinjection.OverloadTrial) bool { return t.Broken != "" })
}
