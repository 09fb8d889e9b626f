package peer

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"topazhollow/internal/goldentest"
)

// The golden file holds the data sent on a connection between controllers: the greeting and the messages. Controllers
// of different versions run at the same time during an upgrade, so the format may only be extended.

const connectionFile = "connection.jsonl"

type text struct {
	Text string `json:"text"`
}

// message holds the arguments of a call of PeerMessage.
type message struct {
	node        string
	incarnation uint64
	kind, body  string
}

// collector is a Handler that passes its calls to channels.
type collector struct {
	up       chan string
	messages chan message
}

func newCollector() *collector {
	return &collector{up: make(chan string, 9), messages: make(chan message, 9)}
}

func (c *collector) PeerUp(node string) { c.up <- node }
func (c *collector) PeerDown(string)    {}
func (c *collector) PeerMessage(node string, incarnation uint64, kind string, body []byte) {
	c.messages <- message{node, incarnation, kind, string(body)}
}

// listen opens a listener on a free port.
func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// TestGoldenSending checks what a controller sends to a peer.
func TestGoldenSending(t *testing.T) {
	l, c := listen(t), newCollector()
	links := New("estacion-1", 1767225600000001, map[string]string{"estacion-2": l.Addr().String()}, c, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = links.KeepConnected(ctx, "estacion-2")
	}()
	defer func() { cancel(); <-ended }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	<-c.up
	links.Send("estacion-2", "first", text{"<a> & \u00e9 \u2028\n"}) // characters that JSON encoders may escape
	links.SendEncoded("estacion-2", Encode("second", []int{1, 2}))
	links.Send("estacion-2", "third", nil)
	if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var got []byte
	reader := bufio.NewReader(conn)
	for range 4 { // the greeting and three messages
		line, err := reader.ReadBytes('\n')
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, line...)
	}
	goldentest.Bytes(t, connectionFile, got)
	if err := conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if more, err := reader.Read(make([]byte, 1)); more > 0 || !errors.As(err, &timeout) {
		t.Errorf("%d unexpected bytes, error %v", more, err)
	}
}

// TestGoldenReceiving checks that a controller decodes the golden connection into the same messages.
func TestGoldenReceiving(t *testing.T) {
	l := listen(t)
	addr := l.Addr().String()
	l.Close()
	c := newCollector()
	links := New("estacion-2", 1767225600000002, map[string]string{"estacion-1": "127.0.0.1:1"}, c, slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- links.Listen(ctx, addr) }()
	defer func() { cancel(); <-ended }()
	conn := dial(t, addr)
	if _, err := conn.Write(goldentest.Read(t, connectionFile)); err != nil {
		t.Fatal(err)
	}
	for _, want := range []message{
		{"estacion-1", 1767225600000001, "first", `{"text":"\u003ca\u003e \u0026 ` + "\u00e9" + ` \u2028\n"}`},
		{"estacion-1", 1767225600000001, "second", "[1,2]"},
		{"estacion-1", 1767225600000001, "third", "null"},
	} {
		select {
		case got := <-c.messages:
			if got != want {
				t.Errorf("got %+v, want %+v", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatalf("message %s did not arrive", want.kind)
		}
	}
}

// dial connects to an address, retrying until a listener is there.
func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		conn, err := net.Dial("tcp4", addr)
		if err == nil {
			t.Cleanup(func() { conn.Close() })
			return conn
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
}
