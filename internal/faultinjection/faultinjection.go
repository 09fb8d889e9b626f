// Package faultinjection tests the guarantees of controllers, agents and artifact-store replicas with real processes:
// it injects faults at random moments, such as killing processes hundreds of times, and compares everything that is
// read afterwards with what was acknowledged before.
package faultinjection

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os/exec"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"topazhollow/internal/artifactstore"
)

// Options are the parameters of a kill test.
type Options struct {
	Program string // path of topazhollowctl
	Dir     string // for all files of the test; it must be empty
	Seed    uint64
	Kills   int // number of agents to kill
	AtOnce  int // concurrent tasks; 8 if 0
	Key     []byte
	Out     io.Writer // receives the progress; may be nil
	// CorruptRead, if set, may change what a reader got before it is checked, to prove that the check detects it.
	CorruptRead func(a *artifactstore.AttemptSummary, lines []string, file string) ([]string, string)
}

// Killed is one killed agent and what remained of its attempt.
type Killed struct {
	Attempt artifactstore.Attempt
	After   time.Duration // time from the process's start to the kill
	Back    bool          // another process recovered its spool
	Acked   uint64        // records acknowledged to it
	Lines   int           // readable at the end
	State   string        // of the attempt at the end; "" if no replica knows it
}

// Report is the result of a kill test.
type Report struct {
	Seed          uint64
	Tasks         int
	Attempts      int
	Kills         []Killed
	KeeperKills   int
	DisksLost     int
	Lines, Files  int // read and checked, summed over the replicas
	Took          time.Duration
	Broken        []string // violated guarantees, at most 100
	BrokenInTotal int
}

// storeNames are the names of the test's artifact-store replicas.
var storeNames = []string{"keeper-1", "keeper-2", "keeper-3"}

// linesPerAttempt is how many lines each attempt prints.
const linesPerAttempt = 40

// script is each attempt's command. It prints linesPerAttempt lines and writes a file, all of which contain the
// attempt's name.
const script = `i=0
while [ $i -lt 40 ]; do
  echo "$ATTEMPT line $i"
  i=$((i+1))
  if [ $((i % 8)) -eq 0 ]; then sleep 0.02; fi
done
mkdir -p out
printf 'file of %s' "$ATTEMPT" > out/result`

// killTest is a kill test while it runs.
type killTest struct {
	options   Options
	urls      []string             // of the replicas, in the order of storeNames
	configs   map[string]string    // paths of the replicas' settings files, by name
	mu        sync.Mutex           // guards processes and, while tasks run, report
	processes map[string]*exec.Cmd // of the running replicas, by name
	report    Report
}

// Run executes a kill test. Violated guarantees are in the report; an error means that the test itself failed.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.AtOnce <= 0 {
		opt.AtOnce = 8
	}
	k := &killTest{options: opt, configs: map[string]string{}, processes: map[string]*exec.Cmd{}, report: Report{Seed: opt.Seed}}
	defer k.stopAll()
	if err := k.configure(); err != nil {
		return nil, err
	}
	for _, name := range storeNames {
		if err := k.start(name); err != nil {
			return nil, err
		}
	}
	if err := k.awaitRepaired(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	killing, stop := context.WithCancel(ctx)
	defer stop()
	var storeKiller errgroup.Group
	storeKiller.Go(func() error { return k.killStores(killing, rand.New(rand.NewPCG(opt.Seed, 1))) })
	group, working := errgroup.WithContext(ctx)
	group.SetLimit(opt.AtOnce)
	for k.countKilled() < opt.Kills && working.Err() == nil {
		task := k.report.Tasks
		k.report.Tasks++
		group.Go(func() error { return k.runTask(working, task, rand.New(rand.NewPCG(opt.Seed, uint64(task)+2))) })
		if k.report.Tasks > 4*opt.Kills+opt.AtOnce { // most attempts are killed; with too few kills by now, the delays are drawn wrong
			break
		}
	}
	err := group.Wait()
	stop()
	if err = errors.Join(err, storeKiller.Wait()); err != nil {
		return nil, err
	}
	if err := k.awaitRepaired(ctx); err != nil {
		return nil, err
	}
	if err := k.check(ctx); err != nil {
		return nil, err
	}
	k.report.Took = time.Since(began)
	return &k.report, nil
}

func (k *killTest) countKilled() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.report.Kills)
}

func (k *killTest) printf(format string, args ...any) {
	if k.options.Out != nil {
		fmt.Fprintf(k.options.Out, format+"\n", args...)
	}
}
