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

// slowServerDelay is what a slow server takes for each request.
const slowServerDelay = 150 * time.Millisecond

// countingServer is a server that counts how often each request has reached it. It answers with a value, after a delay, or
// never.
type countingServer struct {
	emulator.Instance // its entry in a list
	delay             time.Duration
	hangs             bool
	mutex             sync.Mutex
	received          map[string]int // by the request's id
}

// startCountingServer starts one that answers at once.
func startCountingServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{}).start(t, name)
}

// startSlowServer starts one that takes slowAnswer for each request.
func startSlowServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{delay: slowServerDelay}).start(t, name)
}

// startHangingServer starts one that never answers.
func startHangingServer(t *testing.T, name string) *countingServer {
	t.Helper()
	return (&countingServer{hangs: true}).start(t, name)
}

func (s *countingServer) start(t *testing.T, name string) *countingServer {
	t.Helper()
	listener, err := testbed.KeepPort(t).Listen()
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
	_ = emulator.Commands(conn, func(words [][]byte) bool {
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

// timesReceived is how often a request has reached it.
func (s *countingServer) timesReceived(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.received[id]
}

// requestCount is how many requests have reached it.
func (s *countingServer) requestCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.received)
}
