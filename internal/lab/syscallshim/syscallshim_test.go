package syscallshim

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// clientAddressVariable makes the test binary run runClient with the address in its value.
const clientAddressVariable = "SHIM_TEST_ACT"

func TestMain(m *testing.M) {
	LaunchIfRequested()
	if address := os.Getenv(clientAddressVariable); address != "" {
		runClient(address)
		return
	}
	os.Exit(m.Run())
}

// runClient connects, sends 100 bytes, reads them back and prints the result.
func runClient(address string) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		fmt.Println("dial:", err)
		return
	}
	_, err = c.Write(bytes.Repeat([]byte("x"), 100))
	if err != nil {
		fmt.Println("write:", err)
		return
	}
	echoed := make([]byte, 100)
	n, err := io.ReadFull(c, echoed)
	fmt.Println("read:", n, err)
}

// runUnderShim runs runClient in a process under the shim and returns its output.
func runUnderShim(t *testing.T, decide Decide) (string, *Counts) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), clientAddressVariable+"="+listener.Addr().String())
	var out bytes.Buffer
	command.Stdout = &out
	command.Stderr = &out
	counts := &Counts{}
	started, err := Command(command, os.Args[0], decide, counts)
	require.NoError(t, err)
	require.NoError(t, command.Start())
	require.NoError(t, started())
	require.NoError(t, command.Wait())
	return out.String(), counts
}

// TestCallsContinue checks that calls work as without the shim, both when they continue unchanged and when reads and
// writes are limited to a few bytes.
func TestCallsContinue(t *testing.T) {
	text, counts := runUnderShim(t, func(Call) Decision { return Decision{} })
	require.Equal(t, "read: 100 <nil>\n", text)
	require.Positive(t, counts.Seen.Load())
	text, counts = runUnderShim(t, func(c Call) Decision {
		if (c.Number == unix.SYS_READ || c.Number == unix.SYS_WRITE) && c.IsSocket() {
			return Decision{MaxBytes: 7}
		}
		return Decision{}
	})
	require.Equal(t, "read: 100 <nil>\n", text)
	require.GreaterOrEqual(t, counts.Short.Load(), int64(28))
}

// TestCallsFail checks that a call fails with the error in the decision.
func TestCallsFail(t *testing.T) {
	for _, c := range []struct {
		number int
		errno  unix.Errno
		want   string
	}{
		{unix.SYS_SOCKET, unix.ENFILE, "too many open files in system"},
		{unix.SYS_CONNECT, unix.EADDRNOTAVAIL, "cannot assign requested address"},
		{unix.SYS_READ, unix.ETIMEDOUT, "connection timed out"},
	} {
		text, counts := runUnderShim(t, func(call Call) Decision {
			if call.Number == c.number && (c.number != unix.SYS_READ || call.IsSocket()) {
				return Decision{Errno: c.errno, Shutdown: true}
			}
			return Decision{}
		})
		require.True(t, strings.Contains(text, c.want), text)
		require.Positive(t, counts.Failed.Load())
	}
}

// TestUnseenCallsReported checks that a program none of whose calls are intercepted is an error.
func TestUnseenCallsReported(t *testing.T) {
	listener, program, err := os.Pipe()
	require.NoError(t, err)
	require.NoError(t, program.Close())
	var shimError *Error
	require.ErrorAs(t, awaitFirstCall(int(listener.Fd())), &shimError)
	require.ErrorIs(t, shimError, errNoCalls)
	require.NoError(t, listener.Close())
}
