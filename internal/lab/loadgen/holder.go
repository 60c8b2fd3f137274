package loadgen

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"time"
)

// PersistentClient is a client that uses one connection until the limiter closes it and always has a request
// outstanding. It shows what a limiter that shuts down, or closes its clients' connections, does to clients that keep
// sending.
type PersistentClient struct {
	Name          string        // prefix of the request ids, which are Name-1, Name-2 and so on
	FirstDelay    time.Duration // delay from the connect to the first request
	SecondDelay   time.Duration // delay from the first request to the second; each answer is followed by one more request
	AnswerTimeout time.Duration // how long the client waits for an answer

	Answered, Succeeded int      // answers received, and those of them that are values
	Unanswered          []string // ids of the requests without an answer yet, oldest first
}

// Run connects to address and sends requests until the connection ends or an answer takes too long. command returns the
// encoded command of the request with a given id. If the connect fails, Run returns without having sent a request.
func (h *PersistentClient) Run(address string, command func(id string) []byte) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	n := 0
	sendNext := func() {
		n++
		h.Unanswered = append(h.Unanswered, fmt.Sprint(h.Name, "-", n))
		_, _ = conn.Write(command(h.Unanswered[len(h.Unanswered)-1]))
	}
	time.Sleep(h.FirstDelay)
	sendNext()
	time.Sleep(h.SecondDelay)
	sendNext()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(h.AnswerTimeout))
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
			h.Succeeded++
		}
		h.Unanswered = h.Unanswered[1:]
		sendNext()
	}
}
