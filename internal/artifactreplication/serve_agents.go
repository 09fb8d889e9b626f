package artifactreplication

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// routeAgents adds the routes by which agents write the output of their attempts.
func (s *Server) routeAgents(mux *http.ServeMux) {
	route := func(pattern string, f func(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error) {
		s.handle(mux, pattern, maxBodyBytes, func(w http.ResponseWriter, r *http.Request, g *artifactstore.Grant) error {
			c, err := g.Claim()
			if err != nil {
				return err
			}
			return f(w, r, c)
		})
	}
	route("POST /attempt", s.beginAttempt)
	route("POST /streams/{name}", s.append)
	route("POST /files/{path...}", s.attach)
	route("POST /seal", s.seal)
	route("POST /uploads", s.beginUpload)
	route("POST /uploads/{id}", s.uploadPiece)
}

// beginAttempt begins an attempt.
func (s *Server) beginAttempt(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	if err := s.Node.Begin(r.Context(), c); err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{})
	return nil
}

// attach adds an uploaded blob as a file of an attempt.
func (s *Server) attach(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	if err := s.Node.Attach(r.Context(), c, r.PathValue("path"), d); err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{})
	return nil
}

// seal ends an attempt with its agent's report.
func (s *Server) seal(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	var end artifactstore.End
	if err := decodeBody(r, &end); err != nil {
		return err
	}
	m, final, err := s.Node.Seal(r.Context(), c, end)
	if err != nil {
		return err
	}
	s.Node.opt.Log.Info("attempt sealed", "job", c.Job, "task", c.Task, "attempt", c.Number, "machine", c.Machine, "completed", m.Exit.Completed, "final", final)
	s.Node.metrics.seals.Inc()
	writeJSON(w, 200, artifactstore.Answer{Sealed: m, Final: final})
	return nil
}

// append adds records to a stream of an attempt.
func (s *Server) append(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	first, err := queryNumber(r, "first")
	if err != nil {
		return err
	}
	var records []artifactstore.Record
	if err := decodeBody(r, &records); err != nil {
		return err
	}
	next, err := s.Node.Append(r.Context(), c, r.PathValue("name"), first, records)
	if err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{Next: &next})
	return nil
}

// beginUpload begins the upload of a blob, unless the tenant owns the blob already.
func (s *Server) beginUpload(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	u, done, err := s.Node.blobs.Begin(c.Tenant, d)
	if err != nil {
		return err
	}
	if done {
		writeJSON(w, 200, artifactstore.Answer{Done: true})
		return nil
	}
	offset := u.Offset()
	writeJSON(w, 200, artifactstore.Answer{Upload: u.ID(), Offset: &offset})
	return nil
}

// uploadPiece writes a piece of a blob, and commits the upload once its content is complete.
func (s *Server) uploadPiece(w http.ResponseWriter, r *http.Request, c artifactstore.Claim) error {
	u, err := s.Node.blobs.Resume(c.Tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	at, err := queryNumber(r, "offset")
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return fmt.Errorf("%w: %v", errMalformedRequest, err)
	}
	offset := u.Offset()
	if len(body) > 0 {
		if err := u.Write(int64(at), body); err != nil {
			if errors.Is(err, blob.ErrOffset) {
				writeJSON(w, http.StatusConflict, artifactstore.Answer{Error: err.Error(), Offset: &offset})
				return nil
			}
			return err
		}
		offset = u.Offset()
	}
	if offset < u.Digest().Size {
		writeJSON(w, 200, artifactstore.Answer{Upload: u.ID(), Offset: &offset})
		return nil
	}
	if err := u.Commit(r.Context()); err != nil {
		return err
	}
	s.Node.metrics.uploaded(u.Digest().Size)
	writeJSON(w, 200, artifactstore.Answer{Done: true})
	return nil
}
