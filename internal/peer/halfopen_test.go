package peer

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"
)

// TestHalfOpenDetector: a connection is half-open only if it was open, and the peer's statuses arrived steadily, for
// the whole of stallTimeout without any progress.
func TestHalfOpenDetector(t *testing.T) {
	const interval = 500 * time.Millisecond // between statuses
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		received func(now time.Duration) uint64
		arrives  func(now time.Duration) bool // whether the peer's status arrives; nil: always
		up       time.Duration                // when a second connection is opened; 0: never
		want     time.Duration                // when the connection is first reported as half-open; 0: never
	}{
		{"everything is received", func(now time.Duration) uint64 { return uint64(now) }, nil, 0, 0},
		{"nothing is ever received", func(time.Duration) uint64 { return 0 }, nil, 0, stallTimeout},
		{"receiving stops", func(now time.Duration) uint64 { return uint64(min(now, 4*time.Second)) }, nil, 0, 4*time.Second + stallTimeout},
		{"the timeout starts again with a new connection", func(time.Duration) uint64 { return 0 }, nil, 10 * time.Second, 10*time.Second + stallTimeout},
		{"progress within the timeout", func(now time.Duration) uint64 { return uint64(now / (stallTimeout - interval)) }, nil, 0, 0},
		{"statuses arrive with gaps", func(time.Duration) uint64 { return 0 }, func(now time.Duration) bool { return now%(10*time.Second) < 7*time.Second }, 0, 0},
		{"a failure of both directions ends", func(now time.Duration) uint64 { return uint64(min(now, time.Second)) },
			func(now time.Duration) bool { return now < time.Second || now > 30*time.Second }, 0, 30*time.Second + interval + stallTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d HalfOpenDetector
			d.Connected(start)
			found := time.Duration(0)
			for now := time.Duration(0); now < time.Minute && found == 0; now += interval {
				if test.up > 0 && now == test.up {
					d.Connected(start.Add(now))
				}
				if (test.arrives == nil || test.arrives(now)) && d.StatusReceived(start.Add(now), test.received(now)) {
					found = now
				}
			}
			if found != test.want {
				t.Errorf("reported as half-open after %s, want %s", found, test.want)
			}
		})
	}
}

// TestHalfOpenIsReportedOnce: after a report the whole of stallTimeout must pass before the next one.
func TestHalfOpenIsReportedOnce(t *testing.T) {
	var d HalfOpenDetector
	start, resets := time.Unix(1000, 0), 0
	d.Connected(start)
	for now := time.Duration(0); now <= 2*stallTimeout; now += time.Second {
		if d.StatusReceived(start.Add(now), 7) {
			resets++
		}
	}
	if resets != 2 {
		t.Errorf("%d reports within twice stallTimeout, want 2", resets)
	}
}

// linkEvents is a Handler that counts calls of PeerUp.
type linkEvents struct {
	mu sync.Mutex
	up int
}

func (e *linkEvents) PeerUp(string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.up++
}
func (e *linkEvents) PeerDown(string)                            {}
func (e *linkEvents) PeerMessage(string, uint64, string, []byte) {}

// TestResetRedials: Reset replaces a connection that is not read, and messages sent after that arrive.
func TestResetRedials(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	events := &linkEvents{}
	links := New("a", 1, map[string]string{"b": listener.Addr().String()}, events, slog.New(slog.DiscardHandler))
	group.Go(func() { _ = links.KeepConnected(ctx, "b") })
	unread, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer unread.Close()
	for !links.Send("b", "status", 1) { // until the first connection is up
		time.Sleep(time.Millisecond)
	}
	links.Reset("b")
	second, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	for !links.Send("b", "status", 2) {
		time.Sleep(time.Millisecond)
	}
	lines := bufio.NewScanner(second)
	for _, want := range []string{`{"node":"a","incarnation":1,"conn":2}`, `{"kind":"status","body":2}`} {
		if !lines.Scan() || lines.Text() != want {
			t.Fatalf("read %q, want %q", lines.Text(), want)
		}
	}
	events.mu.Lock()
	defer events.mu.Unlock()
	if events.up != 2 {
		t.Errorf("PeerUp called %d times, want 2", events.up)
	}
}
