package flood

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"time"
)

// senderVariable is the environment variable with the arguments of a process that only sends a flood.
const senderVariable = "OSPREYCROFT_FLOOD_SENDER"

const (
	dialTimeout = time.Second
	// stopCheckInterval bounds how long a blocked write or read continues after the flood's end.
	stopCheckInterval = 100 * time.Millisecond
)

// blockNumbers numbers the blocks of all senders of a process.
var blockNumbers atomic.Int64

// SendIfRequested sends a flood and exits if the process was started by StartSenders. Otherwise it does nothing.
func SendIfRequested() {
	arguments := os.Getenv(senderVariable)
	if arguments == "" {
		return
	}
	var address, name string
	var clients int
	var length time.Duration
	var unread bool
	_, err := fmt.Sscan(arguments, &address, &name, &clients, (*int64)(&length), &unread)
	kind, found := KindByName(name)
	if err != nil || !found {
		fmt.Fprintln(os.Stderr, "flood sender: invalid arguments:", arguments)
		os.Exit(1)
	}
	until := time.Now().Add(length)
	var senders sync.WaitGroup
	for range clients {
		senders.Go(func() { Send(address, kind, unread, until) })
	}
	senders.Wait()
	os.Exit(0)
}

// StartSenders starts a process whose clients flood the address with one kind; the options used are Launcher, Clients,
// Length and Unread. A process of its own keeps the flood from delaying the usual clients, which share the lab's. The
// caller has to wait for the process, which ends by itself.
func StartSenders(address string, kind Kind, o *Options) (*exec.Cmd, error) {
	command := exec.Command(o.Launcher)
	command.Env = append(os.Environ(), fmt.Sprintf("%s=%s %s %d %d %v", senderVariable, address, kind.Name, o.Clients,
		o.Length, o.Unread))
	command.Stderr = os.Stderr
	return command, command.Start()
}

// Send floods the address until the given time, on one connection at a time: a connection that the limiter ends is
// followed by another at once. With unread the sender reads none of its answers.
func Send(address string, kind Kind, unread bool, until time.Time) {
	for time.Now().Before(until) {
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			time.Sleep(stopCheckInterval)
			continue
		}
		sendOn(conn, kind, unread, until)
		_ = conn.Close()
	}
}

// sendOn floods one connection until it ends or until is reached.
func sendOn(conn net.Conn, kind Kind, unread bool, until time.Time) {
	_ = conn.SetDeadline(until)
	if !unread && !kind.Stall && !kind.Leave {
		go func() { _, _ = io.Copy(io.Discard, conn) }()
	}
	for time.Now().Before(until) {
		if !kind.send(conn) || kind.Leave {
			return
		}
		if kind.Stall {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
	}
}

// send writes one block, and reports whether it could be written.
func (k *Kind) send(conn net.Conn) bool {
	text := k.Block(blockNumbers.Add(1))
	size := k.PieceBytes
	if size == 0 {
		size = len(text)
	}
	for len(text) > 0 {
		written, err := conn.Write(text[:min(size, len(text))])
		if err != nil {
			return false
		}
		text = text[written:]
		time.Sleep(k.PieceDelay)
	}
	return true
}
