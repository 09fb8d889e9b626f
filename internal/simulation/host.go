package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Host is a random loopback address. It is drawn from millions, so that practically no other region uses it, neither in
// this process nor in another: a port of it stays free while the process that used it restarts, and no process of
// another region answers there instead.
type Host struct {
	ip   string
	port int
}

// NewHost draws a random loopback address and first port.
func NewHost() *Host {
	return &Host{fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)), 10000 + rand.IntN(10000)}
}

// Listen returns an address with a free port for a process that starts later, a different one at each call. The ports
// are below the system's ephemeral range, because outgoing connections may use the same address.
func (h *Host) Listen() (addr string, err error) {
	for range 1000 {
		h.port++
		addr = fmt.Sprintf("%s:%d", h.ip, h.port)
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("simulation: no free port")
}
