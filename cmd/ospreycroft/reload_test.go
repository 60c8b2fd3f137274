package main

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ospreycroft/internal/lab/testbed"
)

// TestRejectedReload sends SIGHUP for configuration files that cannot be used: each one is rejected as a whole, with
// its key in the log, and no address changes. A valid file after them changes the address of discovery.
func TestRejectedReload(t *testing.T) {
	first, second := testbed.Listen(t), testbed.Listen(t)
	_, program, exited, log := startProgram(t, first.Address)
	_ = first.Accept(t)
	var configPath string
	for _, v := range program.Env {
		if p, is := strings.CutPrefix(v, "GW_CONFIG="); is {
			configPath = p
		}
	}
	text, err := os.ReadFile(configPath)
	require.NoError(t, err)
	changed := strings.Replace(string(text), first.Address, second.Address, 1)
	reload := func(text string) {
		require.NoError(t, os.WriteFile(configPath, []byte(text), 0o600))
		require.NoError(t, program.Process.Signal(syscall.SIGHUP))
	}
	for _, bad := range []string{"", changed[:len(changed)-40],
		strings.Replace(changed, `"attempts-cap":3`, `"attempts-cap":0`, 1),
		strings.Replace(changed, `"aim":2`, `"aim":"2"`, 1), strings.Replace(changed, second.Address, "nowhere", 1)} {
		reload(bad)
		second.ExpectNoConnection(t, 100*time.Millisecond)
	}
	reload(changed)
	_ = second.Accept(t)
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-exited)
	require.Equal(t, 5, strings.Count(log.String(), "event=config-refused"), log.String())
	for _, key := range []string{"permissions: attempts-cap", "classes: aim", "discovery"} {
		require.Contains(t, log.String(), key)
	}
}
