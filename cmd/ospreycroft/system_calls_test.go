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

// System calls of the program fail as Linux documents, and it goes on: a request is served, and what failed on this machine
// is not laid at a server's door.

// logFile is a file for the program's log, and a look at what it holds.
func logFile(t *testing.T) (file *os.File, read func() string) {
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

// serveOne has a client's request granted by the counter and answered by the server.
func serveOne(t *testing.T, e *ending, server *testbed.Peer) {
	t.Helper()
	line := e.counter.Accept(t)
	e.client.Say(t, testbed.Request("id", "read", 3000))
	require.Contains(t, line.Line(t), "tally ")
	line.Say(t, "ok 1\r\n")
	c := server.Accept(t)
	require.Equal(t, "id", c.Command(t)[2])
	value := strings.Repeat("value", 1000)
	c.Serve(t, value)
	require.Equal(t, "$"+value, e.client.Answer(t))
}

// TestReadsAndWritesCutShort: each read and write of a socket does seven bytes at most, and every third is interrupted.
func TestReadsAndWritesCutShort(t *testing.T) {
	calls := 0
	log, _ := logFile(t)
	server := testbed.Listen(t)
	e := beginUnder(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
		if c.Number != unix.SYS_READ && c.Number != unix.SYS_WRITE || !c.IsSocket() {
			return syscallshim.Decision{}
		}
		if calls++; calls%3 == 0 {
			return syscallshim.Decision{Errno: unix.EINTR}
		}
		return syscallshim.Decision{Bytes: 7}
	})
	serveOne(t, e, server)
}

// TestAcceptFailsForAWhile: accept fails for 300 ms. The client that waits is served then, the program does not spin, and
// says once a second at most what it is about.
func TestAcceptFailsForAWhile(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ECONNABORTED, unix.EINTR} {
		t.Run(errno.Error(), func(t *testing.T) {
			var failing atomic.Bool
			var failed atomic.Int64
			log, read := logFile(t)
			server := testbed.Listen(t)
			e := beginUnder(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != unix.SYS_ACCEPT4 || !failing.Load() {
					return syscallshim.Decision{}
				}
				if failed.Add(1) > 20 && (errno == unix.ECONNABORTED || errno == unix.EINTR) {
					return syscallshim.Decision{} // of these the standard library tries the next at once
				}
				return syscallshim.Decision{Errno: errno}
			})
			failing.Store(true)
			time.AfterFunc(300*time.Millisecond, func() { failing.Store(false) })
			e.client = (&testbed.Rig{Address: e.client.TCP.RemoteAddr().String()}).Dial(t)
			serveOne(t, e, server)
			require.Positive(t, failed.Load())
			require.Less(t, failed.Load(), int64(60))
			require.LessOrEqual(t, strings.Count(read(), "event=accept-failed"), 1)
		})
	}
}

// TestDialFailsForAMoment: socket or connect fails three times as the program dials its server, or while it starts. The
// request is served, and the server is not ejected.
func TestDialFailsForAMoment(t *testing.T) {
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
		// Interrupted before it has begun. Go's dialler took it for one that goes on by itself, and waited for it.
		{unix.SYS_CONNECT, unix.EINTR},
	} {
		for _, atStart := range []bool{false, true} {
			t.Run(c.errno.Error(), func(t *testing.T) {
				var left atomic.Int64
				if atStart {
					left.Store(3)
				}
				log, read := logFile(t)
				server := testbed.Listen(t)
				e := beginUnder(t, server.Address, log, func(call syscallshim.Call) syscallshim.Decision {
					if call.Number != c.number || left.Add(-1) < 0 {
						return syscallshim.Decision{}
					}
					return syscallshim.Decision{Errno: c.errno}
				})
				left.Store(3)
				serveOne(t, e, server)
				require.NotContains(t, read(), "ejected")
				require.NotContains(t, read(), "event=failed")
			})
		}
	}
}

// TestStartBehindFailingReads: a read of the configuration or of the operator's file fails three times as the program starts.
func TestStartBehindFailingReads(t *testing.T) {
	stated := filepath.Join(t.TempDir(), "operator.toml")
	require.NoError(t, os.WriteFile(stated, []byte("installation = 'i'\n"), 0o600))
	t.Setenv(operator.Variable, stated)
	for _, file := range []string{"config.json", "operator.toml"} {
		t.Run(file, func(t *testing.T) {
			failures := 0
			log, read := logFile(t)
			server := testbed.Listen(t)
			e := beginUnder(t, server.Address, log, func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != unix.SYS_READ || failures == 3 || !strings.HasSuffix(c.Path(), file) {
					return syscallshim.Decision{}
				}
				failures++
				return syscallshim.Decision{Errno: unix.EIO}
			})
			serveOne(t, e, server)
			require.Equal(t, 3, failures)
			require.Contains(t, read(), "event=start-retried")
		})
	}
}

// keepSnapshots has the programs that the test starts keep their lists in a directory, in the file that is named.
func keepSnapshots(t *testing.T) (dir, file string) {
	t.Helper()
	dir = t.TempDir()
	stated := filepath.Join(dir, "operator.toml")
	options := fmt.Appendf(nil, "installation = 'i'\n[snapshot]\npath = %q\noldest_s = 60\n", dir)
	require.NoError(t, os.WriteFile(stated, options, 0o600))
	t.Setenv(operator.Variable, stated)
	return dir, filepath.Join(dir, "n.snapshot")
}

// TestDiskRefusesSnapshots: the disk refuses writes, or syncs, while the program has a list to keep. It serves meanwhile, and the
// list is there once the disk takes it, also for a life behind a kill.
func TestDiskRefusesSnapshots(t *testing.T) {
	for name, refused := range map[string]struct {
		number int
		errno  unix.Errno
	}{"full": {unix.SYS_WRITE, unix.ENOSPC}, "broken": {unix.SYS_FSYNC, unix.EIO}} {
		t.Run(name, func(t *testing.T) {
			dir, snapshots := keepSnapshots(t)
			var refuses atomic.Bool
			var refusals atomic.Int64
			refuses.Store(true)
			decide := func(c syscallshim.Call) syscallshim.Decision {
				if c.Number != refused.number || !refuses.Load() || !strings.HasPrefix(c.Path(), dir) {
					return syscallshim.Decision{}
				}
				refusals.Add(1)
				return syscallshim.Decision{Errno: refused.errno}
			}
			first := startPlace(t, "first")
			address, program, ended, _ := startUnder(t, decide, anyClass, first.Address(0), first.server.Instance)
			require.Eventually(t, func() bool { return refusals.Load() > 1 }, testbed.Patience, 10*time.Millisecond)
			client := (&testbed.Rig{Address: address}).Dial(t)
			client.Say(t, string(request("id", 2000)))
			require.Equal(t, "$v", client.Answer(t))
			require.NoFileExists(t, snapshots)

			refuses.Store(false)
			require.Eventually(t, func() bool {
				_, err := os.Stat(snapshots)
				return err == nil
			}, testbed.Patience, 10*time.Millisecond)
			require.NoError(t, program.Process.Kill())
			require.Error(t, <-ended)
			_, program, ended, log := start(t, first.Address(0), first.server.Instance)
			require.NoError(t, program.Process.Signal(syscall.SIGTERM))
			require.NoError(t, <-ended)
			require.Contains(t, log.String(), "event=snapshot-read")
		})
	}
}

// TestKilledInTheMiddleOfASnapshot: the program is killed while it writes a newer list down, of which half is left. The
// next life has the list before it.
func TestKilledInTheMiddleOfASnapshot(t *testing.T) {
	dir, snapshots := keepSnapshots(t)
	var kills atomic.Bool
	decide := func(c syscallshim.Call) syscallshim.Decision {
		if c.Number == unix.SYS_FSYNC && kills.Load() && strings.HasPrefix(c.Path(), dir) {
			_ = unix.Kill(c.PID, unix.SIGKILL)
		}
		return syscallshim.Decision{}
	}
	first := startPlace(t, "first")
	_, _, ended, _ := startUnder(t, decide, anyClass, first.Address(0), first.server.Instance)
	require.Eventually(t, func() bool {
		_, err := os.Stat(snapshots)
		return err == nil
	}, testbed.Patience, 10*time.Millisecond)
	kills.Store(true)
	first.Set(startCounting(t, "second").Instance)
	require.Error(t, <-ended)

	written := snapshots + ".new"
	info, err := os.Stat(written)
	require.NoError(t, err)
	require.NoError(t, os.Truncate(written, info.Size()/2))
	_, program, ended, log := start(t, "127.0.0.1:1", first.server.Instance)
	require.NoError(t, program.Process.Signal(syscall.SIGTERM))
	require.NoError(t, <-ended)
	require.Regexp(t, `event=snapshot-read generation=\d+ servers=1 `, log.String())
}
