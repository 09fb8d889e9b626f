package controller

import (
	"context"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// Commands that can't wait for an agent's next heartbeat are sent by a request, one at a time for each agent.

const (
	commandTimeout     = 3 * time.Second
	maxCommandResponse = 1 << 20 // bytes
)

// commandSender sends commands to one agent over one ordered connection, in a goroutine of its own.
type commandSender struct {
	machine string
	signal  chan struct{}     // closed when the machine is gone or has another home
	conn    *httpx.ClientConn // used by the goroutine alone
}

// commandRequest is a request that is under way.
type commandRequest struct {
	agent    *agents.Agent
	commands []protocol.Command
	addr     string
	body     []byte
}

// wakeCommandSender has a machine's commands sent, by a new sender if there is none.
func (n *Node) wakeCommandSender(machine string) {
	s := n.commandSenders[machine]
	if s == nil {
		s = &commandSender{machine: machine, signal: make(chan struct{}, 1)}
		n.commandSenders[machine] = s
		n.group.Go(func() error {
			n.sendCommands(n.ctx, s)
			return nil
		})
	}
	select {
	case s.signal <- struct{}{}:
	default:
	}
}

// sendCommands sends a machine's commands whenever it is woken, until its sender is closed.
func (n *Node) sendCommands(ctx context.Context, s *commandSender) {
	defer s.disconnect()
	for {
		select {
		case <-ctx.Done():
			return
		case _, ok := <-s.signal:
			if !ok {
				return
			}
		}
		for n.sendCommandsOnce(ctx, s) {
		}
	}
}

// sendCommandsOnce sends the commands that are due. It says whether to look again at once.
func (n *Node) sendCommandsOnce(ctx context.Context, s *commandSender) (again bool) {
	r := n.takeDueCommands(s.machine, time.Now())
	if r == nil {
		return false
	}
	s.connect(r.addr)
	resp, left, err := s.conn.Do(ctx, "POST", protocol.PathCommands, r.body, commandTimeout)
	return n.finishCommands(s.machine, r, resp, left, err)
}

// takeDueCommands takes what is to be sent to an agent now. It is nil if nothing is, or this controller may not act, or
// knows too little of cancellations to start anything.
func (n *Node) takeDueCommands(machine string, now time.Time) *commandRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.agents.Get(machine)
	if a == nil {
		return nil
	}
	n.prepareCommands(a, now)
	if !a.ShouldSend() || !n.entitled(now) || a.HasQueuedStart() && !n.cancelWatermark.MayRenew(now, time.Time{}) {
		return nil
	}
	commands := a.TakeForRequest()
	body := protocol.DirectCommands{FencingToken: n.leadership.Term(), Incarnation: a.Heartbeat.Incarnation, Commands: commands}
	return &commandRequest{agent: a, commands: commands, addr: a.Heartbeat.Addr, body: protocol.Encode(body)}
}

// finishCommands takes in an agent's response, or that there was none; left says that the request may have reached it.
func (n *Node) finishCommands(machine string, r *commandRequest, resp *httpx.Response, left bool, err error) bool {
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var h protocol.Heartbeat
	answered := err == nil && (resp.Status == 200 || resp.Status == 409) &&
		protocol.Decode(resp.Body, &h) == nil && h.Machine == machine
	if answered && n.agents.Get(machine) == r.agent {
		n.applyResponse(&h, now)
	}
	if !answered {
		n.log.Info("commands not answered", "machine", machine, "commands", len(r.commands), "err", err)
	}
	r.agent.FinishRequest(r.commands, answered, left && (err != nil || resp.Status == 200))
	n.publishStatus(machine)
	n.sendChangedStatuses()
	return answered
}

// connect makes sure that there is a link to an address.
func (s *commandSender) connect(addr string) {
	if s.conn != nil && s.conn.Addr() == addr {
		return
	}
	s.disconnect()
	s.conn = httpx.NewClientConn(addr, maxCommandResponse)
}

func (s *commandSender) disconnect() {
	if s.conn != nil {
		s.conn.Close()
	}
}
