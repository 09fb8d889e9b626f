package controller

import (
	"context"
	"log/slog"
	"time"

	"topazhollow/internal/agents"
	"topazhollow/internal/httpx"
	"topazhollow/internal/protocol"
)

// Urgent commands are sent to an agent in a request of their own instead of the answer to its next heartbeat, one
// request at a time for each agent.

const (
	commandTimeout     = 3 * time.Second
	maxCommandResponse = 1 << 20 // bytes
)

// commandSender sends commands to one agent over one connection, in order, from a goroutine of its own.
type commandSender struct {
	machine string
	signal  chan struct{}     // closed when the machine is gone or has another home
	conn    *httpx.ClientConn // used by the goroutine alone
}

// commandRequest is a request with commands for one agent.
type commandRequest struct {
	agent    *agents.Agent
	commands []protocol.Command
	addr     string
	body     []byte
}

// wakeCommandSender makes a machine's command sender send its commands, and starts the sender if there is none.
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

// sendCommands sends a machine's commands whenever it is signalled, until the signal channel is closed.
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

// sendCommandsOnce sends the commands that are due, and returns whether to check for more at once.
func (n *Node) sendCommandsOnce(ctx context.Context, s *commandSender) (again bool) {
	r := n.takeDueCommands(s.machine, time.Now())
	if r == nil {
		return false
	}
	s.connect(r.addr)
	resp, sent, err := s.conn.Do(ctx, "POST", protocol.PathCommands, r.body, commandTimeout)
	return n.finishCommands(s.machine, r, resp, sent, err)
}

// takeDueCommands takes the commands to send to an agent now. It returns nil if there are none, if this controller may
// not act, or if a start is queued and this controller's knowledge of cancellations is too old to start anything.
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
	n.logCommands("request", machine, a.Heartbeat.Incarnation, commands)
	body := protocol.DirectCommands{FencingToken: n.leadership.Term(), Incarnation: a.Heartbeat.Incarnation, Commands: commands}
	return &commandRequest{agent: a, commands: commands, addr: a.Heartbeat.Addr, body: protocol.Encode(body)}
}

// logCommands logs the commands that are about to be sent to an agent under the present term.
func (n *Node) logCommands(by, machine string, incarnation uint64, commands []protocol.Command) {
	if !n.log.Enabled(context.Background(), slog.LevelDebug) {
		return
	}
	for _, c := range commands {
		n.log.Debug("command sent", "by", by, "machine", machine, "incarnation", incarnation, "op", c.Op, "task", c.Task,
			"attempt", c.Attempt, "term", n.leadership.Term())
	}
}

// finishCommands applies an agent's response, or records that there was none, and returns whether there was one. Sent
// is true if the request may have reached the agent; the agent may then execute the commands although it did not
// respond.
func (n *Node) finishCommands(machine string, r *commandRequest, resp *httpx.Response, sent bool, err error) bool {
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
		n.log.Info("no answer to commands", "machine", machine, "commands", len(r.commands), "err", err)
	}
	r.agent.FinishRequest(r.commands, answered, sent && (err != nil || resp.Status == 200))
	n.publishStatus(machine)
	n.sendChangedStatuses()
	return answered
}

// connect opens a connection to an address, unless the present connection is to that address.
func (s *commandSender) connect(addr string) {
	if s.conn != nil && s.conn.Addr() == addr {
		return
	}
	s.disconnect()
	s.conn = httpx.NewClientConn(addr, maxCommandResponse)
}

// disconnect closes the connection, if there is one.
func (s *commandSender) disconnect() {
	if s.conn != nil {
		s.conn.Close()
	}
}
