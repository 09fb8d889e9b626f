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

// routePeers adds what replicas send each other.
func (s *Server) routePeers(mux *http.ServeMux) {
	s.handleRight(mux, "POST /peer/call", maxPeer, artifactstore.Peer, s.peerCall)
	s.handleRight(mux, "GET /peer/records", 0, artifactstore.Peer, s.peerRecords)
	s.handleRight(mux, "GET /peer/blob", 0, artifactstore.Peer, s.peerBlob)
	s.handleRight(mux, "PUT /peer/blob", maxPeerBlob, artifactstore.Peer, s.takePeerBlob)
}

// peerBlob hands a blob to another replica.
func (s *Server) peerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	offset, err := number(r, "offset")
	if err != nil {
		return err
	}
	var content *blob.Reader
	if tenant := r.URL.Query().Get("tenant"); tenant != "" {
		content, err = s.Node.blobs.Open(tenant, d, int64(offset))
	} else { // to repair what went bad
		content, err = s.Node.blobs.OpenAny(d, int64(offset))
	}
	if err != nil {
		return err
	}
	defer content.Close()
	w.Header().Set("Content-Length", strconv.FormatInt(d.Size-int64(offset), 10))
	_, _ = io.Copy(w, content) // the length tells a reader that it was cut short
	return nil
}

// takePeerBlob takes a blob from another replica.
func (s *Server) takePeerBlob(w http.ResponseWriter, r *http.Request) error {
	d, err := blob.Parse(r.URL.Query().Get("blob"))
	if err != nil {
		return err
	}
	if err := s.Node.blobs.PutReader(r.Context(), r.URL.Query().Get("tenant"), d, r.Body); err != nil {
		return err
	}
	send(w, 200, artifactstore.Answer{Done: true})
	return nil
}

// peerCall answers another replica, if both go by the same list of replicas.
func (s *Server) peerCall(w http.ResponseWriter, r *http.Request) error {
	var c call
	if err := decode(r, &c); err != nil {
		return err
	}
	if mine := s.Node.opt.Members.digest(); c.Identity != mine && c.Op != "status" {
		return fmt.Errorf("%w: %s, not %.40q", ErrEpoch, mine, c.Identity)
	}
	a, err := s.Node.serve(r.Context(), &c)
	if err != nil {
		return err
	}
	send(w, 200, a)
	return nil
}

// peerRecords hands records to another replica, a JSON line each, and at the end a line
// that says whether more can come.
func (s *Server) peerRecords(w http.ResponseWriter, r *http.Request) error {
	q := r.URL.Query()
	task, err := strconv.Atoi(q.Get("task"))
	if err != nil {
		return fmt.Errorf("%w: task", errBody)
	}
	attempt, err := number(r, "attempt")
	if err != nil {
		return err
	}
	next, err := number(r, "from")
	if err != nil {
		return err
	}
	at := artifactstore.Attempt{Job: q.Get("job"), Task: task, Number: attempt}
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	for sent := false; ; {
		n := next
		var over bool
		next, over, err = s.Node.store.Read(at, q.Get("stream"), next, func(rec artifactstore.Record) error {
			line := artifactstore.Line{Number: n, Record: &rec}
			n++
			sent = true
			return enc.Encode(&line)
		})
		if err != nil {
			if sent || r.Context().Err() != nil {
				return nil // the missing last line tells
			}
			return err
		}
		if over || q.Get("follow") != "1" {
			state := "open"
			if over {
				state = ended
			}
			_ = enc.Encode(&artifactstore.Line{Number: next, State: state})
			return nil
		}
		if flush.Flush() != nil || s.Node.store.Wait(r.Context(), at, q.Get("stream"), next) != nil {
			return nil
		}
	}
}
