package sockets

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/choice"
	"ospreycroft/internal/lab/ports"
	"ospreycroft/internal/limiter"
	"ospreycroft/internal/resp"
	"ospreycroft/internal/settings"
)

// testTimeout bounds how long a test waits for something to happen.
const testTimeout = 5 * time.Second

// nbioStartupTime is how long nbio's goroutines may take to start.
const nbioStartupTime = 20 * time.Millisecond

// listen returns a Sockets for at most this many clients, and its address.
func listen(t *testing.T, clients int) (*Sockets, string) { return listenWithLimit(t, clients, 256) }

// listenWithLimit is listen with a number of file descriptors to pass to Listen.
func listenWithLimit(t *testing.T, clients, descriptors int) (*Sockets, string) {
	t.Helper()
	port, err := ports.Reserve()
	require.NoError(t, err)
	t.Cleanup(port.Close)
	address := port.Address()
	s, err := Listen(address, clients, descriptors)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		time.Sleep(nbioStartupTime) // an engine misses a stop before its goroutines run
		s.engine.Stop()
	})
	return s, address
}

// nextEvent waits for the next event and returns it with its data.
func nextEvent(t *testing.T, s *Sockets) (queuedEvent, string) {
	t.Helper()
	for len(s.current.events) == 0 {
		select {
		case <-s.wakeups:
			s.nextBatch()
			s.data = s.current.bytes
		case <-time.After(testTimeout):
			t.Fatal("no event")
		}
	}
	e := s.current.events[0]
	s.current.events = s.current.events[1:]
	data := make([]byte, e.size)
	s.Read(data)
	s.data = s.data[e.size:]
	return e, string(data)
}

// expectEvent checks the next event's kind and connection. It skips events of connections with lower IDs.
func expectEvent(t *testing.T, s *Sockets, kind eventKind, id limiter.ConnID) queuedEvent {
	t.Helper()
	e, _ := nextEvent(t, s)
	for e.connID < id { // an earlier connection, already closed
		e, _ = nextEvent(t, s)
	}
	if e.kind != kind || e.connID != id {
		t.Fatalf("event %+v, want kind %d on %d", e, kind, id)
	}
	return e
}

// TestDial checks the events and the byte counts of dialed connections.
func TestDial(t *testing.T) {
	s, _ := listen(t, 1)
	server, err := net.Listen("tcp", "127.3.2.1:0") // an address that dialing 0.0.0.0 does not reach
	if err != nil {
		t.Fatal(err)
	}
	address := server.Addr().String()
	t.Run("established and closed by the server", func(t *testing.T) {
		id := s.Dial(address, int64(testTimeout))
		expectEvent(t, s, connected, id)
		s.Write(id, []byte("abc"))
		peer, err := server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		got := make([]byte, 3)
		if _, err := peer.Read(got); err != nil || string(got) != "abc" || s.Written(id) != 3 {
			t.Fatalf("read %q, error %v, written %d", got, err, s.Written(id))
		}
		// Data sent before the close is delivered before it.
		if _, err := peer.Write([]byte("last")); err != nil {
			t.Fatal(err)
		}
		_ = peer.Close()
		if e, text := nextEvent(t, s); e.kind != dataReceived || text != "last" {
			t.Fatalf("event %+v with %q", e, text)
		}
		expectEvent(t, s, connClosed, id)
	})
	t.Run("reset by the server", func(t *testing.T) {
		id := s.Dial(address, int64(testTimeout))
		expectEvent(t, s, connected, id)
		peer, err := server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		_ = peer.(*net.TCPConn).SetLinger(0)
		_ = peer.Close()
		if e := expectEvent(t, s, connClosed, id); e.reason != limiter.PeerReset && e.reason != limiter.PeerClosed {
			t.Fatalf("end %s", e.reason)
		}
	})
	t.Run("Close counts only bytes the kernel has taken", func(t *testing.T) {
		id := s.Dial(address, int64(testTimeout))
		expectEvent(t, s, connected, id)
		peer, err := server.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = peer.Close() }()
		text := make([]byte, 32<<20)
		s.Write(id, text)
		if written := s.Close(id); written == 0 || written >= int64(len(text)) {
			t.Fatalf("written %d of %d", written, len(text))
		}
	})
	t.Run("refused", func(t *testing.T) {
		_ = server.Close()
		id := s.Dial(address, int64(testTimeout))
		if e := expectEvent(t, s, connClosed, id); e.reason != limiter.ConnRefused {
			t.Fatalf("end %s", e.reason)
		}
	})
}

// TestClose: Close returns the number of bytes written, which the client reads before the end of the connection, and
// forgets the ID.
func TestClose(t *testing.T) {
	s, address := listen(t, 1)
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := nextEvent(t, s)
	s.Write(e.connID, []byte("answer"))
	if written := s.Close(e.connID); written != 6 || s.Written(e.connID) != 0 {
		t.Fatalf("written %d, then %d", written, s.Written(e.connID))
	}
	got := make([]byte, 9)
	if n, err := client.Read(got); err != nil || string(got[:n]) != "answer" {
		t.Fatalf("client read %q, error %v", got[:n], err)
	}
	if _, err := client.Read(got); err == nil {
		t.Fatal("the connection is still open")
	}
	expectEvent(t, s, connClosed, e.connID) // queued when the poller closes the descriptor
}

// TestAcceptLimit: connections beyond the limit must wait in the kernel's accept queue, because requests on connections
// that are accepted and closed would be lost. HasBacklog must report them, so that the process does not exit meanwhile
// and reset them.
func TestAcceptLimit(t *testing.T) {
	s, address := listen(t, 1)
	first, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	e, _ := nextEvent(t, s)
	second, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := second.Write([]byte("early")); err != nil {
		t.Fatal(err)
	}
	require.Eventually(t, s.HasBacklog, testTimeout, time.Millisecond, "no backlog reported")
	time.Sleep(50 * time.Millisecond)
	s.nextBatch()
	if len(s.current.events) > 0 {
		t.Fatalf("event %+v, want none", s.current.events[0])
	}
	_ = first.Close()
	var fromSecond []queuedEvent // the slot is released before the first one's close is queued
	for range 3 {
		got, text := nextEvent(t, s)
		if got.connID == e.connID {
			require.Equal(t, connClosed, got.kind)
			continue
		}
		require.Equal(t, "early"[:got.size], text)
		fromSecond = append(fromSecond, got)
	}
	require.Len(t, fromSecond, 2)
	require.Equal(t, clientAccepted, fromSecond[0].kind)
	require.Equal(t, queuedEvent{kind: dataReceived, connID: fromSecond[0].connID, client: true, size: 5}, fromSecond[1])
	e = fromSecond[0]
	s.Close(e.connID)
	expectEvent(t, s, connClosed, e.connID)
	require.Eventually(t, func() bool { return !s.HasBacklog() }, testTimeout, time.Millisecond, "backlog still reported")
}

// TestRun sends one request through a complete limiter and requests a shutdown while the server works on it. Run must
// return only after the client has got its response.
func TestRun(t *testing.T) {
	s, address := listen(t, 8)
	server := listenLoopback(t)
	class := &choice.Class{LatencyObjective: int64(testTimeout), Idempotency: choice.NonIdempotent}
	config := &settings.Config{Discovery: "127.0.0.1:1", Memory: 1 << 27, Sockets: 64, // no discovery service
		Known: fmt.Appendf(
			nil,
			`{"generation":1,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"in_service"}]}`,
			server.Addr(),
		),
		Settings: &settings.Settings{
			IdleClose: int64(testTimeout),
			Settings: &choice.Settings{Classes: map[string]*choice.Class{"c": class},
				Plans: map[string]*choice.Plan{
					"p": {},
				}, MaxRequestUnits: 8, Limiters: 1, MaxAttempts: 1, SlowStartWindow: 1,
				DialTimeout: int64(testTimeout), TimerResolution: 1e6},
		}}
	clock := func() int64 { return time.Now().UnixNano() }
	l, err := limiter.New(clock(), config, s)
	if err != nil {
		t.Fatal(err)
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		s.Run(clock, l, stop, nil)
		close(stopped)
	}()
	client, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	command := string(
		resp.AppendCommand(
			nil,
			[]byte("SVC.SUBMIT"),
			[]byte("000000000000000f"),
			[]byte("id"),
			[]byte("c=c,t=p,d=4000,units=1,spread=1,first=0"),
			[]byte(strings.Repeat("x", resp.MaxValueBytes)),
		),
	)
	if _, err := io.WriteString(client, command); err != nil {
		t.Fatal(err)
	}
	serverConn, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	got := make([]byte, len(command))
	_, err = io.ReadFull(serverConn, got)
	if err != nil || !strings.HasSuffix(string(got), command[len(command)-resp.MaxValueBytes:]) {
		t.Fatalf("the server read %d bytes, error %v", len(got), err)
	}
	close(stop)
	select {
	case <-stopped:
		t.Fatal("Run returned with a response outstanding")
	case <-time.After(700 * time.Millisecond): // longer than the limiter accepts clients during a shutdown
	}
	if _, err := io.WriteString(serverConn, "*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n"); err != nil {
		t.Fatal(err)
	}
	if answer, err := io.ReadAll(bufio.NewReader(client)); string(answer) != "$5\r\nvalue\r\n" {
		t.Fatalf("the client read %q, error %v", answer, err)
	}
	select {
	case <-stopped:
	case <-time.After(testTimeout):
		t.Fatal("Run has not returned")
	}
}

// TestCloseGracefully: after CloseGracefully a client must get everything that was written, even if it reads slowly and
// sends more data. That data must not be read, and must not cause a reset that discards the responses. The connection
// to a client that never closes its side is closed after the linger time.
func TestCloseGracefully(t *testing.T) {
	for _, clientCloses := range []bool{true, false} {
		t.Run(fmt.Sprintf("client closes its side: %v", clientCloses), func(t *testing.T) {
			s, address := listen(t, 1)
			client, err := net.Dial("tcp", address)
			require.NoError(t, err)
			e, _ := nextEvent(t, s)
			_ = client.(*net.TCPConn).SetReadBuffer(1 << 12)
			text := strings.Repeat("x", 1<<16) // more than the client's receive buffer, less than the limiter's send buffer
			s.Write(e.connID, []byte(text))
			require.True(t, s.Written(e.connID) >= 1<<16, "written %d", s.Written(e.connID))
			const linger = int64(50 * time.Millisecond)
			require.True(t, s.CloseGracefully(e.connID, linger, int64(testTimeout)))
			require.True(t, s.hasUnsent())
			_, err = io.WriteString(client, "late")
			require.NoError(t, err)
			time.Sleep(3 * time.Duration(linger)) // stays open while the client has not received everything
			got := make([]byte, len(text))
			_, err = io.ReadFull(client, got)
			require.NoError(t, err)
			if n, err := client.Read(got); clientCloses {
				require.Equal(t, io.EOF, err, "%q", got[:n])
				_ = client.Close()
			}
			require.Eventually(
				t,
				func() bool { return s.lingering == nil || s.lingering[0].isClosed() },
				testTimeout,
				time.Millisecond,
				"the connection is closed",
			)
			if e := expectEvent(t, s, connClosed, e.connID); e.size > 0 {
				t.Fatal("data sent after the close was read")
			}
		})
	}
}
