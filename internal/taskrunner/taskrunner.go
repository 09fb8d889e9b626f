// Package taskrunner runs a task's command for an agent and uploads its output streams
// and files to a replica of the artifact store. The output passes through a spool on the
// agent's disk, so that neither an unreachable replica nor a restart of the agent loses
// it. Output beyond the spool's limit is dropped and replaced by a record that marks the gap;
// the seal is never dropped.
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

// Task is one attempt to run a task.
type Task struct {
	Claim   artifactstore.Claim `json:"claim"`
	Token   string              `json:"token"` // authorizes uploads for the claim
	Command []string            `json:"command"`
	Env     []string            `json:"env"`
	Dir     string              `json:"dir"`   // working directory, which contains the output files
	Files   []string            `json:"files"` // paths of the output files; a directory stands for all files below it
}

// Options configures a runner.
type Options struct {
	Spool          string        // directory of the spools
	Keepers        []string      // addresses of replicas; the next one is tried when one fails
	MaxSpoolBytes  int64         // bytes of unsent output in the spool of one attempt; 64 MiB if 0
	MaxRecordBytes int           // longest record in bytes, longer lines are split; 32 KiB if 0
	RetryDelay     time.Duration // upper bound of the first pause between retries, which doubles up to 30 s; 500 ms if 0
	Log            *slog.Logger
	Step           func(step string) // called at each durable step, for tests
	// Acked is called when a replica has acknowledged records, with the number of the next record of the stream.
	Acked func(stream string, next uint64)
}

// entry is one entry in the log of an attempt's spool.
type entry struct {
	Task   *Task                 `json:"task,omitempty"`
	Stream string                `json:"s,omitempty"`
	Record *artifactstore.Record `json:"r,omitempty"`
	Files  []string              `json:"f,omitempty"` // to upload, relative to the task's directory
	Exit   *artifactstore.Exit   `json:"x,omitempty"`
}

// spool buffers the output of an attempt on disk until a replica has acknowledged it.
type spool struct {
	opt  Options
	dir  string
	task Task
	log  *wal.Log

	mu           sync.Mutex
	changed      sync.Cond
	unsent       []unsentRecord    // records not acknowledged yet
	nextNumber   map[string]uint64 // number of the next record, by stream
	unsentBytes  int64
	dropped      map[string]*artifactstore.DroppedOutput // output dropped since the last record of a stream, by stream
	files        []string
	exit         *artifactstore.Exit
	complete     bool // no more records will be added
	droppedBytes int64
	replica      int // index in opt.Keepers of the replica in use
}

// unsentRecord is a record that no replica has acknowledged yet.
type unsentRecord struct {
	stream string
	number uint64
	pos    wal.Pos
	size   int
}

// Result describes how an attempt ended.
type Result struct {
	Exit         artifactstore.Exit
	Final        bool  // the attempt is the result of its task
	DroppedBytes int64 // bytes of output dropped because the spool was full
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

// open opens an attempt's spool and restores its state from its log.
func open(opt Options, dir string) (*spool, error) {
	s := &spool{opt: opt, dir: dir, nextNumber: map[string]uint64{}, dropped: map[string]*artifactstore.DroppedOutput{}}
	s.changed.L = &s.mu
	log, err := wal.Open(dir, wal.Options{Step: opt.Step}, wal.Pos{}, func(at wal.Pos, b []byte) error {
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return fmt.Errorf("taskrunner: spool %s: entry at %v: %w", dir, at, err)
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

// write writes an entry to the spool. It is durable when write returns.
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

// appendRecord adds a record to the spool. If the spool or its disk is full, the record is
// dropped and counted in s.dropped. Only one goroutine may append to a stream.
func (s *spool) appendRecord(ctx context.Context, stream string, data []byte) {
	now := time.Now().UTC()
	s.mu.Lock()
	full := s.unsentBytes+int64(len(data)) > s.opt.MaxSpoolBytes
	d := s.dropped[stream]
	s.mu.Unlock()
	if !full && d != nil {
		// There is space again: mark the dropped output before the next record.
		if s.write(ctx, &entry{Stream: stream, Record: &artifactstore.Record{At: now, Dropped: d}}) != nil {
			full = true
		} else {
			s.mu.Lock()
			delete(s.dropped, stream)
			s.mu.Unlock()
		}
	}
	if !full && s.write(ctx, &entry{Stream: stream, Record: &artifactstore.Record{At: now, Data: data}}) == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedBytes += int64(len(data))
	if d = s.dropped[stream]; d == nil {
		d = &artifactstore.DroppedOutput{From: now}
		s.dropped[stream] = d
	}
	d.Bytes, d.To = d.Bytes+int64(len(data)), now
}

// Run runs a task's command to its end and uploads its output to a replica. Cancelling
// the context kills the command's process group; its output so far is still uploaded and
// sealed as not completed, within the grace period.
func Run(ctx context.Context, opt Options, t Task, grace time.Duration) (Result, error) {
	opt.setDefaults()
	if len(t.Command) == 0 || len(opt.Keepers) == 0 {
		return Result{}, errors.New("taskrunner: no command or no replica address given")
	}
	dir := spoolDir(opt.Spool, t.Claim.Attempt)
	s, err := open(opt, dir)
	if err != nil {
		return Result{}, err
	}
	defer s.log.Close()
	if s.task.Command != nil {
		return Result{}, fmt.Errorf("taskrunner: attempt %s already has a spool: %w", t.Claim.Attempt, fs.ErrExist)
	}
	if err := s.write(ctx, &entry{Task: &t}); err != nil {
		return Result{}, err
	}
	return s.run(ctx, t, grace)
}

// run executes the command and uploads its output meanwhile. The upload has ended when run returns.
func (s *spool) run(ctx context.Context, t Task, grace time.Duration) (Result, error) {
	uploadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	cancelGrace := context.AfterFunc(ctx, func() { time.AfterFunc(grace, stop) })
	defer cancelGrace()
	uploaded := make(chan struct{})
	var result Result
	var uploadErr error
	go func() {
		defer close(uploaded)
		result, uploadErr = s.upload(uploadCtx)
	}()
	defer func() {
		stop()
		<-uploaded
	}()
	exit := s.execute(ctx, t)
	files, err := collectFiles(t)
	if err != nil { // an output file is missing or not a regular file
		exit.Completed, exit.Reason = false, err.Error()
	}
	for stream, d := range s.dropped { // output dropped at the end of the streams
		if err := s.write(uploadCtx, &entry{Stream: stream, Record: &artifactstore.Record{At: d.To, Dropped: d}}); err != nil {
			return Result{}, err
		}
	}
	if err := s.write(uploadCtx, &entry{Files: files, Exit: &exit}); err != nil {
		return Result{}, err
	}
	<-uploaded
	result.Exit, result.DroppedBytes = exit, s.droppedBytes
	return result, uploadErr
}

// execute runs the command and appends its output to the spool.
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
	kill := context.AfterFunc(ctx, func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }) // fails if the process has just ended
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

// readStream appends a stream to the spool as one record for each line. Lines longer than MaxRecordBytes are split.
func (s *spool) readStream(ctx context.Context, stream string, r io.Reader) {
	in := bufio.NewReaderSize(r, s.opt.MaxRecordBytes)
	for {
		line, err := in.ReadSlice('\n')
		if len(line) > 0 {
			s.appendRecord(ctx, stream, bytes.Clone(bytes.TrimSuffix(line, []byte("\n"))))
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return // the process ended or closed the stream
		}
	}
}

// collectFiles returns the paths of a task's output files, relative to its directory.
// Anything but a regular file is an error. Symbolic links are not followed, since they
// could point outside the directory.
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
			return nil, fmt.Errorf("taskrunner: %s is not a regular file", want)
		}
		err := fs.WalkDir(root.FS(), want, func(path string, d fs.DirEntry, err error) error {
			switch {
			case err != nil:
				return err
			case d.IsDir():
				return nil
			case !d.Type().IsRegular():
				return fmt.Errorf("taskrunner: %s is not a regular file", path)
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

// Recover uploads the spools that an earlier process of the agent left. An attempt whose
// spool is complete is sealed. For an incomplete one, the spooled output is uploaded and
// the attempt stays partial, since its exit is unknown. Recover returns the number of
// uploaded spools. A spool that could not be uploaded, because the context ended or a
// replica rejected it, is kept and reported in the error; the others are still uploaded.
func Recover(ctx context.Context, opt Options) (count int, err error) {
	opt.setDefaults()
	if len(opt.Keepers) == 0 {
		return 0, errors.New("taskrunner: no replica address given")
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
		if s.task.Command == nil { // the process ended before it wrote the task
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
			errs = append(errs, fmt.Errorf("taskrunner: spool %s: %w", e.Name(), err))
			continue
		}
		count++
		opt.Log.Info("uploaded spool of an earlier process", "job", s.task.Claim.Job, "task", s.task.Claim.Task, "attempt", s.task.Claim.Number, "partial", partial)
	}
	return count, errors.Join(errs...)
}
