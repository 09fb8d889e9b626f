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

// maxListed is the most machines in one page of the cloud's list.
const maxListed = 500

// cloud is a stand-in for the cloud whose machines are all up from the beginning. It
// rents no more and takes back what is returned.
type cloud struct {
	types  []protocol.MachineType
	remove func(names []string) // takes machines away and waits until they are
	server *http.Server
	addr   string

	mu       sync.Mutex
	hosts    []protocol.Host // by name
	began    time.Time
	listed   int // pages
	returned int // machines
	refused  int // requests to rent
}

func newCloud(types []protocol.MachineType, hosts []protocol.Host, remove func([]string)) (*cloud, error) {
	c := &cloud{types: types, hosts: hosts, remove: remove, began: time.Now()}
	slices.SortFunc(c.hosts, func(a, b protocol.Host) int { return strings.Compare(a.UID, b.UID) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, protocol.Catalog{Types: c.types})
	})
	mux.HandleFunc("POST /hosts", c.rent)
	mux.HandleFunc("POST /hosts/return", c.giveBack)
	mux.HandleFunc("GET /hosts", c.list)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c.addr, c.server = l.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = c.server.Serve(l) }() // ends with close
	return c, nil
}

func (c *cloud) close() { _ = c.server.Close() }

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(protocol.Encode(body)) // the other side counts it as unanswered if it fails
}

func (c *cloud) rent(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.refused++
	c.mu.Unlock()
	answer(w, http.StatusServiceUnavailable, protocol.Error{Error: "no capacity"})
}

func (c *cloud) giveBack(w http.ResponseWriter, r *http.Request) {
	var names protocol.MachineNames
	if json.NewDecoder(r.Body).Decode(&names) != nil || len(names.Machines) > 100 {
		answer(w, http.StatusBadRequest, protocol.Error{Error: "malformed"})
		return
	}
	c.mu.Lock()
	before := len(c.hosts)
	c.hosts = slices.DeleteFunc(c.hosts, func(h protocol.Host) bool { return slices.Contains(names.Machines, h.UID) })
	c.returned += before - len(c.hosts)
	c.mu.Unlock()
	c.remove(names.Machines)
	answer(w, http.StatusOK, struct{}{})
}

func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed++
	from, found := slices.BinarySearchFunc(c.hosts, after, func(h protocol.Host, name string) int { return strings.Compare(h.UID, name) })
	if found {
		from++
	}
	to := min(from+maxListed, len(c.hosts))
	page := protocol.HostList{Hosts: slices.Clone(c.hosts[from:to]), More: to < len(c.hosts)}
	for i := range page.Hosts {
		page.Hosts[i].AgeSeconds = time.Since(c.began).Seconds()
	}
	answer(w, http.StatusOK, page)
}
