package testbed

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/settings"
)

// counterStub stands in for the counter. It adds amounts as they arrive; each answer to a tally waits for a receive
// from release.
type counterStub struct {
	*Peer
	mutex   sync.Mutex
	amounts []float64
	sum     float64
	release chan struct{}
}

// startCounterStub starts a counterStub and sets it as the counter of config.
func startCounterStub(t *testing.T, config *settings.Config) *counterStub {
	stub := &counterStub{Peer: Listen(t), release: make(chan struct{})}
	config.Counter, config.Settings.CounterTimeout, config.Settings.MaxActualUnits = stub.Address, 4e9, 64
	go func() {
		for c, err := stub.ln.Accept(); err == nil; c, err = stub.ln.Accept() {
			go stub.serve(c)
		}
	}()
	return stub
}

func (s *counterStub) serve(c net.Conn) {
	answers := make(chan string, 1<<10)
	go func() {
		for answer := range answers {
			if answer != "pong\r\n" {
				<-s.release
			}
			_, _ = io.WriteString(c, answer)
		}
		_ = c.Close()
	}()
	for scanner := bufio.NewScanner(c); scanner.Scan(); {
		answer, amount, key, incarnation := "pong\r\n", 0.0, 0, 0
		if _, err := fmt.Sscanf(scanner.Text(), "tally %d %g %d", &key, &amount, &incarnation); err == nil {
			s.mutex.Lock()
			s.amounts, s.sum = append(s.amounts, amount), s.sum+amount
			answer = fmt.Sprintf("ok %g\r\n", s.sum)
			s.mutex.Unlock()
		}
		answers <- answer
	}
	close(answers)
}

func (s *counterStub) total() float64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.sum
}

// waitForCalls waits until the given number of tallies has arrived and returns the amount of the first one.
func (s *counterStub) waitForCalls(t *testing.T, calls int) float64 {
	t.Helper()
	require.Eventually(t, func() bool {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return len(s.amounts) >= calls
	}, Timeout, time.Millisecond)
	return s.amounts[0]
}

// requireTotal fails the test unless the sum of all amounts reaches units and stays there.
func (s *counterStub) requireTotal(t *testing.T, units float64) {
	t.Helper()
	require.Eventually(
		t,
		func() bool { return math.Abs(s.total()-units) < 1e-6 },
		Timeout,
		time.Millisecond,
		"want %v",
		units,
	)
	time.Sleep(50 * time.Millisecond)
	require.InDelta(t, units, s.total(), 1e-6)
}

// discardDelay is how long after a client has closed its waiting requests may at most still be forwarded, by the
// standing test.
const discardDelay = 300 * time.Millisecond

// TestClientGone checks that requests which wait for their first attempt when their client closes are never forwarded,
// and that their units are returned once. A request that was forwarded is settled at its actual units, and its answer
// is discarded.
func TestClientGone(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, config *settings.Config, server *Peer, counter *counterStub){
		"server connection being dialled": func(t *testing.T, config *settings.Config, server *Peer, counter *counterStub) {
			config.Settings.DialTimeout = 3e9
			raw, err := server.ln.(*net.TCPListener).SyscallConn()
			require.NoError(t, err)
			// a queue of length 0 takes one connection
			require.NoError(t, raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }))
			first, err := net.Dial("tcp", server.Address)
			require.NoError(t, err)
			defer func() { _ = first.Close() }()
			close(counter.release)
			client := Start(t, config).Dial(t)
			client.Send(t, Request("dialled", "write", 4000))
			reserved := counter.waitForCalls(t, 1)
			time.Sleep(discardDelay) // the limiter has dialled by now; it does not dial a server that is gone from the list
			_ = client.TCP.Close()
			time.Sleep(discardDelay)
			require.InDelta(t, reserved, counter.total(), 1e-6)
			server.Accept(t)
			server.Accept(t).ExpectNothing(t, discardDelay) // the kernel repeats the SYN a second after the dial
			counter.requireTotal(t, 0)
		},
		"one request forwarded, others waiting for the counter": func(
			t *testing.T, config *settings.Config, server *Peer, counter *counterStub,
		) {
			r := Start(t, config)
			client := r.Dial(t)
			client.Send(t, Request("out", "write", 4000))
			reserved := counter.waitForCalls(t, 1)
			counter.release <- struct{}{}
			serverConn := server.Accept(t)
			require.Equal(t, "out", serverConn.ReadCommand(t)[2])
			client.Send(t, Request("w1", "write", 4000)+Request("w2", "read", 4000)+Request("w3", "keyed", 4000))
			counter.waitForCalls(t, 4)
			_ = client.TCP.Close()
			time.Sleep(discardDelay)
			serverConn.Send(t, "*3\r\n$5\r\nvalue\r\n$6\r\ncost=3\r\n$-1\r\n")
			close(counter.release)
			server.ExpectNoConnection(t, discardDelay)
			serverConn.ExpectNothing(t, discardDelay)
			counter.requireTotal(t, 3*reserved)
		},
		"many clients, all waiting for the counter": func(
			t *testing.T, config *settings.Config, server *Peer, counter *counterStub,
		) {
			config.Sockets = 1024
			r := Start(t, config)
			const clientCount = 200
			clients := make([]*Conn, clientCount)
			for i := range clients {
				clients[i] = r.Dial(t)
				clients[i].Send(t, Request(fmt.Sprint("many", i), "write", 4000))
			}
			counter.waitForCalls(t, clientCount)
			for i, c := range clients {
				if i%2 == 0 {
					c.Reset()
				} else {
					_ = c.TCP.Close()
				}
			}
			time.Sleep(discardDelay)
			close(counter.release)
			server.ExpectNoConnection(t, discardDelay)
			counter.requireTotal(t, 0)
		},
	} {
		t.Run(name, func(t *testing.T) {
			server := Listen(t)
			config := Config(server)
			run(t, config, server, startCounterStub(t, config))
		})
	}
}

// serveAll answers each request on each connection until p is closed.
func serveAll(p *Peer) {
	for c, err := p.ln.Accept(); err == nil; c, err = p.ln.Accept() {
		go func() {
			defer func() { _ = c.Close() }()
			b := make([]byte, 1<<16)
			for n, err := c.Read(b); err == nil; n, err = c.Read(b) {
				_, _ = io.WriteString(c, strings.Repeat(ServedAnswer("value"), strings.Count(string(b[:n]), "SVC.")))
			}
		}()
	}
}

// openDescriptors returns the number of this process's open descriptors.
func openDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	require.NoError(t, err)
	return len(list)
}

// TestMisbehavingClients checks that other clients are served during floods of commands, and after hundreds of clients
// have sent invalid input, partial values or large amounts of data and disconnected, or never read. Afterwards nothing
// of them is left: no descriptor, goroutine, client slot or memory.
func TestMisbehavingClients(t *testing.T) {
	server := Listen(t)
	go serveAll(server)
	config := Config(server)
	config.Sockets, config.Memory = 64, 1<<23
	config.Settings.Plans["plain"].Rate = 0
	r := Start(t, config)
	requireServed := func(id string) {
		t.Helper()
		c := r.Dial(t)
		defer func() { _ = c.TCP.Close() }()
		c.Send(t, Request(id, "read", 2000))
		require.Equal(t, "$value", c.ReadAnswer(t))
	}
	requireServed("first")
	goroutinesBefore, descriptorsBefore := runtime.NumGoroutine(), openDescriptors(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	pings := strings.Repeat("*1\r\n$4\r\nPING\r\n", 4<<10)
	flooders := make([]*Conn, 5) // the last of them never reads
	for i := range flooders {
		c := r.Dial(t)
		// to make room, the limiter first closes clients that have sent no request
		c.Send(t, Request(fmt.Sprint("flood", i), "read", 2000))
		require.Equal(t, "$value", c.ReadAnswer(t))
		if flooders[i] = c; i < len(flooders)-1 {
			go func() { _, _ = io.Copy(io.Discard, c.TCP) }()
		}
		go func() {
			for err := error(nil); err == nil; _, err = io.WriteString(c.TCP, pings) {
			}
		}()
	}
	for i := range 8 {
		requireServed(fmt.Sprint("beside", i))
	}
	for _, c := range flooders {
		_ = c.TCP.Close()
	}
	payloads := []string{
		strings.Repeat("x", 1<<20),
		"*5\r\n$10\r\nSVC.SUBMIT\r\n$65536\r\n" + strings.Repeat("y", 60000),
		pings,
		Request("half", "write", 2000)[:40],
		"*1\r\n$99999\r\n",
		"",
	}
	for i := range 500 {
		c, err := net.DialTimeout("tcp", r.Address, Timeout)
		require.NoError(t, err)
		_ = c.SetWriteDeadline(time.Now().Add(Timeout))
		_, _ = io.WriteString(c, payloads[i%len(payloads)]) // fails if the limiter has reset the connection
		if i%3 == 0 {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
	requireServed("last")
	require.Eventually(
		t,
		func() bool {
			return openDescriptors(t) <= descriptorsBefore+2 && runtime.NumGoroutine() <= goroutinesBefore+2
		},
		2*Timeout,
		10*time.Millisecond,
	)
	runtime.GC()
	runtime.ReadMemStats(&after)
	t.Logf(
		"descriptors %d, %d; goroutines %d, %d; heap %d, %d KB",
		descriptorsBefore,
		openDescriptors(t),
		goroutinesBefore,
		runtime.NumGoroutine(),
		before.HeapAlloc>>10,
		after.HeapAlloc>>10,
	)
	require.Less(t, int64(after.HeapAlloc), int64(before.HeapAlloc)+8<<20)
}
