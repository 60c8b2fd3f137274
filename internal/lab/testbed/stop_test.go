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

// configWithCounter is Config with a counter, which may take 4 s to answer.
func configWithCounter(counter *Peer, servers ...*Peer) *settings.Config {
	config := Config(servers...)
	config.Counter = counter.Address
	config.Settings.CounterTimeout, config.Settings.MaxActualUnits = 4e9, 64
	return config
}

// readTallyAmount reads one tally line at the counter and returns its amount.
func (c *Conn) readTallyAmount(t testing.TB) float64 {
	t.Helper()
	_, amount := c.readTally(t)
	return amount
}

// readTally reads one tally line at the counter and returns its key, which changes with each counter window, and its
// amount.
func (c *Conn) readTally(t testing.TB) (name string, amount float64) {
	t.Helper()
	words := strings.Fields(c.ReadLine(t))
	require.Len(t, words, 4)
	amount, err := strconv.ParseFloat(words[2], 64)
	require.NoError(t, err)
	return words[1], amount
}

// requireRunning fails the test if the limiter ends within 900 ms of since, which is a little longer than a process
// without open work may take.
func (r *Rig) requireRunning(t *testing.T, since time.Time) {
	t.Helper()
	select {
	case <-r.Done():
		t.Fatalf("the limiter finished after %v with open work", time.Since(since))
	case <-time.After(time.Until(since.Add(900 * time.Millisecond))):
	}
}

// TestReservationsSettledBeforeExit checks that the units reserved for a request are settled or returned before the
// process ends, in each phase of the request in which SIGTERM can come, with and without the client still connected.
func TestReservationsSettledBeforeExit(t *testing.T) {
	for _, clientGone := range []bool{false, true} {
		for _, phase := range []string{"reserving", "dialling", "sent"} {
			t.Run(fmt.Sprintf("%s, client gone %v", phase, clientGone), func(t *testing.T) {
				counter, server := Listen(t), Listen(t)
				if phase == "dialling" {
					server = ListenFull(t)
				}
				config := configWithCounter(counter, server)
				config.Settings.DialTimeout = 12e8 // longer than a process without open work takes to end
				r := Start(t, config)
				t.Parallel() // after Start, which sets a package variable of nbio
				counterConn, client := counter.Accept(t), r.Dial(t)
				client.Send(t, Request("id", "read", 4000))
				reserved := counterConn.readTallyAmount(t)
				require.Positive(t, reserved)
				var c *Conn
				if phase != "reserving" {
					counterConn.Send(t, "ok 1\r\n")
				}
				if phase == "sent" {
					c = server.Accept(t)
					c.ReadCommand(t)
				}
				stopped := time.Now()
				r.Stop()
				if clientGone {
					require.NoError(t, client.TCP.Close())
				}
				r.requireRunning(t, stopped)
				if phase == "reserving" {
					counterConn.Send(t, "ok 1\r\n")
				}
				if !clientGone && phase == "reserving" {
					c = server.Accept(t)
					c.ReadCommand(t)
				}
				if c != nil {
					c.Send(t, "*3\r\n$5\r\nvalue\r\n$6\r\ncost=3\r\n$-1\r\n")
					require.InDelta(t, 2, counterConn.readTallyAmount(t)/reserved, 1e-6, "the actual units less the reserved ones")
				} else { // no server received the request, so all units are returned
					require.InDelta(t, -1, counterConn.readTallyAmount(t)/reserved, 1e-6)
				}
				if !clientGone && c != nil {
					require.Equal(t, "$value", client.ReadAnswer(t))
				} else if !clientGone {
					require.Contains(t, client.ReadAnswer(t), "-BUSY")
				}
				select { // the limiter has to wait for the counter's answer
				case <-r.Done():
					t.Fatal("the limiter finished before the counter answered")
				case <-time.After(50 * time.Millisecond):
				}
				counterConn.Send(t, "ok 1\r\n")
				r.WaitDone(t, Timeout)
			})
		}
	}
}

// TestExitDeadline checks that the process ends in time, since SIGKILL may come 3.7 s after SIGTERM, whatever clients
// without open requests do.
func TestExitDeadline(t *testing.T) {
	// floodUnread connects a client with a small receive buffer that causes the given number of answers, 23 bytes each,
	// and doesn't read them.
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
		barrier := r.Dial(t) // once it has an answer, the limiter has read the commands of c
		barrier.Send(t, "*1\r\n$4\r\nPING\r\n")
		_ = barrier.ReadAnswer(t)
	}
	// repeat runs action every 60 ms until it fails or the limiter has finished.
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
		"answers unread, in the limiter's buffer": func(t *testing.T, r *Rig, _ *Peer) { floodUnread(t, r, 120e3) },
		"answers unread, in the kernel's buffer":  func(t *testing.T, r *Rig, _ *Peer) { floodUnread(t, r, 1e3) },
		"partial command at all times": func(t *testing.T, r *Rig, server *Peer) {
			client := r.Dial(t)
			client.Send(t, Request("id", "read", 2000))
			c := server.Accept(t)
			c.ReadCommand(t)
			c.SendServed(t, "v")
			require.Equal(t, "$v", client.ReadAnswer(t))
			client.Send(t, "*1\r\n")
			repeat(r, func() error {
				_, err := client.TCP.Write([]byte("$4\r\nPING\r\n*1\r\n"))
				return err
			})
		},
		"new idle clients": func(t *testing.T, r *Rig, _ *Peer) {
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
			r.WaitDone(t, 4200*time.Millisecond) // 3.5 s and a margin for a loaded machine
		})
	}
}

// TestClientsDuringShutdown checks what clients get from a limiter that stops. The connection of an idle client is
// closed gracefully, and nothing that the client sends after that is forwarded. A client with an open request that
// sends another one gets an answer to each and then a graceful close.
func TestClientsDuringShutdown(t *testing.T) {
	server := Listen(t)
	r := Start(t, Config(server))
	idle, active := r.Dial(t), r.Dial(t)
	active.Send(t, Request("a0", "write", 3000))
	c := server.Accept(t)
	require.Equal(t, "a0", c.ReadCommand(t)[2])
	r.Stop()
	_, err := idle.ReadToEnd(t)
	require.NoError(t, err)
	idle.Send(t, Request("r0", "write", 3000))
	active.Send(t, Request("a1", "write", 3000))
	server.ExpectNoConnection(t, 20*time.Millisecond)
	c.SendServed(t, "value")
	require.Equal(t, "$value", active.ReadAnswer(t))
	require.Contains(t, active.ReadAnswer(t), "-BUSY", "a request sent during the shutdown")
	_, err = active.ReadToEnd(t)
	require.NoError(t, err)
	active.Send(t, Request("a2", "write", 3000)) // the limiter has closed its side only, so the write succeeds
	r.WaitDone(t, 2*time.Second)
	server.ExpectNoConnection(t, 10*time.Millisecond)
	c.ExpectNothing(t, 10*time.Millisecond) // nothing more was forwarded
}
