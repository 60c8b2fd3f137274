package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/testbed"
)

// slowServerDelay is how long a slow server takes for each request.
const slowServerDelay = 150 * time.Millisecond

// countingServer is a server that counts how often it receives each request. It answers with a value, at once or after
// a delay, or never.
type countingServer struct {
	emulator.Instance // its entry in an endpoint list
	delay             time.Duration
	hangs             bool // it never answers
	mutex             sync.Mutex
	received          map[string]int // how often, by the request's id
}

// startCountingServer starts a server that answers at once.
func startCountingServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{}).start(t, name)
}

// startSlowServer starts a server that takes slowServerDelay for each request.
func startSlowServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{delay: slowServerDelay}).start(t, name)
}

// startHangingServer starts a server that never answers.
func startHangingServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{hangs: true}).start(t, name)
}

func (s *countingServer) start(t *testing.T, name string) *countingServer {
	t.Helper()
	listener, err := testbed.ReservePort(t).Listen()
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	s.received = map[string]int{}
	s.Instance = emulator.Instance{ID: name, HostPort: listener.Addr().String(), Lifecycle: "in_service", Weight: 1}
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go s.serve(conn)
		}
	}()
	return s
}

func (s *countingServer) serve(conn net.Conn) {
	_ = emulator.ReadCommands(conn, func(words [][]byte) bool {
		s.count(string(words[2]))
		if s.hangs {
			return true
		}
		time.Sleep(s.delay)
		_, err := conn.Write([]byte("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n"))
		return err == nil
	})
	_ = conn.Close()
}

func (s *countingServer) count(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.received[id]++
}

// timesReceived returns how often the server has received a request.
func (s *countingServer) timesReceived(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.received[id]
}

// requestCount returns how many different requests the server has received.
func (s *countingServer) requestCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.received)
}
