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

// clientAddressVariable has the test's own file act as the program under the shim.
const clientAddressVariable = "SHIM_TEST_ACT"

func TestMain(m *testing.M) {
	LaunchIfAsked()
	if address := os.Getenv(clientAddressVariable); address != "" {
		runClient(address)
		return
	}
	os.Exit(m.Run())
}

// runClient connects, sends a hundred bytes, reads them back and prints what came of it.
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

// runUnderShim plays act under a decision for each call and gives what it printed.
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

// TestCallsContinue: undecided calls do what they do without the shim, also where reads and writes are cut short.
func TestCallsContinue(t *testing.T) {
	text, counts := runUnderShim(t, func(Call) Decision { return Decision{} })
	require.Equal(t, "read: 100 <nil>\n", text)
	require.Positive(t, counts.Seen.Load())
	text, counts = runUnderShim(t, func(c Call) Decision {
		if (c.Number == unix.SYS_READ || c.Number == unix.SYS_WRITE) && c.IsSocket() {
			return Decision{Bytes: 7}
		}
		return Decision{}
	})
	require.Equal(t, "read: 100 <nil>\n", text)
	require.GreaterOrEqual(t, counts.Short.Load(), int64(28))
}

// TestCallsFail: a call fails by the error that was decided on.
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
				return Decision{Errno: c.errno, Break: true}
			}
			return Decision{}
		})
		require.True(t, strings.Contains(text, c.want), text)
		require.Positive(t, counts.Failed.Load())
	}
}
