// Package faultinjection simulates what replicas and agents promise: processes are killed at
// drawn moments, hundreds of times, and everything that is read afterwards is held
// against what was acknowledged to whom.
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

// Options are a test's choices.
type Options struct {
	Program string // the command topazhollowctl
	Dir     string // for everything; it must be empty
	Seed    uint64
	Kills   int // of agents
	AtOnce  int // tasks at a time; 8 if 0
	Key     []byte
	Out     io.Writer // is told how it goes
	// Spoil may change what a reader got before it is checked, to show that the check
	// sees that.
	CorruptRead func(a *artifactstore.Known, lines []string, file string) ([]string, string)
}

// Killed is one kill of an agent and what was left of its attempt.
type Killed struct {
	Attempt artifactstore.Attempt
	After   time.Duration // of the process's start
	Back    bool          // its spool was taken up by another process
	Acked   uint64        // records that were acknowledged to it
	Lines   int           // that a reader sees in the end
	State   string        // of the attempt in the end; "" if no replica heard of it
}

// Report is what a test saw.
type Report struct {
	Seed          uint64
	Tasks         int
	Attempts      int
	Kills         []Killed
	KeeperKills   int
	DisksLost     int
	Lines, Files  int // that were read and found where they belong, at each of the replicas
	Took          time.Duration
	Broken        []string // promises
	BrokenInTotal int
}

// storeNames of the test's replicas.
var storeNames = []string{"keeper-1", "keeper-2", "keeper-3"}

// linesPerAttempt that each attempt puts out.
const linesPerAttempt = 40

// script is what each attempt runs: lines that name it, and a file that does.
const script = `i=0
while [ $i -lt 40 ]; do
  echo "$ATTEMPT line $i"
  i=$((i+1))
  if [ $((i % 8)) -eq 0 ]; then sleep 0.02; fi
done
mkdir -p out
printf 'file of %s' "$ATTEMPT" > out/result`

type killTest struct {
	options   Options
	urls      []string
	configs   map[string]string
	mu        sync.Mutex
	processes map[string]*exec.Cmd
	report    Report
}

// Run carries out a test and gives what it saw. An error is one of the test itself;
// broken promises are in the report.
func Run(ctx context.Context, opt Options) (*Report, error) {
	if opt.AtOnce <= 0 {
		opt.AtOnce = 8
	}
	d := &killTest{options: opt, configs: map[string]string{}, processes: map[string]*exec.Cmd{}, report: Report{Seed: opt.Seed}}
	defer d.stopAll()
	if err := d.configure(); err != nil {
		return nil, err
	}
	for _, name := range storeNames {
		if err := d.start(name); err != nil {
			return nil, err
		}
	}
	if err := d.awaitRepaired(ctx); err != nil {
		return nil, err
	}
	began := time.Now()
	killing, stop := context.WithCancel(ctx)
	defer stop()
	var keepersKilled errgroup.Group
	keepersKilled.Go(func() error { return d.killStores(killing, rand.New(rand.NewPCG(opt.Seed, 1))) })
	group, working := errgroup.WithContext(ctx)
	group.SetLimit(opt.AtOnce)
	for d.countKilled() < opt.Kills && working.Err() == nil {
		task := d.report.Tasks
		d.report.Tasks++
		group.Go(func() error { return d.runTask(working, task, rand.New(rand.NewPCG(opt.Seed, uint64(task)+2))) })
		if d.report.Tasks > 4*opt.Kills+opt.AtOnce { // most attempts are killed; if none is, the draws are wrong
			break
		}
	}
	err := group.Wait()
	stop()
	if err = errors.Join(err, keepersKilled.Wait()); err != nil {
		return nil, err
	}
	if err := d.awaitRepaired(ctx); err != nil {
		return nil, err
	}
	if err := d.check(ctx); err != nil {
		return nil, err
	}
	d.report.Took = time.Since(began)
	return &d.report, nil
}

func (d *killTest) countKilled() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.report.Kills)
}

func (d *killTest) printf(format string, args ...any) {
	if d.options.Out != nil {
		fmt.Fprintf(d.options.Out, format+"\n", args...)
	}
}
