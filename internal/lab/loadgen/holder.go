package loadgen

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Holder is a client that never lets go: it keeps two requests open on its one connection for as long as that stays
// open, and so finds what a limiter that ends, or parts with its clients, does to those that go on.
type Holder struct {
	Name    string        // its requests' ids are Name-1 and so on
	First   time.Duration // it sends so long after its connection is up,
	Second  time.Duration // and its second request so long after the first, so that one is always open
	Patient time.Duration // it waits for so long for an answer

	Answered, Served int      // answers, and those of them that are values
	Lost             []string // sent and without an answer when the connection ended, the oldest first
}

// Run connects and goes on until the connection ends; it sends a request by writing what command gives for its id.
func (h *Holder) Run(address string, command func(id string) []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	n := 0
	sendNext := func() {
		n++
		h.Lost = append(h.Lost, fmt.Sprint(h.Name, "-", n))
		_, _ = conn.Write(command(h.Lost[len(h.Lost)-1]))
	}
	time.Sleep(h.First)
	sendNext()
	time.Sleep(h.Second)
	sendNext()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(h.Patient))
		line, err := reader.ReadString('\n')
		isValue := strings.HasPrefix(line, "$")
		if err == nil && isValue {
			_, err = reader.ReadString('\n')
		}
		if err != nil {
			return
		}
		h.Answered++
		if isValue {
			h.Served++
		}
		h.Lost = h.Lost[1:]
		sendNext()
	}
}
