package rig

import (
	"bufio"
	"context"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/resp"
)

// narrow makes a socket so small that the other side's kernel takes but a part of 64 KiB before this one reads: small segments keep
// its send buffer small, and our receive buffer is smaller still.
func narrow(_, _ string, c syscall.RawConn) error {
	var err error
	_ = c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10)
		}
	})
	return err
}

// listenNarrow is Listen with narrow connections.
func listenNarrow(t testing.TB) *Peer {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: narrow}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return &Peer{Address: ln.Addr().String(), ln: ln}
}

// long is a request with the longest body.
func long(id, class string, left int) string {
	return strings.Replace(Request(id, class, left), "$4\r\nBODY\r\n", string(resp.AppendBulk(nil, []byte(strings.Repeat("x", resp.MostValue)))), 1)
}

// either is the limiter's next connection to one of two peers, and the other peer.
func either(t testing.TB, a, b *Peer) (*Conn, *Peer) {
	t.Helper()
	for range int(Patience / (2 * time.Millisecond)) {
		for i, p := range []*Peer{a, b} {
			_ = p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
			if c, err := p.ln.Accept(); err == nil {
				t.Cleanup(func() { _ = c.Close() })
				return &Conn{TCP: c.(*net.TCPConn), in: bufio.NewReader(c)}, []*Peer{b, a}[i]
			}
		}
	}
	t.Fatal("no connection")
	return nil, nil
}

// TestEarlyAnswer: a server answers a request of which it has but a part, as one with too many connections does. It gets no more of
// it: the rest would follow from our queue, and the request would run there as well as at the other server.
func TestEarlyAnswer(t *testing.T) {
	for _, early := range []string{"-BUSY\r\n", "-ERR failed\r\n", Served("early")} {
		t.Run(early[:4], func(t *testing.T) {
			a, b := listenNarrow(t), listenNarrow(t)
			r := Start(t, Config(a, b))
			client := r.Dial(t)
			client.Say(t, long("id", "write", 3000))
			first, other := either(t, a, b)
			require.Equal(t, "*5", first.Line(t))
			first.Say(t, early)
			second := other.Accept(t)
			require.Equal(t, "id", second.Command(t)[2])
			second.Serve(t, "value")
			require.Equal(t, "$value", client.Answer(t))
			text, _ := first.Rest(t)
			require.Less(t, len(text), resp.MostValue, "it has got the whole request")
		})
	}
}
