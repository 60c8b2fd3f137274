package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ospreycroft/internal/lab/syscallshim"
	"ospreycroft/internal/lab/testbed"
	"ospreycroft/internal/operator"
)

// In these tests system calls of the program fail as Linux documents. The program keeps running: a request is served,
// and a failure of this machine is not counted against a server.

// logFile creates a file for the program's log, and returns a function that reads it.
func logFile(t *testing.T) (file *os.File, readLog func() string) {
	t.Helper()
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return file, func() string {
		text, err := os.ReadFile(file.Name())
		require.NoError(t, err)
		return string(text)
	}
}

// requireServed has a client's request granted by the counter and answered by the server.
func requireServed(t *testing.T, h *programHarness, server *testbed.Peer) {
	t.Helper()
	counterConn := h.counter.Accept(t)
	h.client.Send(t, testbed.Request("id", "read", 3000))
	require.Contains(t, counterConn.ReadLine(t), "tally ")
	counterConn.Send(t, "ok 1\r\n")
	serverConn := server.Accept(t)
	require.Equal(t, "id", serverConn.ReadCommand(t)[2])
	value := strings.Repeat("value", 1000)
	serverConn.SendServed(t, value)
	require.Equal(t, "$"+value, h.client.ReadAnswer(t))
}

// TestPartialReadsAndWrites: each read and write of a socket transfers seven bytes at most, and every third one is
// interrupted.
func TestPartialReadsAndWrites(t *testing.T) {
	calls := 0
	log, _ := logFile(t)
	server := testbed.Listen(t)
	h := startHarnessWithShim(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
		if c.Number != unix.SYS_READ && c.Number != unix.SYS_WRITE || !c.IsSocket() {
			return syscallshim.Decision{}
		}
		if calls++; calls%3 == 0 {
			return syscallshim.Decision{Errno: unix.EINTR}
		}
		return syscallshim.Decision{MaxBytes: 7}
	})
	requireServed(t, h, server)
}

// TestTransientAcceptErrors: accept fails for 300 ms. The waiting client is served afterwards, the program does not
// spin, and it logs the error once a second at most.
func TestTransientAcceptErrors(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ECONNABORTED, unix.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			var failing atomic.Bool
			var failed atomic.Int64
			log, readLog := logFile(t)
			server := testbed.Listen(t)
			h := startHarnessWithShim(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != unix.SYS_ACCEPT4 || !failing.Load() {
					return syscallshim.Decision{}
				}
				if failed.Add(1) > 20 && (errno == unix.ECONNABORTED || errno == unix.EINTR) {
					return syscallshim.Decision{} // the standard library retries these at once
				}
				return syscallshim.Decision{Errno: errno}
			})
			failing.Store(true)
			time.AfterFunc(300*time.Millisecond, func() { failing.Store(false) })
			h.client = (&testbed.Rig{Address: h.client.TCP.RemoteAddr().String()}).Dial(t)
			requireServed(t, h, server)
			require.Positive(t, failed.Load())
			require.Less(t, failed.Load(), int64(60))
			require.LessOrEqual(t, strings.Count(readLog(), "event=accept-failed"), 1)
		})
	}
}

// TestTransientDialErrors: socket or connect fails three times while the program dials its server or starts. The
// request is served, and the server is not ejected.
func TestTransientDialErrors(t *testing.T) {
	for _, c := range []struct {
		number int
		errno  unix.Errno
	}{
		{unix.SYS_SOCKET, unix.ENFILE},
		{unix.SYS_SOCKET, unix.ENOBUFS},
		{unix.SYS_SOCKET, unix.EMFILE},
		{unix.SYS_SOCKET, unix.ENOMEM},
		{unix.SYS_CONNECT, unix.EAGAIN},
		{unix.SYS_CONNECT, unix.EADDRNOTAVAIL},
		{unix.SYS_CONNECT, unix.ENETUNREACH},
		// Interrupted before the connect began. Go's dialer took it for one in progress, and waited for it.
		{unix.SYS_CONNECT, unix.EINTR},
	} {
		for _, atStart := range []bool{false, true} {
			t.Run(c.errno.Error(), func(t *testing.T) {
				var failuresLeft atomic.Int64
				if atStart {
					failuresLeft.Store(3)
				}
				log, readLog := logFile(t)
				server := testbed.Listen(t)
				h := startHarnessWithShim(t, server.Address, log, func(call syscallshim.Call) syscallshim.Decision {
					if call.Number != c.number || failuresLeft.Add(-1) < 0 {
						return syscallshim.Decision{}
					}
					return syscallshim.Decision{Errno: c.errno}
				})
				failuresLeft.Store(3)
				requireServed(t, h, server)
				require.NotContains(t, readLog(), "ejected")
				require.NotContains(t, readLog(), "event=failed")
			})
		}
	}
}

// TestStartRetriesFailedReads: a read of the configuration or of the operator's file fails three times while the
// program starts.
func TestStartRetriesFailedReads(t *testing.T) {
	operatorFile := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(operatorFile, []byte("installation = 'i'\n"), 0o600))
	t.Setenv(operator.Variable, operatorFile)
	for _, file := range []string{"config.json", "operator.toml"} {
		t.Run(file, func(t *testing.T) {
			failures := 0
			log, readLog := logFile(t)
			server := testbed.Listen(t)
			h := startHarnessWithShim(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != unix.SYS_READ || failures == 3 || !strings.HasSuffix(c.Path(), file) {
					return syscallshim.Decision{}
				}
				failures++
				return syscallshim.Decision{Errno: unix.EIO}
			})
			requireServed(t, h, server)
			require.Equal(t, 3, failures)
			require.Contains(t, readLog(), "event=start-retried")
		})
	}
}

// enableSnapshots makes the programs that the test starts keep snapshots of their endpoint lists in dir, in the named
// file.
func enableSnapshots(t *testing.T) (dir, file string) {
	t.Helper()
	dir = t.TempDir()
	operatorFile := filepath.Join(dir, "operator.toml")
	options := fmt.Appendf(nil, "installation = 'i'\n[snapshot]\npath = %q\noldest_s = 60\n", dir)
	require.NoError(t, os.WriteFile(operatorFile, options, 0o600))
	t.Setenv(operator.Variable, operatorFile)
	return dir, filepath.Join(dir, "n.snapshot")
}

// TestSnapshotWriteErrors: writes, or syncs, fail on the disk while the program has an endpoint list to save. The
// program keeps serving and saves the list once the disk works again, and a process started after a kill reads it.
func TestSnapshotWriteErrors(t *testing.T) {
	for name, failure := range map[string]struct {
		number int
		errno  unix.Errno
	}{"full": {unix.SYS_WRITE, unix.ENOSPC}, "broken": {unix.SYS_FSYNC, unix.EIO}} {
		t.Run(name, func(t *testing.T) {
			dir, snapshots := enableSnapshots(t)
			var failing atomic.Bool
			var failures atomic.Int64
			failing.Store(true)
			decide := func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != failure.number || !failing.Load() || !strings.HasPrefix(c.Path(), dir) {
					return syscallshim.Decision{}
				}
				failures.Add(1)
				return syscallshim.Decision{Errno: failure.errno}
			}
			first := startDiscovery(t, "first")
			address, program, exited, _ := startProgramWithShim(
				t,
				decide,
				defaultClass,
				first.Address(0),
				first.server.Instance,
			)
			require.Eventually(t, func() bool { return failures.Load() > 1 }, testbed.Timeout, 10*time.Millisecond)
			client := (&testbed.Rig{Address: address}).Dial(t)
			client.Send(t, string(request("id", 2000)))
			require.Equal(t, "$v", client.ReadAnswer(t))
			require.NoFileExists(t, snapshots)

			failing.Store(false)
			require.Eventually(t, func() bool {
				_, err := os.Stat(snapshots)
				return err == nil
			}, testbed.Timeout, 10*time.Millisecond)
			require.NoError(t, program.Process.Kill())
			require.Error(t, <-exited)
			_, program, exited, log := startProgram(t, first.Address(0), first.server.Instance)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-exited)
			require.Contains(t, log.String(), "event=snapshot-read")
		})
	}
}

// TestKilledDuringSnapshotWrite: the program is killed while it writes a newer endpoint list, of which half is left.
// The next process reads the list that was saved before.
func TestKilledDuringSnapshotWrite(t *testing.T) {
	dir, snapshots := enableSnapshots(t)
	var killOnSync atomic.Bool
	decide := func(c syscallshim.Call) syscallshim.Decision {
		if c.Number == unix.SYS_FSYNC && killOnSync.Load() && strings.HasPrefix(c.Path(), dir) {
			_ = unix.Kill(c.PID, unix.SIGKILL)
		}
		return syscallshim.Decision{}
	}
	first := startDiscovery(t, "first")
	_, _, exited, _ := startProgramWithShim(t, decide, defaultClass, first.Address(0), first.server.Instance)
	require.Eventually(t, func() bool {
		_, err := os.Stat(snapshots)
		return err == nil
	}, testbed.Timeout, 10*time.Millisecond)
	killOnSync.Store(true)
	first.Set(startCountingServer(t, "second").Instance)
	require.Error(t, <-exited)

	partialFile := snapshots + ".new"
	info, err := os.Stat(partialFile)
	require.NoError(t, err)
	require.NoError(t, os.Truncate(partialFile, info.Size()/2))
	_, program, exited, log := startProgram(t, "127.0.0.1:1", first.server.Instance)
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-exited)
	require.Regexp(t, `event=snapshot-read generation=\d+ servers=1 `, log.String())
}
