package taskrunner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/wait"
)

// rejection is an error response that a retry would not change.
type rejection struct {
	status int
	code   string
	reason string
	next   *uint64
	offset *int64
}

func (r *rejection) Error() string {
	return fmt.Sprintf("taskrunner: replica responded with %d %s", r.status, r.reason)
}

// call sends a request until a replica accepts or rejects it or the context ends. It tries
// the replicas in turn, with jittered exponential backoff.
func (s *spool) call(ctx context.Context, path string, body []byte) (*artifactstore.Answer, error) {
	for pause := s.opt.RetryDelay; ; pause = min(2*pause, 30*time.Second) {
		a, retryAfter, err := s.callOnce(ctx, s.opt.Keepers[s.replica], path, body)
		var rejected *rejection
		if err == nil || errors.As(err, &rejected) {
			return a, err
		}
		s.replica = (s.replica + 1) % len(s.opt.Keepers)
		if !wait.For(ctx, max(retryAfter, time.Duration(rand.Int64N(int64(pause))))) {
			return nil, errors.Join(ctx.Err(), err)
		}
	}
}

// callOnce sends a request to one replica. After a temporary failure, retryAfter is the delay
// that the replica asks for.
func (s *spool) callOnce(ctx context.Context, address, path string, body []byte) (a *artifactstore.Answer, retryAfter time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "POST", strings.TrimSuffix(address, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, 0, &rejection{reason: err.Error()}
	}
	req.Header.Set("Authorization", "Bearer "+s.task.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	a = &artifactstore.Answer{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(a); err != nil {
		return nil, 0, err
	}
	switch {
	case resp.StatusCode == 200:
		return a, 0, nil
	case resp.StatusCode == 429, resp.StatusCode >= 500: // overloaded, full or failing: may be temporary
		seconds, _ := strconv.Atoi(resp.Header.Get("Retry-After"))
		return nil, time.Duration(min(seconds, 60)) * time.Second, fmt.Errorf("%s %s", resp.Status, a.Error)
	}
	return nil, 0, &rejection{resp.StatusCode, a.Code, a.Error, a.Next, a.Offset}
}

// isSealed reports whether a replica rejected a request because the attempt is sealed. Then
// an earlier process ended before it removed the spool, and the replica has all of it.
func isSealed(err error) bool {
	var rejected *rejection
	return errors.As(err, &rejected) && rejected.code == "sealed"
}

// Limits of the records in one request. A batch exceeds maxBatchBytes by at most one record.
const (
	maxBatchRecords = 500
	maxBatchBytes   = 1 << 20
)

// upload uploads the spool to a replica and then removes it. Every step can be repeated
// after a restart, since the replica ignores what it has already.
func (s *spool) upload(ctx context.Context) (Result, error) {
	stop := context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer stop()
	var result Result
	if _, err := s.call(ctx, "/attempt", nil); err != nil && !isSealed(err) {
		return result, err
	}
	for {
		batch, more := s.nextBatch(ctx)
		if ctx.Err() != nil {
			return result, ctx.Err()
		}
		if !more {
			break
		}
		if err := s.sendBatch(ctx, batch); err != nil {
			return result, err
		}
	}
	if s.exit != nil {
		final, err := s.seal(ctx)
		if err != nil {
			return result, err
		}
		result.Final = final
	}
	s.opt.Step("remove spool")
	return result, os.RemoveAll(s.dir)
}

// nextBatch waits for unsent records and returns some of one stream. more is false when all records have been sent and
// the spool is complete.
func (s *spool) nextBatch(ctx context.Context) (batch []unsentRecord, more bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.unsent) == 0 && !s.complete && ctx.Err() == nil {
		s.changed.Wait()
	}
	size := 0
	for _, w := range s.unsent {
		if w.stream == s.unsent[0].stream && len(batch) < maxBatchRecords && size < maxBatchBytes {
			batch = append(batch, w)
			size += w.size
		}
	}
	return batch, len(batch) > 0 || !s.complete
}

// maxFileRetries is how often a file's upload is restarted after the replica has dropped it.
const maxFileRetries = 3

// seal uploads the files and seals the attempt; final reports whether the attempt is the task's result.
func (s *spool) seal(ctx context.Context) (final bool, err error) {
	end := artifactstore.End{Exit: *s.exit, Records: maps.Clone(s.nextNumber), Files: map[string]string{}}
	for _, path := range s.files {
		d, err := s.uploadFile(ctx, path)
		var rejected *rejection
		for try := 0; try < maxFileRetries && errors.As(err, &rejected) && rejected.status == http.StatusNotFound; try++ {
			d, err = s.uploadFile(ctx, path) // the replica dropped the upload, or this is another replica
		}
		if err != nil && !isSealed(err) {
			return false, err
		}
		end.Files[path] = d.String()
	}
	s.opt.Step("seal")
	body, err := json.Marshal(&end)
	if err != nil {
		return false, err
	}
	a, err := s.call(ctx, "/seal", body)
	if err != nil {
		return false, err
	}
	return a.Final, nil
}

// sendBatch sends records of one stream to a replica.
func (s *spool) sendBatch(ctx context.Context, batch []unsentRecord) error {
	var records []artifactstore.Record
	for _, w := range batch {
		b, err := s.log.Read(w.pos)
		if err != nil {
			return err
		}
		var e entry
		if err := json.Unmarshal(b, &e); err != nil {
			return err
		}
		records = append(records, *e.Record)
	}
	body, err := json.Marshal(records)
	if err != nil {
		return err
	}
	s.opt.Step("append")
	a, err := s.call(ctx, fmt.Sprintf("/streams/%s?first=%d", batch[0].stream, batch[0].number), body)
	if err != nil && !isSealed(err) {
		return err
	}
	if err == nil && a.Next != nil {
		s.opt.Acked(batch[0].stream, *a.Next)
	}
	s.removeSent(batch)
	return nil
}

// removeSent removes acknowledged records from the unsent ones.
func (s *spool) removeSent(batch []unsentRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := map[uint64]bool{}
	for _, w := range batch {
		sent[w.number] = true
		s.unsentBytes -= int64(w.size)
	}
	kept := s.unsent[:0]
	for _, w := range s.unsent {
		if w.stream != batch[0].stream || !sent[w.number] {
			kept = append(kept, w)
		}
	}
	s.unsent = kept
}

// chunkBytes is the size of the part of a file that one request uploads.
const chunkBytes = 1 << 20

// uploadFile uploads one file in chunks and attaches it to the attempt.
func (s *spool) uploadFile(ctx context.Context, path string) (d blob.Digest, err error) {
	root, err := os.OpenRoot(s.task.Dir)
	if err != nil {
		return d, err
	}
	defer root.Close()
	f, err := root.Open(filepath.FromSlash(path))
	if err != nil {
		return d, err
	}
	defer f.Close()
	sum := blob.NewSum()
	size, err := io.Copy(sum, f)
	if err != nil {
		return d, err
	}
	d = sum.Digest(size)
	s.opt.Step("upload")
	a, err := s.call(ctx, "/uploads?blob="+d.String(), nil)
	if err != nil {
		return d, err
	}
	buf := make([]byte, chunkBytes)
	for id := a.Upload; !a.Done; {
		offset := int64(0)
		if a.Offset != nil {
			offset = *a.Offset
		}
		n, err := f.ReadAt(buf[:min(chunkBytes, size-offset)], offset)
		if err != nil && err != io.EOF {
			return d, err
		}
		if a, err = s.call(ctx, fmt.Sprintf("/uploads/%s?offset=%d", id, offset), buf[:n]); err != nil {
			return d, err
		}
	}
	_, err = s.call(ctx, "/files/"+artifactstore.EscapePath(path)+"?blob="+d.String(), nil)
	return d, err
}
