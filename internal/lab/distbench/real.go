package distbench

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"ospreycroft/internal/distribution"
	"ospreycroft/internal/lab/ports"
)

// discoveryStub is a discovery service with an empty endpoint list that records when it is polled.
type discoveryStub struct {
	listener  net.Listener
	server    *http.Server
	mutex     sync.Mutex
	pollTimes []time.Time
}

func startDiscoveryStub() (*discoveryStub, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &discoveryStub{listener: listener}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *discoveryStub) address() string { return s.listener.Addr().String() }

// ServeHTTP answers with the empty list, after the hold time if the request has one.
func (s *discoveryStub) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	s.pollTimes = append(s.pollTimes, time.Now())
	s.mutex.Unlock()
	if hold, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil {
		timer := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
		}
	}
	_, _ = io.WriteString(w, `{"generation":1,"reset":true,"instances":[]}`)
}

// pollLatency returns how long after from the stub was first polled; polled is false if it was not.
func (s *discoveryStub) pollLatency(from time.Time) (latency time.Duration, polled bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, at := range s.pollTimes {
		if at.After(from) {
			return at.Sub(from), true
		}
	}
	return 0, false
}

// realLimiter is a process of the limiter program, with the two discovery stubs between which it is moved.
type realLimiter struct {
	*Process
	number      int
	port        *ports.Reserved
	discoveries [2]*discoveryStub
	current     int // index of the discovery that was published last
}

// scope returns the distribution scope that covers this limiter alone.
func (l *realLimiter) scope() string { return fmt.Sprintf("real-%d", l.number) }

// moveMutation switches current, and returns the mutation that moves the limiter to that discovery.
func (l *realLimiter) moveMutation() distribution.Mutation {
	l.current = 1 - l.current
	return distribution.Mutation{
		Entry: distribution.Entry{Key: distribution.Key{Kind: distribution.KindEndpoints, Scope: l.scope(),
			Name: distribution.EndpointDiscovery}, Value: l.discoveries[l.current].address()},
	}
}

// startRealLimiter starts a real limiter that follows two relays. Errors: *StartError, *ports.KeepError.
func startRealLimiter(programs Programs, dir string, number int, servers [2]string) (*realLimiter, error) {
	l := &realLimiter{number: number}
	var err error
	for i := range l.discoveries {
		l.discoveries[i], err = startDiscoveryStub()
		if err != nil {
			l.stop()
			return nil, &StartError{What: "a discovery stub", Cause: err}
		}
	}
	l.port, err = ports.Reserve()
	if err != nil {
		l.stop()
		return nil, err
	}
	environment, err := l.writeFiles(dir, servers)
	if err == nil {
		l.Process, err = Start(programs.Limiter, environment)
	}
	if err == nil {
		err = l.WaitUntilReachable(l.port.Address())
	}
	if err != nil {
		l.stop()
		return nil, err
	}
	return l, nil
}

// writeFiles writes the limiter's configuration and operator file, and returns the environment variables that name
// them.
func (l *realLimiter) writeFiles(dir string, servers [2]string) ([]string, error) {
	stateDir := filepath.Join(dir, l.scope())
	if err := os.MkdirAll(stateDir, 0o755); err != nil {
		return nil, err
	}
	name, err := json.Marshal(l.scope())
	if err != nil {
		return nil, err
	}
	config := fmt.Sprintf(`{"name":%s,"listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":1024},
		"known":{"generation":1,"reset":true,"instances":[]},
		"settings":{"balancers":1,"classes":[{"name":"c","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"p"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, name, l.port.Address(), l.discoveries[0].address())
	operatorConfig := fmt.Sprintf(
		"installation = 'distlab'\n[distribution]\nrelays = [%q, %q]\nscope = 'endpoints@%s'\nstate_path = %q\noldest_s = 3600\n",
		servers[0],
		servers[1],
		l.scope(),
		stateDir,
	)
	paths := [2]string{filepath.Join(stateDir, "config.json"), filepath.Join(stateDir, "operator.toml")}
	for i, text := range []string{config, operatorConfig} {
		if err := os.WriteFile(paths[i], []byte(text), 0o644); err != nil {
			return nil, err
		}
	}
	return []string{"GW_CONFIG=" + paths[0], "GW_OPERATOR=" + paths[1]}, nil
}

func (l *realLimiter) stop() {
	if l.Process != nil {
		l.Kill()
	}
	for _, discovery := range l.discoveries {
		if discovery != nil {
			_ = discovery.server.Close()
		}
	}
	if l.port != nil {
		l.port.Close()
	}
}
