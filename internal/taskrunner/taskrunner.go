// Package taskrunner is an agent's side of keeping output: it runs a task's command, takes
// in what it puts out and the files that it leaves, and brings all of it to a replica.
// Between the two lies a spool on the agent's disk, so that neither a replica that
// can't be reached nor the end of the agent's own process loses what was put out. What
// the spool has no room for is dropped and marked; the seal never is.
package taskrunner

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/protocol"
	"topazhollow/internal/wal"
)

// Task is one attempt to run.
type Task struct {
	Claim   artifactstore.Claim `json:"claim"`
	Token   string              `json:"token"` // to write for the claim
	Command []string            `json:"command"`
	Env     []string            `json:"env"`
	Dir     string              `json:"dir"`   // where it runs; its files are below it
	Files   []string            `json:"files"` // paths that it should leave; a directory stands for all below it
}

// Options are a runner's choices.
type Options struct {
	Spool          string   // directory
	Keepers        []string // addresses; another is tried when one fails
	MaxSpoolBytes  int64    // bytes of output of one attempt that may wait in the spool; 64 MiB if 0
	MaxRecordBytes int      // longest record; 32 KiB if 0
	RetryDelay     time.Duration
	Log            *slog.Logger
	Step           func(step string) // told of each durable step, for tests
	// Acked is told what a replica acknowledged: the number of the next record of a stream.
	Acked func(stream string, next uint64)
}

// entry is a record of an attempt's spool.
type entry struct {
	Task   *Task                 `json:"task,omitempty"`
	Stream string                `json:"s,omitempty"`
	Record *artifactstore.Record `json:"r,omitempty"`
	Files  []string              `json:"f,omitempty"` // to be brought, relative to the task's directory
	Exit   *artifactstore.Exit   `json:"x,omitempty"`
}

// spool is an attempt's way to the replica.
type spool struct {
	opt  Options
	dir  string
	task Task
	log  *wal.Log

	mu           sync.Mutex
	changed      sync.Cond
	unsent       []unsentRecord // not brought yet
	nextNumber   map[string]uint64
	unsentBytes  int64
	openHoles    map[string]*artifactstore.Hole // by stream, open
	files        []string
	exit         *artifactstore.Exit
	complete     bool // nothing more comes
	droppedBytes int64
	replica      int // replica in use
}

// unsentRecord is a record that is still to be brought.
type unsentRecord struct {
	stream string
	number uint64
	pos    wal.Pos
	size   int
}

// Result is how an attempt ended.
type Result struct {
	Exit         artifactstore.Exit
	Final        bool  // it is its task's result
	DroppedBytes int64 // bytes of output that the spool had no room for
}

func (o *Options) setDefaults() {
	if o.MaxSpoolBytes <= 0 {
		o.MaxSpoolBytes = 64 << 20
	}
	if o.MaxRecordBytes <= 0 {
		o.MaxRecordBytes = 32 << 10
	}
	if o.RetryDelay <= 0 {
		o.RetryDelay = 500 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Step == nil {
		o.Step = func(string) {}
	}
	if o.Acked == nil {
		o.Acked = func(string, uint64) {}
	}
}

func spoolDir(root string, at artifactstore.Attempt) string {
	return filepath.Join(root, fmt.Sprintf("%s-%d-%d", at.Job, at.Task, at.Number))
}

// open opens an attempt's spool and takes up what it holds.
func open(opt Options, dir string) (*spool, error) {
	s := &spool{opt: opt, dir: dir, nextNumber: map[string]uint64{}, openHoles: map[string]*artifactstore.Hole{}}
	s.changed.L = &s.mu
	log, err := wal.Open(dir, wal.Options{Step: opt.Step}, wal.Pos{}, func(at wal.Pos, b []byte) error {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("runner: spool %s at %v: %w", dir, at, err)
		}
		s.apply(&e, at)
		return nil
	})
	s.log = log
	return s, err
}

func (s *spool) apply(e *entry, at wal.Pos) {
	switch {
	case e.Task != nil:
		s.task = *e.Task
	case e.Record != nil:
		s.unsent = append(s.unsent, unsentRecord{e.Stream, s.nextNumber[e.Stream], at, len(e.Record.Data)})
		s.nextNumber[e.Stream]++
		s.unsentBytes += int64(len(e.Record.Data))
	case e.Exit != nil:
		s.files, s.exit, s.complete = e.Files, e.Exit, true
	}
}

// write makes an entry durable in the spool.
func (s *spool) write(ctx context.Context, e *entry) error {
	at, err := s.log.Append(context.WithoutCancel(ctx), protocol.Encode(e))
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.apply(e, at[0])
	s.mu.Unlock()
	s.changed.Broadcast()
	return nil
}

// appendRecord takes a record in; if the spool is full, or its disk is, it becomes part of a
// hole. One stream is put by one goroutine.
func (s *spool) appendRecord(ctx context.Context, stream string, data []byte) {
	now := time.Now().UTC()
	s.mu.Lock()
	full := s.unsentBytes+int64(len(data)) > s.opt.MaxSpoolBytes
	h := s.openHoles[stream]
	s.mu.Unlock()
	if !full && h != nil {
		// There is room again: the hole takes its place first.
		if s.write(ctx, &entry{Stream: stream, Record: &artifactstore.Record{At: now, Hole: h}}) != nil {
			full = true
		} else {
			s.mu.Lock()
			delete(s.openHoles, stream)
			s.mu.Unlock()
		}
	}
	if !full && s.write(ctx, &entry{Stream: stream, Record: &artifactstore.Record{At: now, Data: data}}) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedBytes += int64(len(data))
	if h = s.openHoles[stream]; h == nil {
		h = &artifactstore.Hole{From: now}
		s.openHoles[stream] = h
	}
	h.Bytes, h.To = h.Bytes+int64(len(data)), now
}

// Run runs a task's command to its end and brings what it put out to a replica. The
// context's end kills the command's whole process group; what it had put out until
// then is still brought and sealed as not completed, for as long as grace allows.
func Run(ctx context.Context, opt Options, t Task, grace time.Duration) (Result, error) {
	opt.setDefaults()
	if len(t.Command) == 0 || len(opt.Keepers) == 0 {
		return Result{}, errors.New("runner: a task without a command, or no keeper")
	}
	dir := spoolDir(opt.Spool, t.Claim.Attempt)
	s, err := open(opt, dir)
	if err != nil {
		return Result{}, err
	}
	defer s.log.Close()
	if s.task.Command != nil {
		return Result{}, fmt.Errorf("runner: attempt %s has a spool already: %w", t.Claim.Attempt, fs.ErrExist)
	}
	if err := s.write(ctx, &entry{Task: &t}); err != nil {
		return Result{}, err
	}
	late, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ended := context.AfterFunc(ctx, func() { time.AfterFunc(grace, stop) })
	defer ended()
	brought := make(chan error, 1)
	var result Result
	go func() {
		var err error
		result, err = s.upload(late)
		brought <- err
	}()
	exit := s.execute(ctx, t)
	files, err := collectFiles(t)
	if err != nil { // what it should have left is not there, or is no plain file
		exit.Completed, exit.Reason = false, err.Error()
	}
	for stream, h := range s.openHoles { // what was dropped last has its mark before the end
		if err := s.write(late, &entry{Stream: stream, Record: &artifactstore.Record{At: h.To, Hole: h}}); err != nil {
			return Result{}, err
		}
	}
	if err := s.write(late, &entry{Files: files, Exit: &exit}); err != nil {
		return Result{}, err
	}
	err = <-brought
	result.Exit, result.DroppedBytes = exit, s.droppedBytes
	return result, err
}

// execute runs the command.
func (s *spool) execute(ctx context.Context, t Task) artifactstore.Exit {
	cmd := exec.Command(t.Command[0], t.Command[1:]...)
	cmd.Dir, cmd.Env = t.Dir, t.Env
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := cmd.StdoutPipe()
	errs, err2 := cmd.StderrPipe()
	if err = errors.Join(err, err2); err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return artifactstore.Exit{Code: -1, Reason: err.Error()}
	}
	kill := context.AfterFunc(ctx, func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }) // it may have ended just now
	defer kill()
	var wg sync.WaitGroup
	for stream, r := range map[string]io.Reader{"stdout": out, "stderr": errs} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s.readStream(ctx, stream, r)
		}()
	}
	wg.Wait()
	err = cmd.Wait()
	exit := artifactstore.Exit{Completed: err == nil, Code: cmd.ProcessState.ExitCode()}
	switch {
	case ctx.Err() != nil:
		exit.Completed, exit.Reason = false, "stopped"
	case err != nil:
		exit.Reason = err.Error()
	}
	return exit
}

// readStream splits a stream into lines, or pieces of long ones.
func (s *spool) readStream(ctx context.Context, stream string, r io.Reader) {
	in := bufio.NewReaderSize(r, s.opt.MaxRecordBytes)
	for {
		line, err := in.ReadSlice('\n')
		if len(line) > 0 {
			s.appendRecord(ctx, stream, bytes.Clone(bytes.TrimSuffix(line, []byte("\n"))))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return // the process ended, or closed it
		}
	}
}

// collectFiles lists the plain files that a task was to leave, as paths below its
// directory. Links are not followed: they could lead anywhere.
func collectFiles(t Task) (files []string, err error) {
	root, err := os.OpenRoot(t.Dir)
	if err != nil {
		return nil, err
	}
	defer root.Close()
	for _, want := range t.Files {
		if err := artifactstore.CheckPath(want); err != nil {
			return nil, err
		}
		if st, err := root.Lstat(want); err != nil {
			return nil, err
		} else if !st.IsDir() && !st.Mode().IsRegular() {
			return nil, fmt.Errorf("runner: %s is no plain file", want)
		}
		err := fs.WalkDir(root.FS(), want, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir():
				return nil
			case !d.Type().IsRegular():
				return fmt.Errorf("runner: %s is no plain file", path)
			}
			files = append(files, path)
			return artifactstore.CheckPath(path)
		})
		if err != nil {
			return nil, err
		}
	}
	slices.Sort(files)
	return slices.Compact(files), nil
}

// Recover takes up the spools that an agent's earlier process left: what is whole is
// brought and sealed, and of what is not, the output that is there is brought; its
// attempt stays partial, since nobody knows how it ended. It gives how many were taken
// up. Spools that could not be brought, be it within the context's time or since a
// replica refuses them, stay and hold up no others; the error tells of them.
func Recover(ctx context.Context, opt Options) (count int, err error) {
	opt.setDefaults()
	if len(opt.Keepers) == 0 {
		return 0, errors.New("runner: no keeper")
	}
	entries, err := os.ReadDir(opt.Spool)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var errs []error
	for _, e := range entries {
		s, err := open(opt, filepath.Join(opt.Spool, e.Name()))
		if err != nil {
			errs = append(errs, err)
			continue
		}
		if s.task.Command == nil { // it ended before anything was in it
			s.log.Close()
			if err := os.RemoveAll(s.dir); err != nil {
				return count, err
			}
			continue
		}
		partial := !s.complete
		s.complete = true
		_, err = s.upload(ctx)
		s.log.Close()
		if err != nil {
			errs = append(errs, fmt.Errorf("runner: spool %s: %w", e.Name(), err))
			continue
		}
		count++
		opt.Log.Info("spool of an earlier process brought", "job", s.task.Claim.Job, "task", s.task.Claim.Task, "attempt", s.task.Claim.Number, "partial", partial)
	}
	return count, errors.Join(errs...)
}
