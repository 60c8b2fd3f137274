// Command toy emulates the peers of a limiter, so that one can be tried by hand: two servers, discovery and the shared
// counter. A server delays its reply by one second for each "slow" at the start of a job's body; the body "fail" gets
// an error reply.
package main

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ospreycroft/internal/resp"
)

func main() {
	servers := flag.String("servers", "127.0.0.1:7101,127.0.0.1:7102", "comma-separated listen addresses of the servers")
	discovery := flag.String("discovery", "127.0.0.1:8500", "listen address of discovery")
	counter := flag.String("counter", "127.0.0.1:6400", "listen address of the shared counter")
	flag.Parse()
	list := strings.Split(*servers, ",")
	for i, address := range list {
		listen(address, func(c net.Conn) { serveCommands(c, fmt.Sprintf("toy-%d", i)) })
	}
	tallies := &sharedCounter{totals: map[string]float64{}}
	listen(*counter, tallies.serve)
	http.HandleFunc("/discovery/hosts", func(w http.ResponseWriter, r *http.Request) { serveHosts(w, r, list) })
	log.Printf("event=toy servers=%s discovery=%s counter=%s", *servers, *discovery, *counter)
	log.Fatal(http.ListenAndServe(*discovery, nil))
}

func listen(address string, serve func(net.Conn)) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		log.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				log.Fatal(err)
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(c)
			}()
		}
	}()
}

// serveCommands replies to each submitted job with the server's name, the job's id and its body.
func serveCommands(c net.Conn, name string) {
	var unread []byte
	chunk := make([]byte, 4096)
	for {
		n, err := c.Read(chunk)
		if err != nil {
			return
		}
		unread = append(unread, chunk[:n]...)
		for {
			words, used, err := resp.ReadCommand(unread, nil)
			if err != nil {
				return
			}
			if used == 0 {
				break
			}
			if _, err := c.Write(reply(name, words)); err != nil {
				return
			}
			unread = unread[used:]
		}
	}
}

func reply(name string, words [][]byte) []byte {
	command := string(words[0])
	if !strings.HasPrefix(command, "SVC.") || len(words) < 4 {
		if command == "SELECT" || command == "CLIENT" {
			return []byte("+OK\r\n")
		}
		return []byte("-ERR unknown command\r\n")
	}
	body := ""
	if len(words) > 4 {
		body = string(words[4])
	}
	log.Printf("event=job server=%s id=%s list=%s body=%q", name, words[2], words[3], body)
	for rest := body; strings.HasPrefix(rest, "slow"); rest = rest[len("slow"):] {
		time.Sleep(time.Second)
	}
	if body == "fail" {
		return []byte("-ERR failed\r\n")
	}
	value := resp.AppendBulk([]byte("*3\r\n"), fmt.Appendf(nil, "%s did %s: %s", name, words[2], body))
	return append(value, "$-1\r\n$-1\r\n"...)
}

// serveHosts serves the endpoint list. The list never changes, so a poll that names a generation is held until its hold
// time ends and then gets an empty answer.
func serveHosts(w http.ResponseWriter, r *http.Request, list []string) {
	entries := []byte{}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	// The only generation is 1: a client that has any generation is up to date.
	if holdMS, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil && from > 0 {
		select {
		case <-time.After(time.Duration(holdMS) * time.Millisecond):
		case <-r.Context().Done():
		}
	} else {
		for i, address := range list {
			entries = fmt.Appendf(entries, `,{"instanceId":"toy-%d","hostPort":%q,"zone":"a","machineType":"toy",`+
				`"cell":0,"lifecycle":"in_service","weight":1.0,"startedAtMs":0}`, i, address)
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(
		w,
		`{"generation":1,"reset":%v,"instances":[%s]}`,
		len(entries) > 0,
		bytes.TrimPrefix(entries, []byte(",")),
	)
}

type sharedCounter struct {
	mutex  sync.Mutex
	totals map[string]float64
}

func (s *sharedCounter) serve(c net.Conn) {
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		words := strings.Fields(lines.Text())
		if _, err := io.WriteString(c, s.reply(words)); err != nil {
			return
		}
	}
}

// reply adds to a total and returns the new one. Totals are never reset.
func (s *sharedCounter) reply(words []string) string {
	if len(words) == 1 && words[0] == "ping" {
		return "pong\r\n"
	}
	if len(words) != 4 || words[0] != "tally" {
		return "error\r\n"
	}
	amount, err := strconv.ParseFloat(words[2], 64)
	if err != nil {
		return "error\r\n"
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.totals[words[1]] += amount
	return fmt.Sprintf("ok %.7g\r\n", s.totals[words[1]])
}
