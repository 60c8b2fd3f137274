package testbed

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/settings"
)

// configWithCounter is a configuration with a counter at peer, which may take long to answer.
func configWithCounter(counter *Peer, servers ...*Peer) *settings.Config {
	config := Config(servers...)
	config.Counter = counter.Address
	config.Settings.CounterTimeout, config.Settings.MaxActualUnits = 4e9, 64
	return config
}

// readTallyAmount reads one call on the counter's line and gives its amount.
func (c *Conn) readTallyAmount(t testing.TB) float64 {
	t.Helper()
	_, amount := c.readTally(t)
	return amount
}

// readTally reads one call on the counter's line and gives its name, which changes with each window, and its amount.
func (c *Conn) readTally(t testing.TB) (name string, amount float64) {
	t.Helper()
	words := strings.Fields(c.Line(t))
	require.Len(t, words, 4)
	amount, err := strconv.ParseFloat(words[2], 64)
	require.NoError(t, err)
	return words[1], amount
}

// requireRunning fails the test if the limiter ends sooner than a process may that owes nothing, and a little.
func (r *Rig) requireRunning(t *testing.T, since time.Time) {
	t.Helper()
	select {
	case <-r.Done():
		t.Fatalf("it ended after %v and owed something", time.Since(since))
	case <-time.After(time.Until(since.Add(900 * time.Millisecond))):
	}
}

// TestReservationsSettledBeforeExit: what a request has reserved is settled, or given back, before the process ends, in each state
// in which SIGTERM may find the request, whether its client has gone or not.
func TestReservationsSettledBeforeExit(t *testing.T) {
	for _, clientGone := range []bool{false, true} {
		for _, phase := range []string{"reserving", "dialling", "sent"} {
			t.Run(fmt.Sprintf("%s, client gone %v", phase, clientGone), func(t *testing.T) {
				counter, server := Listen(t), Listen(t)
				if phase == "dialling" {
					server = Full(t)
				}
				config := configWithCounter(counter, server)
				config.Settings.DialTimeout = 12e8 // the dial lasts beyond the end of a process that owes nothing
				r := Start(t, config)
				t.Parallel() // the start sets what all share
				counterConn, client := counter.Accept(t), r.Dial(t)
				client.Say(t, Request("id", "read", 4000))
				reserved := counterConn.readTallyAmount(t)
				require.Positive(t, reserved)
				var c *Conn
				if phase != "reserving" {
					counterConn.Say(t, "ok 1\r\n")
				}
				if phase == "sent" {
					c = server.Accept(t)
					c.Command(t)
				}
				stopped := time.Now()
				r.Stop()
				if clientGone {
					require.NoError(t, client.TCP.Close())
				}
				r.requireRunning(t, stopped)
				if phase == "reserving" {
					counterConn.Say(t, "ok 1\r\n")
				}
				if !clientGone && phase == "reserving" {
					c = server.Accept(t)
					c.Command(t)
				}
				if c != nil {
					c.Say(t, "*3\r\n$5\r\nvalue\r\n$6\r\ncost=3\r\n$-1\r\n")
					require.InDelta(t, 2, counterConn.readTallyAmount(t)/reserved, 1e-6, "the true units, less those reserved")
				} else { // no server got it: all of it goes back
					require.InDelta(t, -1, counterConn.readTallyAmount(t)/reserved, 1e-6)
				}
				if !clientGone && c != nil {
					require.Equal(t, "$value", client.Answer(t))
				} else if !clientGone {
					require.Contains(t, client.Answer(t), "-BUSY")
				}
				select { // the counter may not have it yet
				case <-r.Done():
					t.Fatal("it ended before the counter had answered")
				case <-time.After(50 * time.Millisecond):
				}
				counterConn.Say(t, "ok 1\r\n")
				r.WaitDone(t, Patience)
			})
		}
	}
}

// TestExitDeadline: SIGKILL may come 3.7 s after SIGTERM. By then the process has ended, whatever clients do that owe it
// nothing.
func TestExitDeadline(t *testing.T) {
	// floodUnread is a client whose machine takes few bytes, with so many answers of 23 bytes that it does not read.
	floodUnread := func(t *testing.T, r *Rig, answers int) {
		small := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(
				func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1) },
			)
		}}
		c, err := small.Dial("tcp", r.Address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = io.WriteString(c, strings.Repeat("*1\r\n$4\r\nECHO\r\n", answers))
		require.NoError(t, err)
		barrier := r.Dial(t) // these are read by then
		barrier.Say(t, "*1\r\n$4\r\nPING\r\n")
		_ = barrier.Answer(t)
	}
	// repeat does something at intervals until the limiter has ended.
	repeat := func(r *Rig, action func() error) {
		go func() {
			for tick := time.NewTicker(60 * time.Millisecond); ; {
				select {
				case <-r.Done():
					return
				case <-tick.C:
					if action() != nil {
						return
					}
				}
			}
		}()
	}
	for name, load := range map[string]func(t *testing.T, r *Rig, server *Peer){
		"one reads nothing":                 func(t *testing.T, r *Rig, _ *Peer) { floodUnread(t, r, 120e3) },
		"one reads nothing, the kernel has": func(t *testing.T, r *Rig, _ *Peer) { floodUnread(t, r, 1e3) },
		"one always has half a command": func(t *testing.T, r *Rig, server *Peer) {
			client := r.Dial(t)
			client.Say(t, Request("id", "read", 2000))
			c := server.Accept(t)
			c.Command(t)
			c.Serve(t, "v")
			require.Equal(t, "$v", client.Answer(t))
			client.Say(t, "*1\r\n")
			repeat(r, func() error {
				_, err := client.TCP.Write([]byte("$4\r\nPING\r\n*1\r\n"))
				return err
			})
		},
		"they come and rest": func(t *testing.T, r *Rig, _ *Peer) {
			repeat(r, func() error {
				c, err := net.Dial("tcp", r.Address)
				if err == nil {
					t.Cleanup(func() { _ = c.Close() })
				}
				return err
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := Listen(t)
			r := Start(t, Config(server))
			t.Parallel()
			load(t, r, server)
			r.Stop()
			r.WaitDone(t, 4200*time.Millisecond) // 3.5 s, and what a crowded machine takes
		})
	}
}

// TestClientsDuringShutdown: a client that rests reads an end in order, and nothing that it sends behind that is sent on;
// one that sends again at once has each answer and then the end.
func TestClientsDuringShutdown(t *testing.T) {
	server := Listen(t)
	r := Start(t, Config(server))
	idle, active := r.Dial(t), r.Dial(t)
	active.Say(t, Request("a0", "write", 3000))
	c := server.Accept(t)
	require.Equal(t, "a0", c.Command(t)[2])
	r.Stop()
	_, err := idle.Rest(t)
	require.NoError(t, err)
	idle.Say(t, Request("r0", "write", 3000))
	active.Say(t, Request("a1", "write", 3000))
	server.None(t, 20*time.Millisecond)
	c.Serve(t, "value")
	require.Equal(t, "$value", active.Answer(t))
	require.Contains(t, active.Answer(t), "-BUSY", "a request on a connection that is to end")
	_, err = active.Rest(t)
	require.NoError(t, err)
	active.Say(t, Request("a2", "write", 3000)) // it has not been told that nobody reads
	r.WaitDone(t, 2*time.Second)
	server.None(t, 10*time.Millisecond)
	c.Quiet(t, 10*time.Millisecond) // nothing more was sent on
}
