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

// PoolConfig is the first line that a process of agents reads.
type PoolConfig struct {
	Seed   uint64   `json:"seed"`
	IP     string   `json:"ip"`    // loopback address that the agents listen on
	First  int      `json:"first"` // number of the first agent
	Count  int      `json:"count"`
	Zones  int      `json:"zones"`
	Names  []string `json:"names"` // of the controllers
	Addrs  []string `json:"addrs"` // of the controllers, in the same order
	HeartbeatSeconds float64  `json:"report_s"`
	LeaseSeconds  float64  `json:"lease_s"`
}

// PoolReady is the first line that a process of agents writes: its machines are up.
type PoolReady struct {
	Machines []protocol.Host `json:"machines"`
}

// PoolOrder is each further line that it reads. The end of its input ends the process.
type PoolRequest struct {
	Remove []string `json:"remove"` // machines to take away
}

// pool is many simulated agents in one process.
type pool struct {
	names, addrs  []string
	report, lease time.Duration
	rec           recorder

	byAddr map[string]*simulatedAgent
	byName map[string]*simulatedAgent
}

// Work is the main function of a process of agents: it reads its configuration and orders
// from in, and writes what happens to out, until in or the context ends.
func RunAgentPool(ctx context.Context, in io.Reader, out io.Writer) error {
	lines := bufio.NewReader(in)
	decoder := json.NewDecoder(lines)
	var c PoolConfig
	if err := decoder.Decode(&c); err != nil {
		return fmt.Errorf("scale: configuration of a process of workers: %w", err)
	}
	p := &pool{names: c.Names, addrs: c.Addrs, report: settings.Seconds(c.HeartbeatSeconds), lease: settings.Seconds(c.LeaseSeconds),
		byAddr: map[string]*simulatedAgent{}, byName: map[string]*simulatedAgent{}}
	server := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute, IdleTimeout: 2 * time.Minute}
	defer server.Close()
	ready, err := p.open(&c, server)
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
	stop, told := make(chan struct{}), make(chan error, 1)
	go func() { told <- p.rec.tell(out, stop) }()
	go p.obey(decoder, cancel)
	<-ctx.Done()
	close(stop)
	return <-told
}

// open starts to listen for each agent.
func (p *pool) open(c *PoolConfig, server *http.Server) (*PoolReady, error) {
	ready := &PoolReady{}
	for i := c.First; i < c.First+c.Count; i++ {
		l, err := net.Listen("tcp4", net.JoinHostPort(c.IP, "0"))
		if err != nil {
			return nil, err
		}
		h := &simulatedAgent{pool: p, name: machineName(i), zone: zoneName(i % c.Zones), addr: l.Addr().String(), listener: l,
			rng: rand.New(rand.NewPCG(c.Seed, uint64(i))), wake: make(chan struct{}, 1), session: 1, alive: time.Now(), timers: map[string]*time.Timer{}}
		p.byAddr[h.addr], p.byName[h.name] = h, h
		ready.Machines = append(ready.Machines, protocol.Host{UID: h.name, Addr: h.addr, Type: machineType, Zone: h.zone, State: protocol.HostRunning})
		go func() { _ = server.Serve(l) }() // ends with the machine or the server
	}
	return ready, nil
}

// obey carries out orders until there are no more.
func (p *pool) obey(in *json.Decoder, cancel context.CancelFunc) {
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

// serve passes a request to the agent at whose address it arrived.
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
		h.do(w, r)
	case r.URL.Path == protocol.PathInspect:
		h.inspect(w)
	default:
		http.NotFound(w, r)
	}
}

// errPool says that a process of agents ended by itself.
var errPool = errors.New("scale: a process of workers ended")
