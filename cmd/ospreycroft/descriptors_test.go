package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// recoveryTimeout is how soon after discovery is back its list must be read and used.
const recoveryTimeout = 6 * time.Second

// startIdleClients starts count clients that connect, send nothing, and connect again when they are closed.
func startIdleClients(t *testing.T, address string, count int) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() { cancel(); running.Wait() })
	for range count {
		running.Go(func() {
			for ctx.Err() == nil {
				holdIdleConn(ctx, address)
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
}

// holdIdleConn holds one idle connection until the limiter closes it or ctx ends.
func holdIdleConn(ctx context.Context, address string) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	_, _ = c.Read(make([]byte, 1))
}

// countDescriptors returns how many descriptors a process holds, and how many of them are sockets.
func countDescriptors(t *testing.T, process int) (all, sockets int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", process)
	list, err := os.ReadDir(dir)
	require.NoError(t, err)
	for _, entry := range list {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil &&
			strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return len(list), sockets
}

// singleServerList is a discovery service that lists one server and then reports no changes.
type singleServerList struct {
	server    string
	firstCall chan time.Time // buffered, gets the time of the first call for the whole list
}

func (l *singleServerList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("from") == "2" {
		select {
		case <-r.Context().Done():
		case <-time.After(time.Second):
		}
		_, _ = fmt.Fprint(w, `{"generation":2,"reset":false,"instances":[]}`)
		return
	}
	select {
	case l.firstCall <- time.Now():
	default:
	}
	_, _ = fmt.Fprintf(
		w,
		`{"generation":2,"reset":true,"instances":[{"instanceId":"s","hostPort":%q,"lifecycle":"in_service","weight":1}]}`,
		l.server,
	)
}

// startWithDescriptorLimit starts the program without servers and with a limit of descriptors, which may differ from
// the limit that its configuration states.
func startWithDescriptorLimit(
	t *testing.T,
	descriptors, configured int,
	discovery string,
) (address string, program *exec.Cmd, logFile *os.File) {
	t.Helper()
	address = testbed.ReservePort(t).Address()
	dir := t.TempDir()
	path := filepath.Join(dir, "config.json")
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"seed":"ff","limits":{"memory_mb":192,"sockets":%d},
		"known":{"generation":1,"reset":true,"instances":[]},
		"settings":{"balancers":1,"classes":[{"name":"read","aim":2,"effect":"free","group":"all"}],"tariffs":[{"name":"plain"}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":1,"idle-close":15,"retry-after":true,"max-retry-after":2},
		"granularity":0.004}}`, address, discovery, configured)
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	log, err := os.Create(filepath.Join(dir, "log"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = log.Close() })
	program = exec.Command("/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0"`, descriptors), os.Args[0])
	program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+path)
	program.Stderr = log
	require.NoError(t, program.Start())
	t.Cleanup(func() {
		_ = program.Process.Kill()
		_ = program.Wait()
	})
	return address, program, log
}

// TestIdleClientsInOutage: idle clients take every descriptor that the limiter lets them have while discovery refuses
// connections. Once discovery is back, its list is read, and a request on a client connection that stayed open is
// served, within recoveryTimeout. In the second case the process may hold fewer descriptors than its configuration
// states.
func TestIdleClientsInOutage(t *testing.T) {
	for _, c := range []struct{ descriptors, configured int }{{96, 96}, {64, 1024}} {
		t.Run(fmt.Sprintf("%d descriptors, %d configured", c.descriptors, c.configured), func(t *testing.T) {
			discovery := testbed.ReservePort(t)
			address, program, log := startWithDescriptorLimit(t, c.descriptors, c.configured, discovery.Address())
			sendRequest := func(client *testbed.Conn, id string) string {
				client.Send(t, testbed.Request(id, "read", 1000))
				return client.ReadAnswer(t)
			}
			require.Eventually(t, func() bool {
				client, err := net.Dial("tcp", address)
				if err == nil {
					_ = client.Close()
				}
				return err == nil
			}, testbed.Timeout, 10*time.Millisecond)
			openClient := (&testbed.Rig{Address: address}).Dial(t)
			require.Regexp(t, "^-BUSY", sendRequest(openClient, "first"))
			startIdleClients(t, address, 3*c.descriptors)
			for start, n := time.Now(), 0; time.Since(start) < 3*time.Second; n++ { // the connection stays in use
				require.Regexp(t, "^-BUSY", sendRequest(openClient, fmt.Sprint("before", n)))
				time.Sleep(20 * time.Millisecond)
			}
			held, sockets := countDescriptors(t, program.Process.Pid)

			server := testbed.Listen(t)
			handler := &singleServerList{server: server.Address, firstCall: make(chan time.Time, 1)}
			ln, err := discovery.Listen()
			require.NoError(t, err)
			serviceBack := time.Now()
			service := &http.Server{Handler: handler}
			go func() { _ = service.Serve(ln) }()
			t.Cleanup(func() { _ = service.Close() })
			var firstCall time.Time
			for n := 0; firstCall.IsZero(); n++ {
				require.Less(t, time.Since(serviceBack), recoveryTimeout, "discovery is not called")
				select {
				case firstCall = <-handler.firstCall:
				default:
					require.Regexp(t, "^-BUSY", sendRequest(openClient, fmt.Sprint("again", n)))
					time.Sleep(20 * time.Millisecond)
				}
			}
			time.Sleep(50 * time.Millisecond) // until the list is read
			sent := time.Now()
			openClient.Send(t, testbed.Request("served", "read", 1000))
			serverConn := server.Accept(t)
			require.Equal(t, "served", serverConn.ReadCommand(t)[2])
			serverConn.SendServed(t, "value")
			require.Equal(t, "$value", openClient.ReadAnswer(t))
			require.Less(t, time.Since(serviceBack), recoveryTimeout)
			text, err := os.ReadFile(log.Name())
			require.NoError(t, err)
			require.Less(t, len(text), 1<<16, "the log grows too fast")
			t.Logf(
				"%d descriptors, %d sockets; discovery called after %v, request served in %v; %d bytes of log",
				held,
				sockets,
				firstCall.Sub(serviceBack),
				time.Since(sent),
				len(text),
			)
		})
	}
}
