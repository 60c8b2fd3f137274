package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/lab/testbed"
)

// startWithServers starts the program without a counter, with the classes read, write and keyed of testbed.Request, of
// which keyed is deduplicated within a zone. It returns a rig for clients.
func startWithServers(t *testing.T, discovery string, servers ...emulator.Instance) *testbed.Rig {
	t.Helper()
	known, err := json.Marshal(servers)
	require.NoError(t, err)
	listen := testbed.ReservePort(t).Address()
	config := fmt.Sprintf(`{"name":"n","listen":%q,"discovery":%q,"counter":"127.0.0.1:1","seed":"ff",
		"limits":{"memory_mb":64,"sockets":512},"known":{"generation":1,"reset":true,"instances":%s},
		"settings":{"balancers":1,"classes":[{"name":"read","aim":1,"deadline":3,"effect":"free","group":"all"},
		{"name":"write","aim":1,"deadline":3,"effect":"single_shot","group":"all"},
		{"name":"keyed","aim":1,"deadline":3,"effect":"guarded","group":"zone","dedup-window":10}],
		"tariffs":[{"name":"plain","rate":100000,"most-at-once":100000}],
		"family-info":{"has-counter":false,"units-top":16},"contract":{"cold-from":0.3,"warm-within":10},
		"permissions":{"attempts-cap":3,"dial-timeout":0.25,"idle-close":15},"granularity":0.004}}`, listen, discovery, known)
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(config), 0o600))
	program := exec.Command(os.Args[0])
	program.Env = append(os.Environ(), "OSPREYCROFT_IS_THE_PROGRAM=1", "GW_CONFIG="+path)
	require.NoError(t, program.Start())
	t.Cleanup(func() {
		_ = program.Process.Kill()
		_ = program.Wait()
	})
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", listen)
		if err == nil {
			_ = c.Close()
		}
		return err == nil
	}, testbed.Timeout, 20*time.Millisecond)
	return &testbed.Rig{Address: listen}
}

// inService returns the entry of a warm server.
func inService(id, address, zone string) emulator.Instance {
	return emulator.Instance{ID: id, HostPort: address, Zone: zone, Lifecycle: "in_service", Weight: 1}
}
