package simulation

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
)

// Host is a loopback address that no other region uses, of this process or of another one: a
// port that is free there now stays free while a process that had it starts again, and no
// process of another region answers in its place.
type Host struct {
	ip   string
	port int
}

// NewHost draws one.
func NewHost() *Host {
	return &Host{fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)), 10000 + rand.IntN(10000)}
}

// Listen gives a port of the host, another one at each call, to be listened on by a process
// that starts later. It is below those that the system gives to outgoing connections, which
// may come from the same address.
func (h *Host) Listen() (addr string, err error) {
	for range 1000 {
		h.port++
		addr = fmt.Sprintf("%s:%d", h.ip, h.port)
		if l, err := net.Listen("tcp4", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", errors.New("rehearse: no free port")
}
