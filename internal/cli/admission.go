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
	Show admissionShowCmd `cmd:"" help:"Tell who is served, who is short and why."`
}

type admissionShowCmd struct {
	Controllers []string `arg:"" name:"host:port" help:"Public addresses of the controllers."`
}

// admissionAnswer is what a controller says of admission.
type admissionAnswer struct {
	Node   string           `json:"node"`
	Served admission.Status `json:"admission"`
}

// Run asks each controller and prints one table, who is served worst first.
func (c *admissionShowCmd) Run(r *run) error {
	var all []admissionAnswer
	failed := 0
	for _, addr := range c.Controllers {
		var a admissionAnswer
		if err := overviewOf(r.ctx, addr, &a); err != nil {
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

// printAdmission prints a line for each controller and a table of teams and classes, each as its owner says.
func (r *run) printAdmission(all []admissionAnswer) error {
	var keys []admission.KeyStatus
	for _, a := range all {
		fmt.Fprintf(r.out, "%s: plan %d of term %d, machines held %v; acceptances wait %.1f s, %d refused may come back\n",
			a.Node, a.Served.Plan.Number, a.Served.Plan.SinceTerm, a.Served.Reserved, a.Served.AcceptanceWaitSeconds, a.Served.Refused)
		for _, k := range a.Served.Keys {
			if k.InTime+k.Late+k.Waiting+k.Done > 0 || k.UsedCPUs > 0 { // of its owner
				keys = append(keys, k)
			}
		}
	}
	slices.SortStableFunc(keys, compareServed)
	w := tabwriter.NewWriter(r.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "team\tclass\tin time\tdone\tlate\trefused\tCPUs\tfloor\twaiting\toldest\twhy")
	for _, k := range keys {
		fmt.Fprintf(w, "%s\t%s\t%.0f%%\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%.0f s\t%s\n",
			k.Team, k.Class, 100*k.Share, k.Done, k.Late, k.Refused, k.UsedCPUs, k.Floor, k.Waiting, k.OldestWaitSeconds, why(&k))
	}
	return w.Flush()
}

// compareServed orders who is served worst first, then by name.
func compareServed(a, b admission.KeyStatus) int {
	switch {
	case a.Share < b.Share:
		return -1
	case a.Share > b.Share:
		return 1
	}
	return a.Compare(b.Key)
}

// why says in a few words what a key waits for.
func why(k *admission.KeyStatus) string {
	switch {
	case k.Floor > 0 && k.UsedCPUs < k.Floor:
		return "short: it goes first until it has its floor"
	case k.Floor > 0:
		return "has its floor; the rest waits for room"
	case k.Waiting > 0 && k.UsedCPUs == 0:
		return "has nothing: quota, machines or capacity, see the log"
	case k.Waiting > 0:
		return "waits for room"
	}
	return ""
}

type simulateOverloadCmd struct {
	Trials int           `default:"5" help:"How many crowds, each with another trouble."`
	Seed   uint64        `default:"1" help:"Draws them."`
	AtOnce int           `default:"2" help:"Regions at the same time, of three controller processes each."`
	Floor  float64       `default:"0.5" help:"The controllers' class_floor; 0 shows what it is for."`
	Report string        `help:"Write a page (HTML) to this file."`
	Most   time.Duration `default:"1h" help:"Give up after this."`
}

// Run simulates overload; a broken rule, or a class that starves, makes the exit code 1.
func (c *simulateOverloadCmd) Run(r *run) error {
	ctx, cancel, program, dir, err := r.simulation("overload", c.Most)
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
	return verdict(r, "crowds", dir, trials, func(t faultinjection.OverloadTrial) bool { return t.Broken != "" })
}
