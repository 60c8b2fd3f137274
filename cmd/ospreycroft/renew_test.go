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

// TestRefusedRenewal sends SIGHUP for files that cannot work: each is turned down whole, with its key in the log, and
// nothing moves. A good one behind them moves the list service.
func TestRefusedRenewal(t *testing.T) {
	first, second := testbed.Listen(t), testbed.Listen(t)
	_, program, ended, log := start(t, first.Address)
	_ = first.Accept(t)
	var path string
	for _, v := range program.Env {
		if p, is := strings.CutPrefix(v, "GW_CONFIG="); is {
			path = p
		}
	}
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	moved := strings.Replace(string(text), first.Address, second.Address, 1)
	hup := func(text string) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		require.NoError(t, program.Process.Signal(syscall.SIGHUP))
	}
	for _, bad := range []string{"", moved[:len(moved)-40], strings.Replace(moved, `"attempts-cap":3`, `"attempts-cap":0`, 1),
		strings.Replace(moved, `"aim":2`, `"aim":"2"`, 1), strings.Replace(moved, second.Address, "nowhere", 1)} {
		hup(bad)
		second.None(t, 100*time.Millisecond)
	}
	hup(moved)
	_ = second.Accept(t)
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
	require.Equal(t, 5, strings.Count(log.String(), "event=config-refused"), log.String())
	for _, key := range []string{"permissions: attempts-cap", "classes: aim", "discovery"} {
		require.Contains(t, log.String(), key)
	}
}
