package testbed

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

// limitBuffers sets socket options by which the other side's kernel accepts only a part of 64 KiB before this side
// reads: small segments keep the peer's send buffer small, and the receive buffer of this side is smaller still.
func limitBuffers(_, _ string, c syscall.RawConn) error {
	var err error
	_ = c.Control(func(fd uintptr) {
		if err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536); err == nil {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10)
		}
	})
	return err
}

// listenLimitedBuffers is Listen with limitBuffers applied to accepted connections.
func listenLimitedBuffers(t testing.TB) *Peer {
	t.Helper()
	ln, err := (&net.ListenConfig{Control: limitBuffers}).Listen(context.Background(), "tcp", ReservePort(t).Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return &Peer{Address: ln.Addr().String(), ln: ln}
}

// maxSizeRequest is Request with the longest body that is allowed; class must not be read.
func maxSizeRequest(id, class string, deadlineMillis int) string {
	return strings.Replace(
		Request(id, class, deadlineMillis),
		"$4\r\nBODY\r\n",
		string(resp.AppendBulk(nil, []byte(strings.Repeat("x", resp.MaxValueBytes)))),
		1,
	)
}

// acceptFromEither returns the limiter's next connection to one of two peers, and the other peer.
func acceptFromEither(t testing.TB, a, b *Peer) (*Conn, *Peer) {
	t.Helper()
	for range int(Timeout / (2 * time.Millisecond)) {
		for i, p := range []*Peer{a, b} {
			_ = p.ln.(*net.TCPListener).SetDeadline(time.Now().Add(time.Millisecond))
			if c, err := p.ln.Accept(); err == nil {
				t.Cleanup(func() { _ = c.Close() })
				return &Conn{TCP: c.(*net.TCPConn), reader: bufio.NewReader(c)}, []*Peer{b, a}[i]
			}
		}
	}
	t.Fatal("no connection")
	return nil, nil
}

// TestEarlyAnswer checks that a server which answers after it got only a part of a request, as a server with too many
// connections does, gets no more of it. If the limiter sent the rest from its write queue, the request would run there
// as well as at the server of the next attempt.
func TestEarlyAnswer(t *testing.T) {
	for _, early := range []string{"-BUSY\r\n", "-ERR failed\r\n", ServedAnswer("early")} {
		t.Run(early[:4], func(t *testing.T) {
			a, b := listenLimitedBuffers(t), listenLimitedBuffers(t)
			r := Start(t, Config(a, b))
			client := r.Dial(t)
			client.Send(t, maxSizeRequest("id", "write", 3000))
			first, other := acceptFromEither(t, a, b)
			require.Equal(t, "*5", first.ReadLine(t))
			first.Send(t, early)
			second := other.Accept(t)
			require.Equal(t, "id", second.ReadCommand(t)[2])
			second.SendServed(t, "value")
			require.Equal(t, "$value", client.ReadAnswer(t))
			text, _ := first.ReadToEnd(t)
			require.Less(t, len(text), resp.MaxValueBytes, "the server has received the complete request")
		})
	}
}

// TestAttemptEnds combines each way in which an attempt can end with each class. A request that may have run is retried
// only where it is idempotent and its deduplication window, if any, has not ended. A request that cannot have run is
// always retried, and a complete answer is passed on whatever follows it.
func TestAttemptEnds(t *testing.T) {
	const (
		notRun     = iota // the request has not run
		mayHaveRun        // it may have run
		windowOver        // it may have run, and the deduplication window is over
		answered          // it has been answered
	)
	truncated := ServedAnswer("a truncated value")[:20]
	sends := func(text string) func(c *Conn) { return func(c *Conn) { _, _ = c.TCP.Write([]byte(text)) } }
	halfCloses := func(c *Conn) { _ = c.TCP.CloseWrite() }
	sequence := func(wait time.Duration, actions ...func(c *Conn)) func(c *Conn) {
		return func(c *Conn) {
			for i, action := range actions {
				if i > 0 {
					time.Sleep(wait)
				}
				action(c)
			}
		}
	}
	sendsSlowly := func(c *Conn) {
		for _, b := range []byte(ServedAnswer("a slowly sent value")) {
			if _, err := c.TCP.Write([]byte{b}); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	resets := (*Conn).Reset
	for _, tc := range []struct {
		name         string
		execution    int
		action       func(c *Conn)
		readsRequest bool // the server reads the complete request before action
	}{
		{"reset before the last byte", notRun, resets, false},
		{"half-close before the last byte", notRun, halfCloses, false},
		{"rejected", notRun, sends("-BUSY\r\n"), true},
		{"rejected, then reset", notRun, sequence(0, sends("-BUSY\r\n"), resets), true},
		{"partial rejection, then half-close", mayHaveRun, sequence(0, sends("-BUSY"), halfCloses), true},
		{"error", mayHaveRun, sends("-ERR failed\r\n"), true},
		{"reset", mayHaveRun, resets, true},
		{"half-close", mayHaveRun, halfCloses, true},
		{"partial answer, then half-close", mayHaveRun, sequence(0, sends(truncated), halfCloses), true},
		{"partial answer, then reset", mayHaveRun, sequence(0, sends(truncated), resets), true},
		{"partial answer, then late reset", mayHaveRun, sequence(150*time.Millisecond, sends(truncated), resets), true},
		{"partial answer, then silence", mayHaveRun, sends(truncated), true},
		{"one byte at a time", mayHaveRun, sendsSlowly, true},
		{"garbage", mayHaveRun, sends("x"), true},
		{"null value", mayHaveRun, sends("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), true},
		{"reset after the window", windowOver, sequence(60*time.Millisecond, func(*Conn) {}, resets), true},
		{"answer, then reset", answered, sequence(0, sends(ServedAnswer("first")), resets), true},
		{"answer, then half-close", answered, sequence(0, sends(ServedAnswer("first")), halfCloses), true},
		{"two answers", answered, sends(ServedAnswer("first") + ServedAnswer("second")), true},
	} {
		for _, class := range []string{"read", "write", "keyed"} {
			if !tc.readsRequest && class == "read" {
				continue // a read has no body, so it is too short for a partial write
			}
			t.Run(tc.name+"/"+class, func(t *testing.T) {
				one, two := Listen(t), Listen(t)
				if !tc.readsRequest {
					one, two = listenLimitedBuffers(t), listenLimitedBuffers(t)
				}
				config := Config(one, two)
				if tc.execution == windowOver {
					config.Settings.Classes["keyed"].DeduplicationWindow = 5e7
				}
				r := Start(t, config)
				client := r.Dial(t)
				request := Request
				if !tc.readsRequest {
					request = maxSizeRequest
				}
				client.Send(t, request("id", class, 3000))
				first, other := acceptFromEither(t, one, two)
				if tc.readsRequest {
					first.ReadCommand(t)
				} else {
					first.ReadLine(t)
				}
				done := make(chan struct{})
				go func() {
					defer close(done)
					tc.action(first)
				}()
				want := ""
				switch {
				case tc.execution == answered:
					want = "$first"
				case tc.execution != notRun && class == "write":
					want = "-ERR written off"
				case tc.execution == windowOver && class == "keyed":
					want = "-BUSY"
				default:
					second := other.Accept(t)
					require.Equal(t, "id", second.ReadCommand(t)[2])
					second.SendServed(t, "second")
					require.Equal(t, "$second", client.ReadAnswer(t))
					<-done
					return
				}
				require.True(t, strings.HasPrefix(client.ReadAnswer(t), want), want)
				other.ExpectNoConnection(t, 10*time.Millisecond)
				<-done
			})
		}
	}
}

// TestSlowReaderGetsAllAnswers checks that a client whose kernel accepts only a part of the data gets all of its
// answers, complete and in order, and then a graceful close, although the limiter is told to stop meanwhile.
func TestSlowReaderGetsAllAnswers(t *testing.T) {
	server := Listen(t)
	r := Start(t, Config(server))
	conn, err := (&net.Dialer{Control: limitBuffers}).Dial("tcp", r.Address)
	require.NoError(t, err)
	client := &Conn{TCP: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
	defer func() { _ = conn.Close() }()
	client.Send(t, Request("0", "write", 3000)+Request("1", "keyed", 3000)+Request("2", "read", 3000))
	var serverConns [3]*Conn
	for range serverConns {
		c := server.Accept(t)
		serverConns[c.ReadCommand(t)[2][0]-'0'] = c
	}
	value := func(i int) string { return strings.Repeat(string(rune('a'+i)), resp.MaxValueBytes) }
	for _, i := range []int{2, 0, 1} {
		serverConns[i].SendServed(t, value(i))
	}
	_, err = client.reader.Peek(1)
	require.NoError(t, err)
	r.Stop()
	select {
	case <-r.Done():
		t.Fatal("the limiter finished before it sent all answers")
	case <-time.After(800 * time.Millisecond): // longer than a stopping limiter accepts clients
	}
	for i := range serverConns {
		require.Equal(t, "$"+value(i), client.ReadAnswer(t))
	}
	rest, err := client.ReadToEnd(t)
	require.NoError(t, err)
	require.Empty(t, rest)
	_ = conn.Close()
	r.WaitDone(t, Timeout)
}

// TestPartialAnswerAtStop checks that a limiter which is told to stop after it received half an answer still waits for
// the outcome: the rest of the answer is passed on, and a reset fails the request.
func TestPartialAnswerAtStop(t *testing.T) {
	firstPart, secondPart := ServedAnswer("value")[:8], ServedAnswer("value")[8:]
	for want, action := range map[string]func(c *Conn){
		"$value":           func(c *Conn) { _, _ = c.TCP.Write([]byte(secondPart)) },
		"-ERR written off": (*Conn).Reset,
	} {
		server := Listen(t)
		r := Start(t, Config(server))
		client := r.Dial(t)
		client.Send(t, Request("id", "write", 3000))
		c := server.Accept(t)
		c.ReadCommand(t)
		c.Send(t, firstPart)
		r.Stop()
		time.Sleep(20 * time.Millisecond) // long enough for a limiter without open requests to close its connections
		action(c)
		require.Equal(t, want, client.ReadAnswer(t))
		_, err := client.ReadToEnd(t)
		require.NoError(t, err)
		_ = client.TCP.Close()
		r.WaitDone(t, Timeout)
	}
}

// TestServerUnreachable checks that requests of each class are rejected, not failed, if no connection to the only
// server can be established, since none of them can have run. The server refuses connections, or does not answer
// because its accept queue is full.
func TestServerUnreachable(t *testing.T) {
	for _, name := range []string{"refused", "silent"} {
		t.Run(name, func(t *testing.T) {
			server := Listen(t)
			if name == "refused" {
				server.Close()
			} else {
				server = ListenFull(t)
			}
			r := Start(t, Config(server))
			client := r.Dial(t)
			for _, class := range []string{"read", "write", "keyed"} {
				client.Send(t, Request("id-"+class, class, 3000))
				answer := client.ReadAnswer(t)
				require.True(t, strings.HasPrefix(answer, "-BUSY"), "%s: %s", class, answer)
			}
		})
	}
}

// TestCounterConnectionEnds checks that a total from the counter takes effect once its line is complete, however the
// connection ends after it, and not before. A customer whose total exceeds the quota is rejected; one for whom only a
// partial line arrived is served from the local share of the quota.
func TestCounterConnectionEnds(t *testing.T) {
	staysSilent := func(*Conn) {}
	halfCloses := func(c *Conn) { _ = c.TCP.CloseWrite() }
	for _, tc := range []struct {
		sends  string
		action func(c *Conn)
		want   string
	}{
		{"ok 99999999\r\n", (*Conn).Reset, "-BUSY"},
		{"ok 99999999\r\n", halfCloses, "-BUSY"},
		{"ok 99999999", (*Conn).Reset, "$value"},
		{"ok 99999999", halfCloses, "$value"},
		{"ok 99999999", staysSilent, "$value"},
	} {
		server, counter := Listen(t), Listen(t)
		config := Config(server)
		config.Counter, config.Settings.CounterTimeout = counter.Address, int64(100*time.Millisecond)
		r := Start(t, config)
		counterConn, client := counter.Accept(t), r.Dial(t)
		client.Send(t, Request("id", "write", 3000))
		require.Contains(t, counterConn.ReadLine(t), "tally ")
		counterConn.Send(t, tc.sends)
		tc.action(counterConn)
		if tc.want == "$value" {
			c := server.Accept(t)
			c.ReadCommand(t)
			c.SendServed(t, "value")
		}
		require.True(t, strings.HasPrefix(client.ReadAnswer(t), tc.want), "%q", tc.sends)
	}
}
