package artifactreplication

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// routePeers adds the routes for calls between replicas.
func (s *Server) routePeers(mux *http.ServeMux) {
	s.handleRight(mux, "POST /peer/call", maxPeerCallBytes, artifactstore.Peer, s.peerCall)
	s.handleRight(mux, "GET /peer/records", 0, artifactstore.Peer, s.peerRecords)
	s.handleRight(mux, "GET /peer/blob", 0, artifactstore.Peer, s.peerBlob)
	s.handleRight(mux, "PUT /peer/blob", maxPeerBlobBytes, artifactstore.Peer, s.putPeerBlob)
}

// peerBlob sends a blob to another replica.
func (s *Server) peerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	offset, err := queryNumber(r, "offset")
	if err != nil {
		return err
	}
	var content *blob.Reader
	if tenant := r.URL.Query().Get("tenant"); tenant != "" {
		content, err = s.Node.blobs.Open(tenant, d, int64(offset))
	} else { // to repair a corrupt copy, whose tenant the caller does not know
		content, err = s.Node.blobs.OpenAny(d, int64(offset))
	}
	if err != nil {
		return err
	}
	defer content.Close()
	w.Header().Set("Content-Length", strconv.FormatInt(d.Size-int64(offset), 10))
	_, _ = io.Copy(w, content) // the client detects a truncated body by its Content-Length
	return nil
}

// putPeerBlob stores a blob sent by another replica.
func (s *Server) putPeerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	if err := s.Node.blobs.PutReader(r.Context(), r.URL.Query().Get("tenant"), d, r.Body); err != nil {
		return err
	}
	writeJSON(w, 200, artifactstore.Answer{Done: true})
	return nil
}

// peerCall performs an operation for another replica. Except for the status, both replicas must use the same list
// of members.
func (s *Server) peerCall(w http.ResponseWriter, r *http.Request) error {
	var c peerRequest
	if err := decodeBody(r, &c); err != nil {
		return err
	}
	if ours := s.Node.opt.Members.digest(); c.Identity != ours && c.Op != "status" {
		return fmt.Errorf("%w: it has %s, the caller %.40q", ErrEpoch, ours, c.Identity)
	}
	a, err := s.Node.serve(r.Context(), &c)
	if err != nil {
		return err
	}
	writeJSON(w, 200, a)
	return nil
}

// peerRecords sends records to another replica, one JSON line each, and a last line that reports whether the
// attempt has ended.
func (s *Server) peerRecords(w http.ResponseWriter, r *http.Request) error {
	q := r.URL.Query()
	task, err := strconv.Atoi(q.Get("task"))
	if err != nil {
		return fmt.Errorf("%w: invalid task number", errMalformedRequest)
	}
	attempt, err := queryNumber(r, "attempt")
	if err != nil {
		return err
	}
	next, err := queryNumber(r, "from")
	if err != nil {
		return err
	}
	at := artifactstore.Attempt{Job: q.Get("job"), Task: task, Number: attempt}
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	for sent := false; ; {
		n := next
		var sealed bool
		next, sealed, err = s.Node.store.Read(at, q.Get("stream"), next, func(rec artifactstore.Record) error {
			line := artifactstore.Line{Number: n, Record: &rec}
			n++
			sent = true
			return enc.Encode(&line)
		})
		if err != nil {
			if sent || r.Context().Err() != nil {
				return nil // the client detects the error by the missing last line
			}
			return err
		}
		if sealed || q.Get("follow") != "1" {
			state := "open"
			if sealed {
				state = streamEnded
			}
			_ = enc.Encode(&artifactstore.Line{Number: next, State: state})
			return nil
		}
		if flush.Flush() != nil || s.Node.store.WaitForRecords(r.Context(), at, q.Get("stream"), next) != nil {
			return nil
		}
	}
}
