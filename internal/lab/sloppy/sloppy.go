// Package sloppy is a deliberately broken limiter for the lab's own tests: it forwards every job to a server and,
// when no answer comes within a short wait, sends it again to the next server, binding or not. It breaks rule 2
// on any silent server, and the lab must say so. It is never part of the real program.
package sloppy

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"ospreycroft/internal/lab/emulator"
	"ospreycroft/internal/resp"
)

// Main runs the stand-in with the configuration GW_CONFIG names, until it is killed.
func Main() error {
	text, err := os.ReadFile(os.Getenv("GW_CONFIG"))
	if err != nil {
		return err
	}
	var config struct {
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return err
	}
	answer, err := http.Get("http://" + config.Discovery + "/discovery/hosts")
	if err != nil {
		return err
	}
	var list emulator.List
	body, _ := io.ReadAll(answer.Body)
	_ = answer.Body.Close()
	if err := json.Unmarshal(body, &list); err != nil {
		return err
	}
	l, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return err
	}
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		go serve(c, list.Instances)
	}
}

// turns deals jobs round the servers.
var turns atomic.Int64

func serve(c net.Conn, servers []emulator.Instance) {
	defer func() { _ = c.Close() }()
	_ = emulator.Commands(c, func(words [][]byte) bool {
		if string(words[0]) == "PING" {
			_, err := c.Write([]byte("+PONG\r\n"))
			return err == nil
		}
		value, turn := "-ERR no server\r\n", int(turns.Add(1))
		for try := range 3 { // the fault: a second shot whatever the track
			server := servers[(turn+try)%len(servers)]
			if v, ok := shoot(server.HostPort, words); ok {
				value = v
				break
			}
		}
		_, err := c.Write([]byte(value))
		return err == nil
	})
}

func shoot(address string, words [][]byte) (string, bool) {
	s, err := net.DialTimeout("tcp", address, 200*time.Millisecond)
	if err != nil {
		return "", false
	}
	defer func() { _ = s.Close() }()
	_ = s.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := s.Write(resp.AppendCommand(nil, words...)); err != nil {
		return "", false
	}
	buf := make([]byte, 4096)
	var got []byte
	for {
		n, err := s.Read(buf)
		got = append(got, buf[:n]...)
		if v, used, perr := resp.ReadAnswer(got); perr == nil && used > 0 && len(v.List) > 0 {
			return string(resp.AppendBulk(nil, v.List[0].Text)), true
		} else if perr != nil || err != nil {
			return "", false
		}
	}
}
