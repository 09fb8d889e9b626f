package loadtest

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/protocol"
)

// maxListed bounds the machines in one page of the cloud's list.
const maxListed = 500

// cloud simulates the cloud's API with a fixed set of machines that run from the beginning. It refuses all requests for
// further machines and accepts returns.
type cloud struct {
	types  []protocol.MachineType
	remove func(names []string) // removes machines and waits until they are gone
	server *http.Server
	addr   string

	mu               sync.Mutex
	hosts            []protocol.Host // sorted by name
	began            time.Time
	pagesListed      int
	machinesReturned int
	rentsRefused     int
}

func newCloud(types []protocol.MachineType, hosts []protocol.Host, remove func([]string)) (*cloud, error) {
	c := &cloud{types: types, hosts: hosts, remove: remove, began: time.Now()}
	slices.SortFunc(c.hosts, func(a, b protocol.Host) int { return strings.Compare(a.UID, b.UID) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, protocol.Catalog{Types: c.types})
	})
	mux.HandleFunc("POST /hosts", c.handleRent)
	mux.HandleFunc("POST /hosts/return", c.handleReturn)
	mux.HandleFunc("GET /hosts", c.handleList)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr, c.server = l.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(l) }() // returns after close
	return c, nil
}

func (c *cloud) close() { _ = c.server.Close() }

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(body)) // if it fails, the client counts the request as unanswered
}

func (c *cloud) handleRent(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.rentsRefused++
	c.mu.Unlock()
	writeJSON(w, http.StatusServiceUnavailable, protocol.Error{Error: "no capacity"})
}

func (c *cloud) handleReturn(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if json.NewDecoder(r.Body).Decode(&names) != nil || len(names.Machines) > 100 {
		writeJSON(w, http.StatusBadRequest, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	before := len(c.hosts)
	c.hosts = slices.DeleteFunc(c.hosts, func(h protocol.Host) bool { return slices.Contains(names.Machines, h.UID) })
	c.machinesReturned += before - len(c.hosts)
	c.mu.Unlock()
	c.remove(names.Machines)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (c *cloud) handleList(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pagesListed++
	from, found := slices.BinarySearchFunc(c.hosts, after, func(h protocol.Host, name string) int { return strings.Compare(h.UID, name) })
	if found {
		from++
	}
	to := min(from+maxListed, len(c.hosts))
	page := protocol.HostList{Hosts: slices.Clone(c.hosts[from:to]), More: to < len(c.hosts)}
	for i := range page.Hosts {
		page.Hosts[i].AgeSeconds = time.Since(c.began).Seconds()
	}
	writeJSON(w, http.StatusOK, page)
}
