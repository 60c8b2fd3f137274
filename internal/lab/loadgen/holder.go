package loadgen

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// Holder is a client that uses one connection until the limiter closes it and always has a request outstanding. It
// shows what a limiter that shuts down, or closes its clients' connections, does to clients that keep sending.
type Holder struct {
	Name    string        // prefix of the request ids, which are Name-1, Name-2 and so on
	First   time.Duration // delay from the connect to the first request
	Second  time.Duration // delay from the first request to the second; each answer is followed by one more request
	Patient time.Duration // how long the client waits for an answer

	Answered, Served int      // answers received, and those of them that are values
	Lost             []string // ids of the requests without an answer yet, oldest first
}

// Run connects to address and sends requests until the connection ends or an answer takes too long. command returns the
// encoded command of the request with a given id. If the connect fails, Run returns without having sent a request.
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
