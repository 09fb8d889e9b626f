package artifactstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"topazhollow/internal/blob"
	"topazhollow/internal/wait"
)

// ErrPartial reports that the output read belongs to an attempt that its agent never sealed.
var ErrPartial = errors.New("artifactstore: partial attempt, its agent never sealed it")

// ErrUnsure reports that too few replicas answered, so that the result may be incomplete.
var ErrUnsure = errors.New("artifactstore: too few replicas answered, the result may be incomplete")

var errMalformedAnswer = errors.New("artifactstore: malformed response")

// Reader is a client that reads the output of tasks over HTTP.
type Reader struct {
	URL   string // of one replica, or of several separated by commas, which are tried in turn
	Token string
	HTTP  *http.Client // http.DefaultClient if nil
	Tries int          // attempts of a request that fails temporarily; 5 if 0
}

// get sends a GET request. While the server can't be reached or responds with status 429 or 503, get retries with
// jittered, growing pauses, each time at the next of the addresses.
func (r *Reader) get(ctx context.Context, path string, q url.Values) (*http.Response, error) {
	c, tries := r.HTTP, r.Tries
	if c == nil {
		c = http.DefaultClient
	}
	if tries <= 0 {
		tries = 5
	}
	var last error
	urls := strings.Split(r.URL, ",")
	for try := range max(tries, 2*len(urls)) {
		if try > 0 {
			pause := time.Duration(rand.Int64N(int64(200*time.Millisecond) << try))
			if !wait.For(ctx, pause) {
				return nil, errors.Join(ctx.Err(), last)
			}
		}
		req, err := http.NewRequestWithContext(ctx, "GET", strings.TrimSuffix(strings.TrimSpace(urls[try%len(urls)]), "/")+path+"?"+q.Encode(), nil)
		if err != nil {
			return nil, err
		}
		req.Header.Set("Authorization", "Bearer "+r.Token)
		resp, err := c.Do(req)
		if err != nil {
			last = err
			continue
		}
		if resp.StatusCode == http.StatusOK {
			return resp, nil
		}
		var a Answer
		_ = json.NewDecoder(io.LimitReader(resp.Body, 64<<10)).Decode(&a) // best effort: the status is reported anyway
		resp.Body.Close()
		last = fmt.Errorf("%s %s", resp.Status, a.Error)
		switch resp.StatusCode {
		case http.StatusNotFound:
			return nil, fmt.Errorf("%w: %w", ErrUnknown, last)
		case http.StatusUnauthorized, http.StatusForbidden:
			return nil, fmt.Errorf("%w: %w", ErrToken, last)
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			continue
		}
		return nil, last
	}
	return nil, last
}

// Query selects the part of a log to read.
type Query struct {
	Attempt uint64 // 0: the task's result, or the latest attempt if there is none
	Stream  string // stdout if empty
	From    uint64
	Since   time.Time
	Follow  bool
}

// Logs calls each for every line of a task's log, once and in order, and reconnects when a connection breaks. It
// returns the last line, whose State is the attempt's state.
func (r *Reader) Logs(ctx context.Context, job string, task int, q Query, each func(Line) error) (Line, error) {
	failures := 0
	for {
		v := url.Values{"from": {strconv.FormatUint(q.From, 10)}}
		if q.Attempt > 0 {
			v.Set("attempt", strconv.FormatUint(q.Attempt, 10))
		}
		if q.Stream != "" {
			v.Set("stream", q.Stream)
		}
		if !q.Since.IsZero() {
			v.Set("since", q.Since.UTC().Format(time.RFC3339))
		}
		if q.Follow {
			v.Set("follow", "1")
		}
		resp, err := r.get(ctx, fmt.Sprintf("/logs/%s/%d", url.PathEscape(job), task), v)
		if err != nil {
			return Line{}, err
		}
		before := q.From
		end, err := readLines(resp.Body, &q, each)
		resp.Body.Close()
		switch {
		case err != nil && !errors.Is(err, io.ErrUnexpectedEOF):
			return Line{}, err
		case err == nil && ((end.State != StateOpen && end.State != StateUnsure) || !q.Follow):
			return end, nil
		case ctx.Err() != nil:
			return end, ctx.Err()
		}
		if failures++; q.From > before || err == nil {
			failures = 0
		}
		if failures > 5 {
			return Line{}, err
		}
	}
}

// readLines calls each for the lines of one response and returns the last line, which has a State. It updates q, so
// that a repeated request continues after the lines delivered.
func readLines(body io.Reader, q *Query, each func(Line) error) (Line, error) {
	d := json.NewDecoder(body)
	for {
		var l Line
		if err := d.Decode(&l); err != nil {
			return Line{}, io.ErrUnexpectedEOF // the response ended before its last line
		}
		if l.State != "" {
			if q.Attempt == 0 {
				q.Attempt = l.Attempt // a follower stays with the attempt that it began with
			}
			return l, nil
		}
		if l.Record == nil || l.Number < q.From {
			continue
		}
		if err := each(l); err != nil {
			return Line{}, err
		}
		q.From = l.Number + 1
	}
}

// Manifest returns the manifest of an attempt of a task; number 0 selects the task's result, or the latest attempt if
// there is none. It is not verified, since clients don't have the store's key.
func (r *Reader) Manifest(ctx context.Context, job string, task int, number uint64) (m *Manifest, final bool, err error) {
	v := url.Values{}
	if number > 0 {
		v.Set("attempt", strconv.FormatUint(number, 10))
	}
	resp, err := r.get(ctx, fmt.Sprintf("/manifest/%s/%d", url.PathEscape(job), task), v)
	if err != nil {
		return nil, false, err
	}
	defer resp.Body.Close()
	var a Answer
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Sealed == nil {
		return nil, false, fmt.Errorf("%w: %v", errMalformedAnswer, err)
	}
	return a.Sealed, a.Final, nil
}

// Attempts lists a task's attempts. The list may be incomplete if the error is ErrUnsure.
func (r *Reader) Attempts(ctx context.Context, job string, task int) ([]AttemptSummary, error) {
	var a Answer
	if err := r.decode(ctx, fmt.Sprintf("/attempts/%s/%d", url.PathEscape(job), task), &a); err != nil {
		return nil, err
	}
	return checkList(a.List, a.Unsure)
}

// Tasks lists the tasks of a job of which the store has any attempt. The list may be incomplete if the error is
// ErrUnsure.
func (r *Reader) Tasks(ctx context.Context, job string) ([]int, error) {
	var t TaskList
	if err := r.decode(ctx, "/tasks/"+url.PathEscape(job), &t); err != nil {
		return nil, err
	}
	return checkList(t.Tasks, t.Unsure)
}

// decode sends a request and decodes the JSON response.
func (r *Reader) decode(ctx context.Context, path string, to any) error {
	resp, err := r.get(ctx, path, nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(to); err != nil {
		return fmt.Errorf("%w: %v", errMalformedAnswer, err)
	}
	return nil
}

// checkList returns a list with ErrUnsure if it may be incomplete, or ErrUnknown if it is empty.
func checkList[T any](list []T, unsure bool) ([]T, error) {
	switch {
	case unsure:
		return list, ErrUnsure
	case len(list) == 0:
		return nil, ErrUnknown
	}
	return list, nil
}

// Fetch copies a file of an attempt to a path. The path is created only once the content is complete and verified. An
// interrupted transfer resumes at the offset reached.
func (r *Reader) Fetch(ctx context.Context, m *Manifest, file FileInfo, to string, progress func(done, all int64)) error {
	if err := CheckPath(file.Path); err != nil {
		return err
	}
	d, err := blob.Parse(file.Digest)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(to), ".fetch-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name()) // no effect after the rename
	defer f.Close()
	done, sum := int64(0), blob.NewSum()
	for failures := 0; done < d.Size; {
		resp, err := r.get(ctx, fmt.Sprintf("/files/%s/%d/%s", url.PathEscape(m.Job), m.Task, EscapePath(file.Path)),
			url.Values{"attempt": {strconv.FormatUint(m.Number, 10)}, "offset": {strconv.FormatInt(done, 10)}})
		if err != nil {
			return err
		}
		n, err := io.Copy(io.MultiWriter(f, sum, progressWriter{&done, d.Size, progress}), io.LimitReader(resp.Body, d.Size-done))
		resp.Body.Close()
		if failures++; n > 0 {
			failures = 0
		}
		if failures > 5 {
			return fmt.Errorf("%s: transfer interrupted at %d of %d bytes: %w", file.Path, done, d.Size, errors.Join(err, io.ErrUnexpectedEOF))
		}
	}
	if !sum.Is(d) {
		return fmt.Errorf("%s: %w", file.Path, blob.ErrMismatch)
	}
	if err := f.Close(); err != nil {
		return err
	}
	return os.Rename(f.Name(), to)
}

// progressWriter counts the bytes written and reports the progress.
type progressWriter struct {
	done   *int64
	total  int64
	report func(done, all int64)
}

func (c progressWriter) Write(p []byte) (int, error) {
	*c.done += int64(len(p))
	if c.report != nil {
		c.report(*c.done, c.total)
	}
	return len(p), nil
}
