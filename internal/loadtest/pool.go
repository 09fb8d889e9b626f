package loadtest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// PoolConfig configures an agent process. It is the first line of the process's input.
type PoolConfig struct {
	Seed             uint64   `json:"seed"`
	IP               string   `json:"ip"`    // loopback address that the agents listen on
	First            int      `json:"first"` // number of the first agent
	Count            int      `json:"count"`
	Zones            int      `json:"zones"`
	Names            []string `json:"names"` // of the controllers
	Addrs            []string `json:"addrs"` // of the controllers, in the same order
	HeartbeatSeconds float64  `json:"report_s"`
	LeaseSeconds     float64  `json:"lease_s"`
}

// PoolReady is the first line that an agent process writes, once its machines are up.
type PoolReady struct {
	Machines []protocol.Host `json:"machines"`
}

// PoolRequest is each further line of an agent process's input. The process exits at the end of its input.
type PoolRequest struct {
	Remove []string `json:"remove"` // machines to remove
}

// pool runs many simulated agents in one process.
type pool struct {
	names, addrs             []string
	heartbeatInterval, lease time.Duration
	recorder                 recorder

	byAddr map[string]*simulatedAgent // by the address that the agent listens on
	byName map[string]*simulatedAgent // by machine name
}

// RunAgentPool is the main function of an agent process. It reads its configuration and requests from in and writes
// batches of events to out, until in or the context ends.
func RunAgentPool(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	decoder := json.NewDecoder(lines)
	var c PoolConfig
	if err := decoder.Decode(&c); err != nil {
		return fmt.Errorf("loadtest: read the configuration of an agent process: %w", err)
	}
	p := &pool{names: c.Names, addrs: c.Addrs, heartbeatInterval: settings.Seconds(c.HeartbeatSeconds), lease: settings.Seconds(c.LeaseSeconds),
		byAddr: map[string]*simulatedAgent{}, byName: map[string]*simulatedAgent{}}
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute}
	defer server.Close()
	ready, err := p.listen(&c, server)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, h := range p.byName {
		go h.run(ctx)
	}
	stop, written := make(chan struct{}), make(chan error, 1)
	go func() { written <- p.recorder.writeBatches(out, stop) }()
	go p.handleRequests(decoder, cancel)
	<-ctx.Done()
	close(stop)
	return <-written
}

// listen creates the agents and starts to listen on an address for each.
func (p *pool) listen(c *PoolConfig, server *http.Server) (*PoolReady, error) {
	ready := &PoolReady{}
	for i := c.First; i < c.First+c.Count; i++ {
		l, err := net.Listen("tcp4", net.JoinHostPort(c.IP, "0"))
		if err != nil {
			return nil, err
		}
		a := &simulatedAgent{pool: p, name: machineName(i), zone: zoneName(i % c.Zones), addr: l.Addr().String(), listener: l,
			rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), wake: make(chan struct{}, 1), incarnation: 1, lastAnswered: time.Now(), timers: map[string]*time.Timer{}}
		p.byAddr[a.addr], p.byName[a.name] = a, a
		ready.Machines = append(ready.Machines, protocol.Host{UID: a.name, Addr: a.addr, Type: machineType, Zone: a.zone, State: protocol.HostRunning})
		go func() { _ = server.Serve(l) }() // returns when the machine is removed or the server closes
	}
	return ready, nil
}

// handleRequests executes requests until the input ends.
func (p *pool) handleRequests(in *json.Decoder, cancel context.CancelFunc) {
	defer cancel()
	for {
		var o PoolRequest
		if err := in.Decode(&o); err != nil {
			return
		}
		for _, name := range o.Remove {
			if h := p.byName[name]; h != nil {
				h.remove()
			}
		}
	}
}

// serve dispatches an HTTP request to the agent that owns the local address.
func (p *pool) serve(w http.ResponseWriter, r *http.Request) {
	addr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		http.Error(w, "no address", http.StatusInternalServerError)
		return
	}
	h := p.byAddr[addr.String()]
	switch {
	case h == nil:
		http.NotFound(w, r)
	case r.URL.Path == protocol.PathCommands && r.Method == http.MethodPost:
		h.handleCommands(w, r)
	case r.URL.Path == protocol.PathInspect:
		h.handleInspect(w)
	default:
		http.NotFound(w, r)
	}
}

// errAgentProcess reports that an agent process exited unexpectedly.
var errAgentProcess = errors.New("loadtest: an agent process exited unexpectedly")
