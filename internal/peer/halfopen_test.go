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

// TestHalfOpenDetector: only a connection that has stood, and whose peer has been heard without a pause, for the whole time
// without any progress is half-open.
func TestHalfOpenDetector(t *testing.T) {
	const every = 500 * time.Millisecond
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		received func(now time.Duration) uint64
		heard    func(now time.Duration) bool
		up       time.Duration // when a new connection comes up, beside the one at the start
		want     time.Duration // when it is first found to be half-open; 0: never
	}{
		{"all arrives", func(now time.Duration) uint64 { return uint64(now) }, nil, 0, 0},
		{"nothing ever arrives", func(time.Duration) uint64 { return 0 }, nil, 0, stallTimeout},
		{"what arrives ends", func(now time.Duration) uint64 { return uint64(min(now, 4*time.Second)) }, nil, 0, 4*time.Second + stallTimeout},
		{"a new connection has its time", func(time.Duration) uint64 { return 0 }, nil, 10 * time.Second, 10*time.Second + stallTimeout},
		{"progress within the time", func(now time.Duration) uint64 { return uint64(now / (stallTimeout - every)) }, nil, 0, 0},
		{"the peer is silent now and then", func(time.Duration) uint64 { return 0 }, func(now time.Duration) bool { return now%(10*time.Second) < 7*time.Second }, 0, 0},
		{"a cut both ways ends", func(now time.Duration) uint64 { return uint64(min(now, time.Second)) },
			func(now time.Duration) bool { return now < time.Second || now > 30*time.Second }, 0, 30*time.Second + every + stallTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var d HalfOpenDetector
			d.Connected(start)
			found := time.Duration(0)
			for now := time.Duration(0); now < time.Minute && found == 0; now += every {
				if test.up > 0 && now == test.up {
					d.Connected(start.Add(now))
				}
				if (test.heard == nil || test.heard(now)) && d.StatusReceived(start.Add(now), test.received(now)) {
					found = now
				}
			}
			if found != test.want {
				t.Errorf("half-open after %s, want %s", found, test.want)
			}
		})
	}
}

// TestHalfOpenIsReportedOnce: a connection that was reset has the whole time again.
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
		t.Errorf("%d resets within twice the time, want 2", resets)
	}
}

// linkEvents counts how often a link came up.
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

// TestResetRedials: a connection that nobody reads is replaced, and what is sent from then on arrives.
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
	for !links.Send("b", "status", 1) { // until the first connection counts as up
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
		t.Errorf("up %d times", events.up)
	}
}
